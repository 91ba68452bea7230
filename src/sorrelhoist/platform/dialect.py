"""The headers that callers and endpoints of the platform speak."""

import json

from tornado.httputil import HTTPHeaders

from ..decisions.directory import Endpoint
from ..decisions.forwarding import Declined
from ..exceptions import InvalidRequestError
from ..gateway.ports import CallerRequest, Helper, Order, PromptSize, SendOptions

REQUEST_ID = "X-Attempt-Id"
WAIT_MS = "X-Deadline-Ms"
RESUME_AFTER = "Last-Event-Id"
SIGNATURE = "X-Response-Stamp"
WORKSPACE = "X-Tenant"
EXPECTED_ENDPOINT = "X-Expect-Instance"
NOT_RUN = "X-Not-Executed"
SIZE = "X-Token-Count"
ENGINE_PRIORITY = "X-Request-Priority"
HELPERS = "X-Helpers"
FAULTY = "At-Server"
ORDER_PATH = "/order"
KEY_SCHEME = "Token "

# Headers of one connection, and those that are only ours to set.
_HOP_HEADERS = frozenset(
    name.lower()
    for name in (
        *("Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization"),
        *("TE", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Connection"),
    )
)
_OWN_HEADERS = frozenset(
    name.lower()
    for name in (
        *("Authorization", WAIT_MS, WORKSPACE, EXPECTED_ENDPOINT, HELPERS),
        *(RESUME_AFTER, ENGINE_PRIORITY, "Content-Length", "Expect", "Host"),
    )
)
MISDIRECTED = 421
FULL = 503


class PlatformDialect:
    """Translates between the platform's headers and the gateway's types."""

    def read_request(
        self, method: str, path: str, headers: HTTPHeaders, body: bytes
    ) -> CallerRequest:
        """Decode a caller's request."""
        request_id = headers.get(REQUEST_ID, "")
        if not request_id:
            raise InvalidRequestError(f"There is no {REQUEST_ID}.")
        authorization = headers.get("Authorization", "")
        key = None
        if authorization.startswith(KEY_SCHEME):
            key = authorization[len(KEY_SCHEME) :].strip()
        return CallerRequest(
            request_id=request_id,
            method=method,
            path=path,
            host=headers.get("Host", ""),
            headers=headers,
            key=key,
            wait_s=_wait_s(headers.get(WAIT_MS)),
            resume_after=headers.get(RESUME_AFTER, ""),
            size=_size(headers.get(SIZE)),
            body=body,
        )

    def endpoint_headers(
        self, request: CallerRequest, send: SendOptions
    ) -> list[tuple[str, str]]:
        """Return the headers for an endpoint."""
        dropped = _HOP_HEADERS | _OWN_HEADERS | _named_by_connection(request.headers)
        found = [("Host", request.host)]
        found += [
            (name, value)
            for name, value in request.headers.get_all()
            if name.lower() not in dropped
        ]
        found.append((WAIT_MS, str(max(1, int(send.wait_s * 1000)))))
        found.append((EXPECTED_ENDPOINT, send.endpoint.endpoint_id))
        if send.workspace is not None:
            found.append((WORKSPACE, send.workspace.name))
        if send.resume_after:
            found.append((RESUME_AFTER, send.resume_after))
        if send.engine_priority is not None:
            found.append((ENGINE_PRIORITY, str(send.engine_priority)))
        if send.helpers:
            found.append((HELPERS, ",".join(map(_helper, send.helpers))))
        if request.body or request.method in ("POST", "PUT", "PATCH"):
            found.append(("Content-Length", str(len(request.body))))
        found.append(("Connection", "close"))
        return found

    def answers(self, request: CallerRequest, headers: HTTPHeaders) -> bool:
        """Tell whether an answer names the request."""
        return headers.get(REQUEST_ID, request.request_id) == request.request_id

    def parse_decline(self, status: int, headers: HTTPHeaders) -> Declined | None:
        """Return what an endpoint says of a request that it didn't run."""
        if status != MISDIRECTED and NOT_RUN not in headers:
            return None
        faulty = headers.get(FAULTY, "")
        is_full = status == FULL and not faulty
        return Declined(f"status {status}", faulty, is_full)

    def is_genuine(self, headers: HTTPHeaders) -> bool:
        """Tell whether the answer bears an endpoint's signature."""
        return SIGNATURE in headers and "Content-Encoding" not in headers

    def caller_headers(self, headers: HTTPHeaders) -> HTTPHeaders:
        """Return the headers of an endpoint's answer that a caller gets."""
        dropped = _HOP_HEADERS | _named_by_connection(headers) | {"content-length"}
        found = HTTPHeaders()
        for name, value in headers.get_all():
            if name.lower() not in dropped:
                found.add(name, value)
        return found

    def reserve_order(
        self, endpoint: Endpoint, ticket_id: str, tokens: int, hold_s: float
    ) -> Order:
        """Return the order that reserves memory, or renews a reservation."""
        fields = {
            "operation": "reserve",
            "id": ticket_id,
            "tokens": tokens,
            "hold_ms": int(hold_s * 1000),
        }
        return _order(endpoint, fields)

    def release_order(self, endpoint: Endpoint, ticket_id: str) -> Order:
        """Return the order that ends a reservation."""
        return _order(endpoint, {"operation": "release", "id": ticket_id})

    def refusal_headers(self, request_id: str) -> HTTPHeaders:
        """Return the headers of an answer of our own."""
        return HTTPHeaders({REQUEST_ID: request_id})


def _helper(helper: Helper) -> str:
    address = helper.endpoint.address
    return f"{address}/{helper.ticket_id}" if helper.ticket_id else address


def _order(endpoint: Endpoint, fields: dict) -> Order:
    body = json.dumps(fields).encode()
    headers = (
        ("Host", endpoint.address),
        ("Content-Type", "application/json"),
        (EXPECTED_ENDPOINT, endpoint.endpoint_id),
        ("Content-Length", str(len(body))),
        ("Connection", "close"),
    )
    return Order(path=ORDER_PATH, headers=headers, body=body)


def _named_by_connection(headers: HTTPHeaders) -> frozenset[str]:
    named = headers.get("Connection", "").lower().split(",")
    return frozenset(name.strip() for name in named)


def _wait_s(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        return max(0, int(text)) / 1000
    except ValueError as error:
        raise InvalidRequestError(f"{WAIT_MS} is no number: {text!r}.") from error


def _size(text: str | None) -> PromptSize | None:
    """Decode the sizes of the prompt and of the longest answer.

    Examples
    --------
    >>> _size("1460,80")
    PromptSize(prompt_tokens=1460, output_tokens=80)
    """
    if text is None:
        return None
    try:
        prompt_tokens, _, output_tokens = text.partition(",")
        return PromptSize(
            prompt_tokens=int(prompt_tokens), output_tokens=int(output_tokens or 0)
        )
    except ValueError as error:
        raise InvalidRequestError(f"{SIZE} is no pair: {text!r}.") from error
