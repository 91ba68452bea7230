"""Interfaces that a deployment of the gateway implements.

A deployment implements `Dialect` for the headers and messages of its callers and
endpoints, and updates `GatewayState` with the configuration and the endpoints.
"""

from typing import Protocol

import attrs
from tornado.httputil import HTTPHeaders

from ..decisions.directory import Endpoint
from ..decisions.endpoint_notices import EndpointNotice
from ..decisions.forwarding import Declined
from ..decisions.routes import Workspace


@attrs.frozen(kw_only=True)
class PromptSize:
    """Size of a prompt and of its answer as declared by the caller."""

    prompt_tokens: int
    output_tokens: int


@attrs.frozen(kw_only=True)
class CallerRequest:
    """One decoded request of a caller.

    Parameters
    ----------
    request_id : str
    method, path, host : str
    headers : tornado.httputil.HTTPHeaders
        As received.
    key : str or None
    wait_s : float or None
        How long the caller waits for the answer, if it states this.
    resume_after : str
        Id of the last event that the caller has received, or empty.
    size : PromptSize or None
        None for requests without a prompt.
    shared_parts : tuple of str
        Ids of the parts of its prompt that other requests may share.
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
    shared_parts: tuple[str, ...] = ()
    body: bytes = b""


@attrs.frozen
class Helper:
    """An endpoint that prefills part of a prompt; with a ticket it also stores part."""

    endpoint: Endpoint
    ticket_id: str = ""


@attrs.frozen(kw_only=True)
class Order:
    """An order to the engine of an endpoint, as an HTTP request."""

    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


@attrs.frozen(kw_only=True)
class SendOptions:
    """Options for sending one request to one endpoint.

    Parameters
    ----------
    endpoint : Endpoint
    helpers : tuple of Helper
    wait_s : float
        Time until the deadline of the request.
    workspace : Workspace or None
    resume_after : str
    engine_priority : int or None
        0 is the highest priority; None leaves it to the endpoint.
    """

    endpoint: Endpoint
    wait_s: float
    helpers: tuple[Helper, ...] = ()
    workspace: Workspace | None = None
    resume_after: str = ""
    engine_priority: int | None = None


class Dialect(Protocol):
    """Protocol between the gateway and the callers and endpoints of a deployment."""

    def request_id(self, headers: HTTPHeaders) -> str:
        """Return the id of a request, or an empty string."""

    def read_request(
        self, method: str, path: str, headers: HTTPHeaders, body: bytes
    ) -> CallerRequest:
        """Decode a request; raise `InvalidRequestError` if it is malformed."""

    def endpoint_headers(
        self, request: CallerRequest, send: SendOptions
    ) -> list[tuple[str, str]]:
        """Return the headers of the request to an endpoint."""

    def answers(self, request: CallerRequest, headers: HTTPHeaders) -> bool:
        """Return whether an answer belongs to the request."""

    def parse_decline(self, status: int, headers: HTTPHeaders) -> Declined | None:
        """Decode an answer that a request was not executed; None for other answers."""

    def read_notice(self, status: int, headers: HTTPHeaders) -> EndpointNotice | None:
        """Decode what an endpoint says of itself; None if another endpoint answered."""

    def is_genuine(self, headers: HTTPHeaders) -> bool:
        """Return whether an answer has a signature of an endpoint."""

    def caller_headers(self, headers: HTTPHeaders) -> HTTPHeaders:
        """Select the headers of an endpoint's answer to pass on to the caller."""

    def reserve_order(
        self, endpoint: Endpoint, ticket_id: str, tokens: int, hold_s: float
    ) -> Order:
        """Return the order that reserves KV cache, or renews a reservation."""

    def release_order(self, endpoint: Endpoint, ticket_id: str) -> Order:
        """Return the order that releases a reservation."""

    def refusal_headers(self, request_id: str) -> HTTPHeaders:
        """Return the headers of an answer that the gateway generates."""
