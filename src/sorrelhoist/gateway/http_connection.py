"""One HTTP connection of a client: requests are read, and answers written, with h11."""

import asyncio
import contextlib
import logging
import re
import socket
from collections.abc import Callable
from typing import Any, Protocol

import attrs
import h11
from tornado.httputil import HTTPHeaders
from tornado.iostream import StreamClosedError

from ..decisions.caller_timeouts import (
    Answered,
    Answering,
    Closing,
    Idle,
    Overdue,
    Phase,
    ReadingBody,
    ReadingHead,
    find_overdue,
)
from ..decisions.request_target import parse_target
from ..decisions.routes import CallerLimits
from ..exceptions import (
    BodyTooLargeError,
    HeadersTooLargeError,
    InvalidRequestError,
    RequestTimeoutError,
    StoppingError,
    UnsupportedTransferError,
    UnsupportedVersionError,
)
from .socket_stream import READ_BYTES, SocketStream

logger = logging.getLogger(__name__)

MAX_AHEAD_BYTES = READ_BYTES
"""Bytes of further requests that are read while a request is served."""

MAX_EVENT_BYTES = 1 << 40
"""Bound of h11 for incomplete heads; the limits of the operator are checked here."""

LINGER_S, MAX_LINGER_S = 2.0, 15.0
"""Time for which a connection is read after an answer to a request that wasn't read to
its end: since the last byte, and in all. If it were closed before, the reset could
destroy the answer; many clients read it only once they have sent their body."""

LINGER_BYTES = 64 * 1024 * 1024
"""Bytes that are discarded in this time."""

MAX_STEPS = 64
"""Requests and parts of bodies of one connection that are processed before others have
their turn."""

FLUSH_S = 10.0
"""Time that a client has to take the end of the last answer."""

EARLY_END_S = 0.1
"""Time after a request within which the end of the client's side is taken for that of
its requests: a client that gives up has waited for longer."""

HALF_CLOSED_S = 0.3
"""Time for which such a request is worked on before its answer begins: if the client is
gone after all, not for much longer than for others that are gone."""

EMPTY_LINE = b"\r\n"

NO_CONTENT, NOT_MODIFIED = 204, 304

REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    408: "Request Timeout",
    413: "Content Too Large",
    422: "Unprocessable Content",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
    505: "HTTP Version Not Supported",
}


@attrs.frozen(kw_only=True)
class RequestHead:
    """Head of a request.

    Parameters
    ----------
    method, path : str
        The path is in origin form, with the query.
    version : str
        Such as ``"1.1"``.
    headers : tornado.httputil.HTTPHeaders
        Each character of a value stands for one byte of it (Latin-1). The host is that
        of the target if it names one.
    body_bytes : int or None
        Length of the body, None if it isn't declared.
    """

    method: str
    path: str
    version: str
    headers: HTTPHeaders
    body_bytes: int | None


class RequestHandler(Protocol):
    """Handles one request."""

    def head_received(self, head: RequestHead) -> None:
        """Process the head; the body follows."""

    def data_received(self, data: bytes) -> None:
        """Process a part of the body."""

    def body_awaited(self) -> None:
        """Check whether the rest of the body is worth waiting for.

        Called once all that has arrived is processed, and from time to time until the
        body is complete. The handler may discard the rest and answer.

        Raises
        ------
        InvalidRequestError
            If the request is to be rejected.
        """

    def body_received(self) -> None:
        """Answer the request, which is complete."""

    def rejected(self, error: InvalidRequestError, headers: HTTPHeaders) -> None:
        """Answer a request that isn't valid or over a limit; its rest is not read.

        Parameters
        ----------
        error : InvalidRequestError
        headers : tornado.httputil.HTTPHeaders
            Headers of the request as far as they are known.
        """

    def connection_closed(self) -> None:
        """Stop handling the request: its connection is closed."""


class RequestDelegate(Protocol):
    """Creates the handlers of the requests of a server."""

    def start_request(self, connection: "HttpConnection") -> RequestHandler:
        """Return the handler of one request."""


_CONTROL = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
_CONTINUE = h11.InformationalResponse(status_code=100, headers=[], reason=b"Continue")


class HttpConnection:
    """Read the requests of one connection one after the other, and write their answers.

    While a request is served the connection is read on, so that its end is noticed.

    Parameters
    ----------
    connection : socket.socket
    delegate : RequestDelegate
    limits : callable
        Returns the limits that apply now.
    on_close : callable
        Called with the connection when it is closed.

    Attributes
    ----------
    is_cut : bool
        Whether it was closed because the server ends.
    """

    def __init__(
        self,
        connection: socket.socket,
        delegate: RequestDelegate,
        limits: Callable[[], CallerLimits],
        on_close: Callable[["HttpConnection"], None],
    ) -> None:
        self.stream = SocketStream(
            connection, self._on_data, self._on_close, self._on_end
        )
        self._delegate = delegate
        self._limits = limits
        self._on_closed = on_close
        self._phase: Phase = Idle(_now_s())
        self._protocol = _new_protocol()
        self._handler: RequestHandler | None = None
        self._headers = HTTPHeaders()
        self._received_bytes = 0
        self._body_bytes = 0
        self._is_body_awaited = False
        self._ahead = bytearray()
        self._is_advancing = False
        self._is_yielding = False
        self._is_discarding = False
        self._discarded_bytes = 0
        self._unsent = b""
        self._is_lingering = False
        self._linger_end_s = 0.0
        self._is_bodiless = False
        self._is_begun = False
        self._is_whole = False
        self._is_ended = False
        self._request_s = 0.0
        self.is_cut = False

    def start(self) -> None:
        """Read requests until the connection is closed."""
        self.stream.start()

    def idle_s(self, now_s: float) -> float:
        """Return the time since the last request, 0 while there is one."""
        return now_s - self._phase.since_s if isinstance(self._phase, Idle) else 0.0

    def check_time(self, now_s: float) -> None:
        """End the connection if the client has let it wait too long."""
        limits = self._limits()
        match find_overdue(self._phase, limits, now_s):
            case Overdue.HEAD:
                time_s = limits.header_timeout_s
                reason = f"The headers were not complete within {time_s:g} s."
                self._reject(RequestTimeoutError(reason))
            case Overdue.BODY:
                reason = "The rest of the body did not arrive."
                self._reject(RequestTimeoutError(reason))
            case Overdue.REQUEST | Overdue.CLOSE:
                self.stream.close()
            case None if self._is_reading_body and not self.stream.has_data():
                self.check_body()

    def check_body(self) -> None:
        """Let the handler check whether the rest of the body is worth waiting for."""
        if self._handler is None or not self._is_reading_body:
            return
        try:
            self._handler.body_awaited()
        except InvalidRequestError as error:
            self._reject(error)

    def refuse_unread(self) -> None:
        """Refuse a request that was not read to its end: the process stops."""
        if isinstance(self._phase, ReadingHead | ReadingBody):
            self._reject(StoppingError("The gateway is stopping."))

    # Reading

    def _on_data(self, data: bytes) -> None:
        phase = type(self._phase)
        if self._is_discarding or phase is Closing:
            self._discarded_bytes += len(data)
            if self._discarded_bytes > LINGER_BYTES:
                self.stream.close()
            elif self._is_lingering:
                due_s = min(_now_s() + LINGER_S, self._linger_end_s)
                self._phase = Closing(due_s)
        elif phase is Answering or phase is Answered:
            self._ahead += data
            if len(self._ahead) >= MAX_AHEAD_BYTES:
                self.stream.pause()
        else:
            now_s = _now_s()
            self._receive(data, now_s)
            self._advance(now_s)

    def _on_end(self) -> None:
        """Close the connection, unless its client may still wait for an answer.

        Until something is sent, a client that has ended only its own side can't be told
        from one that is gone, which mostly leaves after some time.
        """
        now_s, phase = _now_s(), type(self._phase)
        if phase is Answering and (self._is_whole or self._is_ended):
            self._is_ended = True
        elif phase is Answering and now_s - self._request_s < EARLY_END_S:
            self._is_ended = True
            loop = asyncio.get_running_loop()
            loop.call_later(HALF_CLOSED_S, self._on_unanswered)
        elif phase in (Answered, Closing) and self.stream.unsent is not None:
            self._is_ended = True
        else:
            self.stream.close()

    def _on_unanswered(self) -> None:
        """Close the connection of a client that ended its side, unless it is served.

        If it is gone, what was sent to it has closed the connection.
        """
        if isinstance(self._phase, Answering) and not self._is_begun:
            self.stream.close()

    def _receive(self, data: bytes, now_s: float) -> None:
        phase = type(self._phase)
        if phase is Idle:
            # Clients may send empty lines before a request.
            data = data.lstrip(b"\r\n")
            if not data:
                return
            self._phase = ReadingHead(now_s)
        elif phase is ReadingBody:
            self._phase = ReadingBody(now_s)
        self._received_bytes += len(data)
        self._protocol.receive_data(data)

    def _advance(self, now_s: float) -> None:
        """Process what was received, as far as that is possible now."""
        if self._is_advancing or self._is_yielding:
            return  # This is a call from inside of the loop below, or it goes on later.
        self._is_advancing = True
        try:
            for _ in range(MAX_STEPS):
                if not self._step(now_s):
                    return
        finally:
            self._is_advancing = False
        # What is read meanwhile would only have to be held.
        self._is_yielding = True
        self.stream.pause()
        asyncio.get_running_loop().call_soon(self._go_on)

    def _go_on(self) -> None:
        """Process more of what was received after others had their turn."""
        self._is_yielding = False
        if self.stream.closed():
            return
        self._advance(_now_s())
        if not self._is_yielding:
            self.stream.read()

    def _step(self, now_s: float) -> bool:
        """Process one event; return whether there may be another."""
        phase = type(self._phase)
        if phase is Answered:
            return self._next_request(now_s)
        if phase not in (ReadingHead, ReadingBody):
            return False
        try:
            return self._process_event(now_s)
        except h11.RemoteProtocolError as error:
            self._reject(_rejection(error))
        except InvalidRequestError as error:
            self._reject(error)
        except StreamClosedError:
            return False
        except Exception:
            logger.exception("request failed", extra={"event": "internal_error"})
            self.stream.close()
            return False
        return True

    def _process_event(self, now_s: float) -> bool:
        event: Any = self._protocol.next_event()
        kind = type(event)
        if kind is h11.Data:
            self._process_data(event.data)
        elif kind is h11.Request:
            self._process_head(event, now_s)
        elif kind is h11.EndOfMessage:
            assert self._handler is not None
            self._phase = Answering()
            self._request_s = now_s
            self._handler.body_received()
        else:
            self._check_incomplete()
            return isinstance(self._phase, Answered)  # It was rejected.
        return True

    def _process_data(self, data: bytes) -> None:
        assert self._handler is not None
        self._body_bytes += len(data)
        self._check_body_size(self._body_bytes)
        self._handler.data_received(data)

    def _process_head(self, request: h11.Request, now_s: float) -> None:
        self._is_bodiless = request.method == b"HEAD"
        unread_bytes = len(self._protocol.trailing_data[0])
        self._headers = _read_headers(request)
        head_bytes = self._received_bytes - unread_bytes
        self._check_head_size(head_bytes - _request_line_bytes(request))
        head = _read_head(request, self._headers)
        self._check_body_size(head.body_bytes or 0)
        self._phase = ReadingBody(now_s)
        self._handler = self._delegate.start_request(self)
        self._handler.head_received(head)
        is_waiting = self._protocol.they_are_waiting_for_100_continue
        if not is_waiting or head.version == "1.0":
            return
        if not unread_bytes:
            self._await_body()
        if self._is_reading_body:
            self._write(self._protocol.send(_CONTINUE) or b"")

    def _await_body(self) -> None:
        """Let the handler check the request once, unless more of it is there."""
        if self._is_body_awaited or self.stream.has_data():
            return
        self._is_body_awaited = True
        self.check_body()

    def _check_incomplete(self) -> None:
        """Check the size of a head, chunk header or trailer that is not complete."""
        received = self._protocol.trailing_data[0]
        if isinstance(self._phase, ReadingHead):
            request_line_bytes = received.find(b"\n") + 1
            self._check_head_size(len(received) - request_line_bytes)
        else:
            self._check_head_size(len(received))
            self._await_body()

    def _check_head_size(self, size_bytes: int) -> None:
        """Check the size of header fields with the empty line after them."""
        limit_bytes = self._limits().max_header_bytes
        if size_bytes > limit_bytes + len(EMPTY_LINE):
            raise HeadersTooLargeError(f"The headers exceed {limit_bytes} bytes.")

    def _check_body_size(self, size_bytes: int) -> None:
        limit_bytes = self._limits().max_body_bytes
        if size_bytes > limit_bytes:
            raise BodyTooLargeError(f"The body exceeds {limit_bytes} bytes.")

    @property
    def _is_reading_body(self) -> bool:
        return isinstance(self._phase, ReadingBody)

    def discard_body(self) -> None:
        """Let the request be answered now, although its body was not read to its end.

        The connection is closed after the answer.
        """
        self._is_discarding = True
        self._phase = Answering()
        self._request_s = _now_s()

    def _reject(self, error: InvalidRequestError) -> None:
        self.discard_body()
        if self._handler is None:
            self._handler = self._delegate.start_request(self)
        with contextlib.suppress(StreamClosedError):
            self._handler.rejected(error, self._headers)

    # Answers

    def is_bodiless(self, status: int) -> bool:
        """Return whether the answer has no body, whatever its headers say."""
        return self._is_bodiless or status in (NO_CONTENT, NOT_MODIFIED)

    def send_head(self, status: int, reason: str, headers: HTTPHeaders) -> None:
        """Send the status and the headers of an answer, together with its first data.

        Raises
        ------
        h11.LocalProtocolError
            If they can't be written; another answer may be sent instead.
        """
        fields = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in headers.get_all()
        ]
        if self._is_discarding:
            fields.append((b"Connection", b"close"))
        response = h11.Response(
            status_code=status, reason=reason.encode("latin-1"), headers=fields
        )
        self._is_bodiless = self.is_bodiless(status)
        self._unsent = self._protocol.send(response) or b""
        self._is_begun = True

    def hold_open(self) -> None:
        """Let the connection outlast the end of its client's side.

        The whole answer is there, and only has to be sent.
        """
        self._is_whole = True

    def send_data(self, data: bytes) -> asyncio.Future[None] | None:
        """Send a part of the body.

        Returns
        -------
        asyncio.Future or None
            Done when the connection has taken it; None if it has already.

        Raises
        ------
        StreamClosedError
            If the connection is closed.
        """
        if self._is_bodiless or not data:
            return None
        return self._write(self._protocol.send(h11.Data(data)) or b"")

    def _write(self, data: bytes) -> asyncio.Future[None] | None:
        unsent, self._unsent = self._unsent, b""
        if unsent and len(data) < READ_BYTES:
            data = unsent + data
        elif unsent:
            self.stream.write(unsent)
        return self.stream.write(data)

    def finish(self) -> None:
        """Complete the answer, and go on with the next request.

        Raises
        ------
        StreamClosedError
            If the connection is closed.
        """
        end = self._protocol.send(h11.EndOfMessage()) or b""
        if self._unsent or end:
            self._write(end)
        self._handler = None
        now_s = _now_s()
        self._phase = Answered(now_s)
        self._advance(now_s)

    def send_answer(self, status: int, headers: HTTPHeaders, body: bytes) -> None:
        """Send a whole answer.

        Raises
        ------
        StreamClosedError
            If the connection is closed.
        """
        headers["Content-Length"] = str(len(body))
        self.send_head(status, REASON_PHRASES.get(status, "Unknown"), headers)
        self.send_data(body)
        self.finish()

    def _next_request(self, now_s: float) -> bool:
        if self.stream.closed():
            return False
        is_last = (
            self._is_discarding
            or self._is_ended
            or self._protocol.our_state is not h11.DONE
        )
        unsent = self.stream.unsent
        if unsent is not None and not is_last:
            # Answers would pile up if further requests were processed.
            unsent.add_done_callback(self._on_taken)
            return False
        rest = self._protocol.trailing_data[0] + self._ahead
        self._ahead.clear()
        if is_last:
            is_rest_expected = self._is_discarding or bool(rest)
            self._close_gently(now_s, is_rest_expected and not self._is_ended)
            return False
        self._protocol = _new_protocol()
        self._headers = HTTPHeaders()
        self._received_bytes = self._body_bytes = 0
        self._is_bodiless = self._is_body_awaited = False
        self._is_begun = self._is_whole = False
        self._phase = Idle(now_s)
        self._receive(rest, now_s)
        self.stream.read()
        return not isinstance(self._phase, Idle)

    def _on_taken(self, unsent: asyncio.Future[None]) -> None:
        if not self.stream.closed():
            self._advance(_now_s())

    # Closing

    def _close_gently(self, now_s: float, is_rest_expected: bool) -> None:
        """Close the connection once the client has the answer."""
        self._phase = Closing(now_s + (LINGER_S if is_rest_expected else FLUSH_S))
        self._is_lingering = is_rest_expected
        self._linger_end_s = now_s + MAX_LINGER_S
        unsent = self.stream.unsent
        if unsent is None:
            self._on_flushed(None)
        else:
            unsent.add_done_callback(self._on_flushed)

    def _on_flushed(self, write: asyncio.Future[None] | None) -> None:
        if self.stream.closed():
            return
        if not self._is_lingering:
            self.stream.close()
            return
        with contextlib.suppress(OSError):
            self.stream.socket.shutdown(socket.SHUT_WR)
        self.stream.read()

    def cut(self) -> None:
        """Close the connection at once, so that no cut answer looks whole."""
        self.is_cut = not self.stream.closed()
        is_unframed = self._protocol.their_http_version == b"1.0"
        self.abort(is_reset=isinstance(self._phase, Answering) and is_unframed)

    def abort(self, is_reset: bool = False) -> None:
        """Close the connection at once.

        Parameters
        ----------
        is_reset : bool
            Whether the client must be able to tell this from the end of an answer
            whose end is that of its connection.
        """
        self.stream.close(is_reset)

    def _on_close(self) -> None:
        self._on_closed(self)
        handler, self._handler = self._handler, None
        if handler is not None:
            handler.connection_closed()


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def _new_protocol() -> h11.Connection:
    return h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_EVENT_BYTES)


def _request_line_bytes(request: h11.Request) -> int:
    separators = len(b"  HTTP/") + len(EMPTY_LINE)
    parts = (request.method, request.target, request.http_version)
    return sum(map(len, parts)) + separators


def _rejection(error: h11.RemoteProtocolError) -> InvalidRequestError:
    # The rest of the text is what the client sent, such as its key.
    reason = str(error).partition(": bytearray")[0]
    message = f"The request can't be read: {reason}."
    if error.error_status_hint == UnsupportedTransferError.http_status:
        return UnsupportedTransferError(message)
    return InvalidRequestError(message)


def _read_headers(request: h11.Request) -> HTTPHeaders:
    headers = HTTPHeaders()
    for raw_name, raw_value in request.headers.raw_items():
        name, value = raw_name.decode("latin-1"), raw_value.decode("latin-1")
        if _CONTROL.search(value):
            raise InvalidRequestError(f"The header {name} has a control character.")
        # h11 has checked the rest, which add() would do once more.
        if name in headers:
            headers.add(name, value)
        else:
            headers[name] = value
    return headers


def _read_head(request: h11.Request, headers: HTTPHeaders) -> RequestHead:
    """Check the parts of a head that h11 leaves to its users."""
    if not request.http_version.startswith(b"1."):
        version = request.http_version.decode("ascii")
        raise UnsupportedVersionError(f"HTTP/{version} is not supported.")
    length = headers.get("Content-Length")
    if length is not None and "Transfer-Encoding" in headers:
        # Of two servers one may go by the length and one by the chunks, and take a part
        # of the body for another request.
        raise InvalidRequestError(
            "Content-Length and Transfer-Encoding exclude each other."
        )
    method = request.method.decode("ascii")
    try:
        target = parse_target(
            method, request.target.decode("ascii"), headers.get("Host", "")
        )
    except ValueError as error:
        raise InvalidRequestError(f"{error}.".capitalize()) from error
    headers["Host"] = target.host
    return RequestHead(
        method=method,
        path=target.path,
        version=request.http_version.decode("ascii"),
        headers=headers,
        body_bytes=_body_bytes(request, headers),
    )


def _body_bytes(request: h11.Request, headers: HTTPHeaders) -> int | None:
    """Return the length of the body, or None if it isn't known before its end."""
    if "Transfer-Encoding" in headers:
        return None
    # h11 has reduced lengths that are repeated to one.
    lengths = (value for name, value in request.headers if name == b"content-length")
    return int(next(lengths, b"0"))
