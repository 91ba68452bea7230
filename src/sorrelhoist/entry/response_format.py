"""Format responses, stream events and errors in the OpenAI format."""

import json

import attrs

from ..exceptions import SorrelhoistError
from .requests import GenerationRequest

_OBJECTS = {"chat": "chat.completion", "completions": "text_completion"}
_CHUNK_OBJECTS = {"chat": "chat.completion.chunk", "completions": "text_completion"}
_PREFIXES = {"chat": "chatcmpl-", "completions": "cmpl-"}
DONE_EVENT = "data: [DONE]\n\n"


@attrs.frozen
class ResponseFormatter:
    """Formats the response to one request, whole or in chunks.

    Parameters
    ----------
    request_id : str
    created_s : int
        Time of the response, in seconds since the Unix epoch.
    request : GenerationRequest
    """

    request_id: str
    created_s: int
    request: GenerationRequest

    def _common_fields(self, objects: dict[str, str]) -> dict:
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
        """Return the complete, unstreamed response as JSON."""
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
        body = self._common_fields(_OBJECTS) | {"choices": [choice], "usage": usage}
        return json.dumps(body)

    def chunk(self, text: str, finish_reason: str | None) -> str:
        """Return one chunk of a streamed response as JSON."""
        choice: dict = {"index": 0, "finish_reason": finish_reason, "logprobs": None}
        if self.request.surface == "chat":
            choice["delta"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        return json.dumps(self._common_fields(_CHUNK_OBJECTS) | {"choices": [choice]})


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

    ``not_run`` is included only when the request is known not to have run.
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
