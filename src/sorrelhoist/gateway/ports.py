"""What a gateway needs from the world around it.

A deployment implements `Dialect` for what callers and endpoints speak, and feeds
`GatewayState` with the configuration and the endpoints.
"""

from typing import Protocol

import attrs
from tornado.httputil import HTTPHeaders

from ..decisions.directory import Endpoint
from ..decisions.forwarding import Declined
from ..decisions.routes import Workspace


@attrs.frozen(kw_only=True)
class PromptSize:
    """What a caller says of its prompt."""

    prompt_tokens: int
    output_tokens: int


@attrs.frozen(kw_only=True)
class CallerRequest:
    """One attempt of a caller.

    Parameters
    ----------
    request_id : str
    method, path, host : str
    headers : tornado.httputil.HTTPHeaders
        As they came.
    key : str or None
    wait_s : float or None
        How long the caller waits, if it says so.
    resume_after : str
        Id of the last event that the caller has, or empty.
    size : PromptSize or None
        None for requests without a prompt.
    body : bytes
    """

    request_id: str
    method: str
    path: str
    host: str
    headers: HTTPHeaders
    key: str | None = None
    wait_s: float | None = None
    resume_after: str = ""
    size: PromptSize | None = None
    body: bytes = b""


@attrs.frozen
class Helper:
    """An endpoint that reads a part of a prompt, and holds one if it has a ticket."""

    endpoint: Endpoint
    ticket_id: str = ""


@attrs.frozen(kw_only=True)
class Order:
    """An order to an endpoint's engine, as it is sent."""

    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


@attrs.frozen(kw_only=True)
class Send:
    """How one request is sent to one endpoint.

    Parameters
    ----------
    endpoint : Endpoint
    helpers : tuple of Helper
    wait_s : float
        Time that is left for it.
    workspace : Workspace or None
    resume_after : str
    engine_priority : int or None
        0 is first; None leaves it to the endpoint.
    """

    endpoint: Endpoint
    wait_s: float
    helpers: tuple[Helper, ...] = ()
    workspace: Workspace | None = None
    resume_after: str = ""
    engine_priority: int | None = None


class Dialect(Protocol):
    """What callers and endpoints of a deployment speak."""

    def read_request(
        self, method: str, path: str, headers: HTTPHeaders, body: bytes
    ) -> CallerRequest:
        """Decode a request; `InvalidRequestError` if it can't be understood."""

    def endpoint_headers(
        self, request: CallerRequest, send: Send
    ) -> list[tuple[str, str]]:
        """Return the headers for an endpoint."""

    def answers(self, request: CallerRequest, headers: HTTPHeaders) -> bool:
        """Tell whether an answer belongs to a request."""

    def declined(self, status: int, headers: HTTPHeaders) -> Declined | None:
        """Return what an endpoint says of a request that it didn't run."""

    def is_genuine(self, headers: HTTPHeaders) -> bool:
        """Tell whether an endpoint vouches for an answer."""

    def caller_headers(self, headers: HTTPHeaders) -> HTTPHeaders:
        """Return the headers of an endpoint's answer that a caller gets."""

    def reserve_order(
        self, endpoint: Endpoint, ticket_id: str, tokens: int, hold_s: float
    ) -> Order:
        """Return the order that reserves memory, or renews a reservation."""

    def release_order(self, endpoint: Endpoint, ticket_id: str) -> Order:
        """Return the order that ends a reservation."""

    def refusal_headers(self, request_id: str) -> HTTPHeaders:
        """Return the headers of an answer of our own."""
