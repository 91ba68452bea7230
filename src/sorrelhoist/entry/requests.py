"""Parse and validate the bodies and headers of callers' requests."""

import json
from typing import Literal

import attrs

from ..exceptions import InvalidRequestError

MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_OUTPUT_TOKENS = 65_536
DEFAULT_OUTPUT_TOKENS = 256
MAX_REQUEST_TIMEOUT_S = 86_400.0


@attrs.frozen
class GenerationRequest:
    """A validated completion request.

    Parameters
    ----------
    surface : {'chat', 'completions'}
        API through which it came; the response has the format of the same API.
    model, prompt : str
    output_tokens : int
        Maximum tokens to generate.
    stream : bool
        Whether to stream the response as server-sent events.
    """

    surface: Literal["chat", "completions"]
    model: str
    prompt: str = attrs.field(repr=False)
    output_tokens: int
    stream: bool


def _field_error(field: str, message: str, remedy: str) -> InvalidRequestError:
    return InvalidRequestError(f"'{field}' {message}.", remedy, not_run=True)


def _parse_object(body: bytes) -> dict:
    try:
        data = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise InvalidRequestError(
            "The body is not JSON.", "Send a JSON object.", not_run=True
        ) from error
    if not isinstance(data, dict):
        raise InvalidRequestError(
            "The body is not a JSON object.", "Send a JSON object.", not_run=True
        )
    return data


def _require_text(data: dict, field: str) -> str:
    value = data.get(field)
    if not isinstance(value, str) or not value:
        raise _field_error(field, "must be a text that is not empty", f"Set '{field}'.")
    try:
        value.encode()
    except UnicodeEncodeError as error:
        raise _field_error(
            field, "is not valid Unicode", "Send valid UTF-8."
        ) from error
    return value


def _parse_flag(data: dict, field: str) -> bool:
    value = data.get(field, False)
    if value is None:
        return False
    if not isinstance(value, bool):
        raise _field_error(field, "must be true or false", f"Correct '{field}'.")
    return value


def _parse_output_tokens(data: dict) -> int:
    for field in ("max_completion_tokens", "max_tokens"):
        value = data.get(field)
        if value is None:
            continue
        if isinstance(value, bool) or not isinstance(value, int):
            raise _field_error(field, "must be a whole number", f"Correct '{field}'.")
        if not 1 <= value <= MAX_OUTPUT_TOKENS:
            raise _field_error(
                field,
                f"must be between 1 and {MAX_OUTPUT_TOKENS}",
                f"Correct '{field}'.",
            )
        return value
    return DEFAULT_OUTPUT_TOKENS


def _message_text(message: object, position: int) -> str:
    field = f"messages[{position}]"
    if not isinstance(message, dict):
        raise _field_error(field, "must be an object", "Send role and content.")
    role = message.get("role")
    if not isinstance(role, str) or not role:
        raise _field_error(f"{field}.role", "must be a text", "Set the role.")
    content = message.get("content")
    if isinstance(content, list):
        content = "".join(_part_text(part, field) for part in content)
    if not isinstance(content, str):
        raise _field_error(f"{field}.content", "must be a text", "Send text content.")
    return f"{role}: {content}\n"


def _part_text(part: object, field: str) -> str:
    if isinstance(part, dict) and isinstance(part.get("text"), str):
        return part["text"]
    raise _field_error(
        f"{field}.content", "has a part without text", "Send text parts only."
    )


def _chat_prompt(data: dict) -> str:
    messages = data.get("messages")
    if not isinstance(messages, list) or not messages:
        raise _field_error(
            "messages", "must be a list that is not empty", "Send messages."
        )
    texts = [_message_text(message, i) for i, message in enumerate(messages)]
    prompt = "".join(texts)
    return _require_text({"messages": prompt}, "messages")


def parse_generation(
    surface: Literal["chat", "completions"], body: bytes
) -> GenerationRequest:
    """Parse the body of a completion request.

    Parameters
    ----------
    surface : {'chat', 'completions'}
    body : bytes
        JSON in the OpenAI format.

    Returns
    -------
    GenerationRequest

    Raises
    ------
    InvalidRequestError
        If the body is invalid; names the field and the remedy.

    Examples
    --------
    >>> parse_generation("completions", b'{"model": "m", "prompt": "hi"}').model
    'm'
    """
    data = _parse_object(body)
    choices = data.get("n")
    if choices is not None and choices != 1:
        raise _field_error("n", "must be 1", "Send one request for each answer.")
    prompt = _chat_prompt(data) if surface == "chat" else _require_text(data, "prompt")
    return GenerationRequest(
        surface=surface,
        model=_require_text(data, "model"),
        prompt=prompt,
        output_tokens=_parse_output_tokens(data),
        stream=_parse_flag(data, "stream"),
    )


def parse_timeout_s(header: str | None, default_s: float) -> float:
    """Parse the ``X-Request-Timeout-S`` header.

    Parameters
    ----------
    header : str or None
        Value of the header; None if the request has none.
    default_s : float
        Timeout of a request without the header.

    Returns
    -------
    float
        Seconds that the caller waits for the response.

    Raises
    ------
    InvalidRequestError
        If it is not a number over 0 and up to `MAX_REQUEST_TIMEOUT_S` (one day).
    """
    if header is None:
        return default_s
    try:
        timeout_s = float(header)
    except ValueError:
        timeout_s = -1.0
    if not 0.0 < timeout_s <= MAX_REQUEST_TIMEOUT_S:
        raise _field_error(
            "X-Request-Timeout-S",
            f"must be a number of seconds up to {MAX_REQUEST_TIMEOUT_S:.0f}",
            "Correct the header.",
        )
    return timeout_s
