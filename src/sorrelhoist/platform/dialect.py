"""Encoding and decoding of the platform's HTTP headers, and of orders to engines."""

import json
import logging
import math
import re

from tornado.httputil import HTTPHeaders

from ..decisions.directory import Endpoint
from ..decisions.endpoint_notices import EndpointNotice, valid_rate
from ..decisions.forwarding import Declined
from ..exceptions import InvalidRequestError
from ..gateway.ports import CallerRequest, Helper, Order, PromptSize, SendOptions

logger = logging.getLogger(__name__)

REQUEST_ID_HEADER = "X-Attempt-Id"
DEADLINE_HEADER = "X-Deadline-Ms"
RESUME_HEADER = "Last-Event-Id"
SIGNATURE_HEADER = "X-Response-Stamp"
WORKSPACE_HEADER = "X-Tenant"
EXPECTED_ENDPOINT_HEADER = "X-Expect-Instance"
NOT_RUN_HEADER = "X-Not-Executed"
PROMPT_PARTS_HEADER = "X-Prompt-Prefix"
TOKEN_COUNT_HEADER = "X-Token-Count"
PRIORITY_HEADER = "X-Request-Priority"
HELPERS_HEADER = "X-Helpers"
FAULTY_SERVER_HEADER = "At-Server"
LIMIT_HEADER = "Server-Limit"
LEAVING_HEADER = "Server-Leaving"
PAUSE_HEADER = "Retry-After"
ORDER_PATH = "/order"
KEY_SCHEME = "token"

# Hop-by-hop headers, and headers that only the gateway may set.
_HOP_BY_HOP_HEADERS = frozenset(
    name.lower()
    for name in (
        *("Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization"),
        *("TE", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Connection"),
    )
)
_RESERVED_HEADERS = frozenset(
    name.lower()
    for name in (
        *(
            "Authorization",
            DEADLINE_HEADER,
            WORKSPACE_HEADER,
            EXPECTED_ENDPOINT_HEADER,
            HELPERS_HEADER,
        ),
        *(RESUME_HEADER, PRIORITY_HEADER, "Content-Length", "Expect", "Host"),
    )
)
MAX_SHARED_PARTS = 64
"""Parts of a prompt beyond this number are ignored."""

MAX_TOKENS = 1_000_000_000
"""Larger counts are taken for garbled ones, and don't fit into messages to peers."""

MISDIRECTED_REQUEST = 421
SERVICE_UNAVAILABLE = 503

_MILLISECONDS = re.compile(r"[0-9]+(\.[0-9]*)?|\.[0-9]+")

MAX_LOGGED, MAX_LOGGED_CHARS = 100, 40
"""Number and length of malformed header values that are logged."""


class PlatformDialect:
    """Translates between the platform's HTTP headers and the gateway's types."""

    def __init__(self) -> None:
        self._logged_values: set[tuple[str, str]] = set()

    def request_id(self, headers: HTTPHeaders) -> str:
        """Return the id of a request, or an empty string."""
        return headers.get(REQUEST_ID_HEADER, "")

    def read_request(
        self, method: str, path: str, headers: HTTPHeaders, body: bytes
    ) -> CallerRequest:
        """Decode a caller's request."""
        request_id = self.request_id(headers)
        if not request_id:
            raise InvalidRequestError(f"There is no {REQUEST_ID_HEADER}.")
        return CallerRequest(
            request_id=request_id,
            method=method,
            path=path,
            host=headers.get("Host", ""),
            headers=headers,
            key=_decode_key(headers.get("Authorization", "")),
            wait_s=_decode_wait_s(headers.get(DEADLINE_HEADER)),
            resume_after=headers.get(RESUME_HEADER, ""),
            size=_decode_size(headers.get(TOKEN_COUNT_HEADER)),
            shared_parts=_decode_shared_parts(headers.get(PROMPT_PARTS_HEADER, "")),
            body=body,
        )

    def endpoint_headers(
        self, request: CallerRequest, send: SendOptions
    ) -> list[tuple[str, str]]:
        """Return the headers of a request as it is sent to an endpoint."""
        dropped = (
            _HOP_BY_HOP_HEADERS
            | _RESERVED_HEADERS
            | _connection_options(request.headers)
        )
        forwarded = [("Host", request.host)]
        forwarded += [
            (name, value)
            for name, value in request.headers.get_all()
            if name.lower() not in dropped
        ]
        forwarded.append((DEADLINE_HEADER, str(max(1, int(send.wait_s * 1000)))))
        forwarded.append((EXPECTED_ENDPOINT_HEADER, send.endpoint.endpoint_id))
        if send.workspace is not None:
            forwarded.append((WORKSPACE_HEADER, _encode_text(send.workspace.name)))
        if send.resume_after:
            forwarded.append((RESUME_HEADER, send.resume_after))
        if send.engine_priority is not None:
            forwarded.append((PRIORITY_HEADER, str(send.engine_priority)))
        if send.helpers:
            forwarded.append(
                (HELPERS_HEADER, ",".join(map(_encode_helper, send.helpers)))
            )
        if request.body or request.method in ("POST", "PUT", "PATCH"):
            forwarded.append(("Content-Length", str(len(request.body))))
        forwarded.append(("Connection", "close"))
        return forwarded

    def answers(self, request: CallerRequest, headers: HTTPHeaders) -> bool:
        """Return whether an answer belongs to the request, by its request id."""
        return headers.get(REQUEST_ID_HEADER, request.request_id) == request.request_id

    def parse_decline(self, status: int, headers: HTTPHeaders) -> Declined | None:
        """Return why an endpoint did not execute a request, or None if it may have."""
        if status != MISDIRECTED_REQUEST and NOT_RUN_HEADER not in headers:
            return None
        faulty = headers.get(FAULTY_SERVER_HEADER, "")
        is_full = status == SERVICE_UNAVAILABLE and not faulty
        asks_for_pause = is_full and self._decode_pause_s(status, headers) is not None
        return Declined(f"status {status}", faulty, is_full, asks_for_pause)

    def read_notice(self, status: int, headers: HTTPHeaders) -> EndpointNotice | None:
        """Return what an endpoint says of itself, or None if another one answered."""
        if status == MISDIRECTED_REQUEST:
            return None
        return EndpointNotice(
            limit_per_s=self._decode_rate(LIMIT_HEADER, headers.get(LIMIT_HEADER)),
            is_leaving=headers.get(LEAVING_HEADER, "").strip() == "1",
            pause_s=self._decode_pause_s(status, headers),
        )

    def _decode_pause_s(self, status: int, headers: HTTPHeaders) -> float | None:
        """Decode the pause that a refusal asks for, in seconds; None without one."""
        text = headers.get(PAUSE_HEADER)
        if status != SERVICE_UNAVAILABLE or text is None:
            return None
        try:
            value = float(text)
        except ValueError:
            value = math.nan
        if value >= 0.0:
            return value
        self._log_malformed(PAUSE_HEADER, text)
        return None

    def _decode_rate(self, name: str, text: str | None) -> float | None:
        """Decode a rate in requests a second; a malformed one counts as absent."""
        if text is None:
            return None
        try:
            value = float(text)
        except ValueError:
            value = math.nan
        if valid_rate(value):
            return value
        self._log_malformed(name, text)
        return None

    def _log_malformed(self, name: str, text: str) -> None:
        """Log a malformed header of an endpoint, each value once."""
        shown = (name, text[:MAX_LOGGED_CHARS])
        if shown in self._logged_values or len(self._logged_values) >= MAX_LOGGED:
            return
        self._logged_values.add(shown)
        logger.warning(
            "header of an endpoint could not be decoded; ignored",
            extra={"event": "bad_header", "header": name, "value": shown[1]},
        )

    def is_genuine(self, headers: HTTPHeaders) -> bool:
        """Return whether an endpoint signed the answer and it has no content coding."""
        return SIGNATURE_HEADER in headers and "Content-Encoding" not in headers

    def caller_headers(self, headers: HTTPHeaders) -> HTTPHeaders:
        """Return the headers of an endpoint's answer that are passed to the caller."""
        dropped = (
            _HOP_BY_HOP_HEADERS | _connection_options(headers) | {"content-length"}
        )
        forwarded = HTTPHeaders()
        for name, value in headers.get_all():
            if name.lower() not in dropped:
                forwarded.add(name, value)
        return forwarded

    def reserve_order(
        self, endpoint: Endpoint, ticket_id: str, tokens: int, hold_s: float
    ) -> Order:
        """Return the order that makes or renews a KV cache reservation."""
        fields = {
            "operation": "reserve",
            "id": ticket_id,
            "tokens": tokens,
            "hold_ms": int(hold_s * 1000),
        }
        return _encode_order(endpoint, fields)

    def release_order(self, endpoint: Endpoint, ticket_id: str) -> Order:
        """Return the order that releases a KV cache reservation."""
        return _encode_order(endpoint, {"operation": "release", "id": ticket_id})

    def refusal_headers(self, request_id: str) -> HTTPHeaders:
        """Return the headers of an answer that the gateway generates itself."""
        return HTTPHeaders({REQUEST_ID_HEADER: request_id} if request_id else {})


def _encode_helper(helper: Helper) -> str:
    address = helper.endpoint.address
    return f"{address}/{helper.ticket_id}" if helper.ticket_id else address


def _encode_order(endpoint: Endpoint, fields: dict) -> Order:
    body = json.dumps(fields).encode()
    headers = (
        ("Host", endpoint.address),
        ("Content-Type", "application/json"),
        (EXPECTED_ENDPOINT_HEADER, endpoint.endpoint_id),
        ("Content-Length", str(len(body))),
        ("Connection", "close"),
    )
    return Order(path=ORDER_PATH, headers=headers, body=body)


def _connection_options(headers: HTTPHeaders) -> frozenset[str]:
    named = headers.get("Connection", "").lower().split(",")
    return frozenset(name.strip() for name in named)


def _decode_key(authorization: str) -> str | None:
    """Decode an API key.

    Examples
    --------
    >>> _decode_key("Token key-1"), _decode_key("TOKEN  key-1"), _decode_key("Basic a")
    ('key-1', 'key-1', None)
    """
    scheme, _, key = authorization.partition(" ")
    if scheme.lower() != KEY_SCHEME:
        return None
    key = key.strip()
    if key.isascii():
        return key
    return key.encode("latin-1").decode("utf-8", "replace")


def _encode_text(text: str) -> str:
    r"""Return text in UTF-8, each byte as the character that stands for it in a header.

    Examples
    --------
    >>> _encode_text("hule930"), _encode_text("Ka\u0161p").encode("latin-1")
    ('hule930', b'Ka\xc5\xa1p')
    """
    return text if text.isascii() else text.encode().decode("latin-1")


def _decode_wait_s(text: str | None) -> float | None:
    """Decode how long the caller waits, in seconds.

    Examples
    --------
    >>> _decode_wait_s("3000.5"), _decode_wait_s(None)
    (3.0005, None)
    """
    if text is None:
        return None
    if _MILLISECONDS.fullmatch(text) is None or math.isinf(float(text)):
        raise InvalidRequestError(
            f"{DEADLINE_HEADER} is no number of milliseconds: {text!r:.40}."
        )
    return float(text) / 1000


def _decode_size(text: str | None) -> PromptSize | None:
    """Decode the token counts of the prompt and of the longest answer.

    Examples
    --------
    >>> _decode_size("1460,80")
    PromptSize(prompt_tokens=1460, output_tokens=80)
    """
    if text is None:
        return None
    try:
        prompt_tokens, _, output_tokens = text.partition(",")
        return PromptSize(
            prompt_tokens=_token_count(prompt_tokens),
            output_tokens=_token_count(output_tokens or "0"),
        )
    except ValueError as error:
        raise InvalidRequestError(
            f"{TOKEN_COUNT_HEADER} is no pair: {text!r:.40}."
        ) from error


def _token_count(text: str) -> int:
    digits = text.strip()
    count = int(digits) if digits.isascii() and digits.isdigit() else -1
    if not 0 <= count <= MAX_TOKENS:
        raise ValueError(f"not a number from 0 to {MAX_TOKENS}")
    return count


def _decode_shared_parts(text: str) -> tuple[str, ...]:
    """Decode the ids of the parts of a prompt, without the last, which is its own.

    Examples
    --------
    >>> _decode_shared_parts("5C1e07a2:800, 91bd3f06:410,e4402b7d:250")
    ('5c1e07a2', '91bd3f06')
    >>> _decode_shared_parts("5c1e07a2:800"), _decode_shared_parts("")
    ((), ())
    """
    ids = [entry.partition(":")[0].strip().lower() for entry in text.split(",")]
    return tuple(part for part in ids[:-1] if part)[:MAX_SHARED_PARTS]
