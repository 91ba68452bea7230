"""Shape answers in the OpenAI style."""

import json

import attrs

from ..exceptions import SorrelhoistError
from .requests import GenerationRequest

_OBJECTS = {"chat": "chat.completion", "completions": "text_completion"}
_CHUNK_OBJECTS = {"chat": "chat.completion.chunk", "completions": "text_completion"}
_PREFIXES = {"chat": "chatcmpl-", "completions": "cmpl-"}
DONE_EVENT = "data: [DONE]\n\n"


@attrs.frozen
class AnswerHead:
    """What all parts of one answer share.

    Parameters
    ----------
    request_id : str
    created_s : int
        Seconds since the epoch.
    request : GenerationRequest
    """

    request_id: str
    created_s: int
    request: GenerationRequest

    def _base(self, objects: dict[str, str]) -> dict:
        surface = self.request.surface
        return {
            "id": _PREFIXES[surface] + self.request_id,
            "object": objects[surface],
            "created": self.created_s,
            "model": self.request.model,
        }

    def whole(
        self, text: str, finish_reason: str, prompt_tokens: int, output_tokens: int
    ) -> str:
        """Return a whole answer as JSON."""
        choice: dict = {"index": 0, "finish_reason": finish_reason, "logprobs": None}
        if self.request.surface == "chat":
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        usage = {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": output_tokens,
            "total_tokens": prompt_tokens + output_tokens,
        }
        body = self._base(_OBJECTS) | {"choices": [choice], "usage": usage}
        return json.dumps(body)

    def chunk(self, text: str, finish_reason: str | None) -> str:
        """Return one part of a streamed answer as JSON."""
        choice: dict = {"index": 0, "finish_reason": finish_reason, "logprobs": None}
        if self.request.surface == "chat":
            choice["delta"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        return json.dumps(self._base(_CHUNK_OBJECTS) | {"choices": [choice]})


def event(data: str, event_id: str) -> str:
    r"""Return one server-sent event.

    Examples
    --------
    >>> event("{}", "s.3")
    'id: s.3\ndata: {}\n\n'
    """
    return f"id: {event_id}\ndata: {data}\n\n"


def error_body(error: SorrelhoistError, request_id: str) -> str:
    """Return the JSON body of an error.

    ``not_run`` is there only when it is known to be true.
    """
    body: dict = {
        "message": str(error),
        "type": error.kind,
        "code": error.kind,
        "kind": error.kind,
        "remedy": error.remedy,
        "request_id": request_id,
    }
    if error.not_run:
        body["not_run"] = True
    if error.retry_after_s is not None:
        body["retry_after_s"] = round(error.retry_after_s, 3)
    return json.dumps({"error": body})
