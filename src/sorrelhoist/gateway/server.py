"""HTTP servers of a gateway: for callers, readiness probes, metrics and state dumps."""

import asyncio
import contextlib
import logging
import math
import socket
from collections.abc import Callable

import attrs
import h11
from tornado.httputil import HTTPHeaders
from tornado.iostream import StreamClosedError

from ..decisions.retry_after import local_refusal_retry_after_s
from ..decisions.routes import CallerLimits
from ..exceptions import InvalidRequestError, RequestTimeoutError, StoppingError
from .caller import CallerConnection
from .exchange import Exchange
from .http_connection import HttpConnection, RequestHandler, RequestHead
from .parts import GatewayParts
from .state import GatewayState, boot_time_s

logger = logging.getLogger(__name__)

SEND_BUFFER_BYTES = 256 * 1024
"""What the kernel buffers for a caller where memory is limited; otherwise it may be
4 MB for each. At 100 Mbit/s and a delay of 1 ms 25 kB are enough."""

MAX_PIECE_BYTES = 65_536
"""Small parts of a body are joined up to this size: each costs about 100 bytes."""

OUTCOME_UNKNOWN = "the gateway failed; whether the request has run is not known"


@attrs.define(eq=False, repr=False)
class CallerDelegate:
    """Create a handler for each request of a caller.

    Parameters
    ----------
    parts : GatewayParts
    running : set of asyncio.Task
        Requests that are served.
    reading : set
        Requests whose head was read and whose body was not.
    received_s : float
        Time at which the head of the last request was read.
    connections : set
        Connections of the requests that are served.
    """

    parts: GatewayParts
    running: set[asyncio.Task] = attrs.field(factory=set)
    reading: set[RequestHandler] = attrs.field(factory=set)
    received_s: float = float("-inf")
    connections: set[HttpConnection] = attrs.field(factory=set)

    @property
    def is_idle(self) -> bool:
        """Whether no request is read or served."""
        return not (self.running or self.reading)

    def start_request(self, connection: HttpConnection) -> RequestHandler:
        """Return the handler of one request."""
        return _CallerRequest(self, connection)


@attrs.define(eq=False, repr=False)
class _CallerRequest:
    """Handle one request of a caller."""

    front: CallerDelegate
    connection: HttpConnection
    head: RequestHead | None = None
    received_s: float = 0.0
    complete_s: float | None = None
    body: list[bytearray] = attrs.field(factory=list)
    body_bytes: int = 0
    is_refused: bool = False
    work: asyncio.Task | None = None
    exchange: Exchange | None = None
    body_timer: asyncio.TimerHandle | None = None
    caller: CallerConnection = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.caller = CallerConnection(self.connection)
        self.caller.on_cut = self._refuse_short

    def head_received(self, head: RequestHead) -> None:
        self.head = head
        self.caller.is_chunked = head.version != "1.0"
        self.received_s = asyncio.get_running_loop().time()
        memory = self.front.parts.memory
        self.is_refused = not memory.open(self.caller, head.body_bytes or 0)
        self.front.received_s = self.received_s
        self.front.reading.add(self)
        if self.is_refused and head.body_bytes != 0:
            self._answer_now()

    def data_received(self, data: bytes) -> None:
        if self.body and len(self.body[-1]) + len(data) <= MAX_PIECE_BYTES:
            self.body[-1] += data
        else:
            self.body.append(bytearray(data))
        self.body_bytes += len(data)
        account = self.caller.account
        if account is not None and self.body_bytes > account.request_bytes:
            account.hold_request(self.body_bytes)
            if self.front.parts.state.memory.is_short:
                self._refuse_short()

    def body_awaited(self) -> None:
        loop = asyncio.get_running_loop()
        if self.exchange is None:
            self.exchange = self._new_exchange(b"")
        deadline_s = self.exchange.deadline_s()
        if loop.time() >= deadline_s:
            raise RequestTimeoutError("Its body did not arrive before its deadline.")
        self.exchange.refusal = self.exchange.find_refusal()
        if self.exchange.refusal is not None:
            self.body.clear()
            self._answer_now()
        elif self.body_timer is None or self.body_timer.when() != deadline_s:
            self._stop_timer()
            if deadline_s < math.inf:
                self.body_timer = loop.call_at(deadline_s, self._on_deadline)

    def _on_deadline(self) -> None:
        self.body_timer = None
        self.connection.check_body()

    def _stop_timer(self) -> None:
        if self.body_timer is not None:
            self.body_timer.cancel()
            self.body_timer = None

    def _refuse_short(self) -> None:
        """Refuse the request for lack of memory while its body is received."""
        if not self.is_refused:
            self.is_refused = True
            self.body.clear()
            self.front.parts.memory.close(self.caller)
            self._answer_now()

    def _answer_now(self) -> None:
        """Refuse the request without its body, which isn't held."""
        self.connection.discard_body()
        self._start()

    def body_received(self) -> None:
        self.complete_s = asyncio.get_running_loop().time()
        self._start()

    def _start(self) -> None:
        """Serve the request, or refuse it without its body."""
        self._stop_reading()
        if self.caller.account is not None:
            self.caller.account.is_receiving = False
        self.work = asyncio.ensure_future(self._serve())
        self.front.running.add(self.work)
        self.front.connections.add(self.connection)
        self.work.add_done_callback(self._on_done)

    def _stop_reading(self) -> None:
        self.front.reading.discard(self)
        self._stop_timer()

    def rejected(self, error: InvalidRequestError, headers: HTTPHeaders) -> None:
        parts = self.front.parts
        self._stop_reading()
        self.body.clear()
        parts.memory.close(self.caller)
        request_id = parts.dialect.request_id(headers)
        status = error.http_status
        logger.info(
            "caller rejected",
            extra={
                "event": "caller_rejected",
                "outcome": str(status),
                "reason": str(error),
                "request_id": request_id,
            },
        )
        parts.metrics.callers_rejected.add(1, {"status": str(status)})
        answer_headers = parts.dialect.refusal_headers(request_id)
        if isinstance(error, StoppingError):
            self._record_stop(answer_headers)
        self.caller.send_answer(status, answer_headers, str(error))

    def _record_stop(self, headers: HTTPHeaders) -> None:
        """Count a refusal by a planned stop, and tell when to come again."""
        state = self.front.parts.state
        if state.stop is not None:
            state.stop.refused += 1
        self.front.parts.metrics.planned_stops.add(1, {"outcome": "refused"})
        retry_after_s = local_refusal_retry_after_s(state.contact_of_peers(), state.rng)
        headers["Retry-After"] = f"{retry_after_s:.2f}"

    def connection_closed(self) -> None:
        self._stop_reading()
        if self.work is not None:
            self.work.cancel()
        else:
            self.front.parts.memory.close(self.caller)

    async def _serve(self) -> None:
        assert self.head is not None
        self.caller.should_close = self.front.parts.state.is_stopping
        body = b"".join(self.body)
        self.body.clear()
        exchange = self.exchange
        try:
            if exchange is None:
                exchange = self._new_exchange(body)
            else:
                exchange.request = attrs.evolve(exchange.request, body=body)
        except InvalidRequestError as error:
            self.rejected(error, self.head.headers)
            return
        exchange.complete_s = self.complete_s
        exchange.is_memory_short = self.is_refused
        await exchange.run()

    def _new_exchange(self, body: bytes) -> Exchange:
        parts, head = self.front.parts, self.head
        assert head is not None
        return Exchange(
            request=parts.dialect.read_request(
                head.method, head.path, head.headers, body
            ),
            caller=self.caller,
            parts=parts,
            received_s=self.received_s,
        )

    def _on_done(self, work: asyncio.Task) -> None:
        self.front.running.discard(work)
        self.front.connections.discard(self.connection)
        error = None if work.cancelled() else work.exception()
        if error is not None and not isinstance(error, StreamClosedError):
            self._report(error)
        self.front.parts.memory.close(self.caller)

    def _report(self, error: BaseException) -> None:
        """Log an error of the gateway itself, and answer the request if possible."""
        assert self.head is not None
        dialect = self.front.parts.dialect
        request_id = dialect.request_id(self.head.headers)
        logger.error(
            "exchange failed",
            exc_info=error,
            extra={"event": "internal_error", "request_id": request_id},
        )
        if self.caller.has_begun:
            self.caller.abort()
            return
        self.caller.should_close = True
        headers = dialect.refusal_headers(request_id)
        try:
            self.caller.send_answer(502, headers, OUTCOME_UNKNOWN)
        except (StreamClosedError, h11.LocalProtocolError):
            self.caller.abort()


def limit_send_buffer(listener: socket.socket) -> None:
    """Limit what the kernel buffers for each connection that is accepted later."""
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)


@attrs.define(eq=False, repr=False)
class StatusDelegate:
    """Answer GET requests with a status and a body.

    Parameters
    ----------
    answer : callable
        Takes the path and returns the status and the body.
    """

    answer: Callable[[str], tuple[int, bytes]]

    def start_request(self, connection: HttpConnection) -> RequestHandler:
        """Return the handler of one request."""
        return _StatusRequest(self.answer, connection)


@attrs.define(eq=False, repr=False)
class _StatusRequest:
    """Handle one request for a status."""

    answer: Callable[[str], tuple[int, bytes]]
    connection: HttpConnection
    path: str = "/"

    def head_received(self, head: RequestHead) -> None:
        self.path = head.path

    def data_received(self, data: bytes) -> None:
        """Ignore the body."""

    def body_awaited(self) -> None:
        """Wait for the body."""

    def body_received(self) -> None:
        status, body = self.answer(self.path)
        with contextlib.suppress(StreamClosedError):
            self.connection.send_answer(status, HTTPHeaders(), body)

    def rejected(self, error: InvalidRequestError, headers: HTTPHeaders) -> None:
        text = f"{error}\n".encode()
        self.connection.send_answer(error.http_status, HTTPHeaders(), text)

    def connection_closed(self) -> None:
        """Do nothing: the answer was sent at once."""


def readiness(state: GatewayState) -> Callable[[str], tuple[int, bytes]]:
    """Return the handler for readiness probes of the load balancer."""

    def answer(path: str) -> tuple[int, bytes]:
        if state.is_ready(boot_time_s()):
            return 200, b"ready\n"
        return 503, b"not ready\n"

    return answer


def caller_limits(state: GatewayState) -> Callable[[], CallerLimits]:
    """Return the function that returns the limits of the configuration in force."""
    defaults = CallerLimits()

    def limits() -> CallerLimits:
        return defaults if state.table is None else state.table.limits

    return limits
