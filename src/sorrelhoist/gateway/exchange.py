"""One request from its arrival to the end of its answer."""

import asyncio
import contextlib
import logging

import attrs
from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, ResponseStartLine
from tornado.iostream import StreamClosedError

from ..decisions.event_stream import EventSplitter
from ..decisions.forwarding import (
    Broken,
    Declined,
    Failed,
    FailUnknown,
    Failure,
    NextStep,
    PassOn,
    Progress,
    RefuseNotRun,
    TryAgain,
    after_failure,
    give_up,
)
from ..decisions.load_book import TIGHT_PAUSE_S
from ..decisions.routes import Route, Workspace
from ..decisions.spreading import Busy, Impossible, Spread
from .dispatch import Ask, Dispatcher
from .ports import CallerRequest, Dialect, Helper, Send
from .reservations import ReservationError, Reserver
from .state import GatewayState, boot_time_s
from .upstream import AnswerHead, ExchangeError, Upstream, connected

logger = logging.getLogger(__name__)

STREAM_SILENCE_PAUSES = 4.0
"""A stream that is silent for so many pause targets is taken to be dead."""

LEAST_SILENCE_S = 0.9
"""Longer than the longest pass beside short reads."""

FIRST_EVENT_SLACK_S = 2.0
"""Beyond the expected first event; engines stall for up to 1.5 s on a helper that
died, and answer after that."""

HURRIED_PRIORITY = 2
"""Engine priority of streams with tight pauses; the default is 5."""

BUSY_RETRY_AFTER_S = 0.5
"""Within it several places become free on a full fleet."""

NO_CONTACT_RETRY_AFTER_S = 0.2
"""Another gateway can serve the caller at once."""

REASONS = {
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    422: "Unprocessable Content",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class CallerConnection:
    """The caller's side of one exchange, over a connection of tornado's server.

    Parameters
    ----------
    connection : tornado.http1connection.HTTP1Connection
    dialect : Dialect
    """

    def __init__(self, connection: HTTP1Connection, dialect: Dialect) -> None:
        self._connection = connection
        self._dialect = dialect
        self.has_begun = False
        self.closes_after = False

    async def begin(self, head: AnswerHead, headers: HTTPHeaders) -> None:
        """Send status and headers."""
        self.has_begun = True
        if self.closes_after:
            headers["Connection"] = "close"
        line = ResponseStartLine("HTTP/1.1", head.status, head.reason)
        await self._connection.write_headers(line, headers)

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""
        await self._connection.write(data)

    def finish(self) -> None:
        """End the answer properly."""
        self._connection.finish()

    def abort(self) -> None:
        """Close the connection, so that a begun answer doesn't look whole."""
        stream = self._connection.stream
        if stream is not None:
            stream.close()

    async def answer(self, status: int, headers: HTTPHeaders, text: str) -> None:
        """Send an answer of our own."""
        body = (text + "\n").encode()
        headers["Content-Type"] = "text/plain"
        headers["Content-Length"] = str(len(body))
        head = AnswerHead(status, REASONS.get(status, "Unknown"), headers)
        await self.begin(head, headers)
        await self.write(body)
        self.finish()


@attrs.define(eq=False, kw_only=True)
class Exchange:
    """One request and its answer.

    Parameters
    ----------
    request : CallerRequest
    caller : CallerConnection
    state : GatewayState
    dispatcher : Dispatcher
    reserver : Reserver
    dialect : Dialect
    received_s : float
        Monotonic time at which its headers came.
    """

    request: CallerRequest
    caller: CallerConnection
    state: GatewayState
    dispatcher: Dispatcher
    reserver: Reserver
    dialect: Dialect
    received_s: float
    _route: Route = attrs.field(init=False)
    _service: str = attrs.field(init=False, default="")
    _workspace: Workspace | None = attrs.field(init=False, default=None)
    _progress: Progress = attrs.field(init=False)
    _deadline_s: float = attrs.field(init=False)
    _excluded: set[str] = attrs.field(init=False, factory=set)
    _splitter: EventSplitter = attrs.field(init=False, factory=EventSplitter)

    async def run(self) -> None:
        """Serve the request; the caller always gets an answer or a closed one."""
        try:
            await self._serve()
        except StreamClosedError:
            self._log("caller gone", "cancelled")
        except asyncio.CancelledError:
            self._log("caller gone", "cancelled")
            raise

    async def _serve(self) -> None:
        refused = self._admit()
        if refused is not None:
            await self._own_answer(*refused)
            return
        self.state.retries.first_attempt(self.received_s)
        try:
            async with asyncio.timeout_at(self._deadline_s):
                last = await self._forward()
        except TimeoutError:
            last = give_up(self._progress, "its time is over")
        if last is not None:
            await self._conclude(last)

    def _admit(self) -> tuple[int, str, float | None] | None:
        """Check what is known without an endpoint; return a refusal or None."""
        table = self.state.table
        if table is None:
            return 503, "no configuration yet", NO_CONTACT_RETRY_AFTER_S
        route = table.match(self.request.host, self.request.path)
        if route is None:
            return 404, "no such route", None
        workspaces = table.workspaces
        if workspaces is not None and not route.is_public:
            self._workspace = workspaces.get(self.request.key or "")
            if self._workspace is None and self._may_use_keys():
                return 401, "unknown key", None
            if not self._may_use_keys():
                return 503, "keys can't be checked now", NO_CONTACT_RETRY_AFTER_S
        self._route = route
        self._service = route.choose_service(self.state.rng.random())
        wait_s = min(self.request.wait_s or route.timeout_s, route.timeout_s)
        self._deadline_s = self.received_s + wait_s
        self._progress = Progress(
            repeat=route.repeat, max_endpoints=max(1, route.max_endpoints)
        )
        self._splitter.last_id = self.request.resume_after
        return None

    def _may_use_keys(self) -> bool:
        return self.state.contact.may_use_keys(boot_time_s())

    def _key_is_valid(self) -> bool:
        """Check the key again before each send: it may be taken away meanwhile."""
        if self._workspace is None:
            return True
        table = self.state.table
        workspaces = table.workspaces if table else None
        holder = (workspaces or {}).get(self.request.key or "")
        return (
            self._may_use_keys()
            and holder is not None
            and holder.name == self._workspace.name
        )

    async def _forward(self) -> NextStep | None:
        """Send it to endpoints until it is answered; None when it is."""
        loop = asyncio.get_running_loop()
        while True:
            ask = Ask(
                request=self.request,
                route=self._route,
                service=self._service,
                objective_due_s=self.received_s + self._route.objective_s,
                deadline_s=self._deadline_s,
                excluded=frozenset(self._excluded),
            )
            place = await self.dispatcher.place(ask, loop.time())
            match place:
                case Busy():
                    return give_up(self._progress, "no endpoint has room")
                case Impossible(reason=reason):
                    return give_up(self._progress, reason)
            try:
                failure = await self._attempt(place)
            finally:
                self.state.loads.release(self.request.request_id)
            if failure is None:
                return None
            step = self._after(failure, place, loop.time())
            if not isinstance(step, TryAgain):
                return step
            if not self.state.retries.try_retry(loop.time()):
                return give_up(self._progress, "the retry budget is spent")

    def _after(self, failure: Failure, place: Spread, now_s: float) -> NextStep:
        endpoint = place.first
        self._excluded.add(endpoint.endpoint_id)
        blamed = endpoint.endpoint_id
        weight = 1.0
        match failure:
            case Declined(faulty_address=address, is_full=is_full):
                for helper in place.helpers:
                    if helper.address == address:
                        blamed = helper.endpoint_id
                        self._excluded.add(blamed)
                weight = 0.4 if is_full else 1.0
            case Failed():
                weight = 0.5
        self.state.troubles.failed(blamed, now_s, weight)
        step = after_failure(failure, self._progress)
        self._log(
            "attempt failed",
            type(step).__name__,
            endpoint=endpoint.endpoint_id,
            helpers=len(place.helpers),
            failure=str(failure),
            blamed=blamed,
        )
        return step

    async def _attempt(self, place: Spread) -> Failure | None:
        """Reserve what it needs and send it; return what went wrong, if anything."""
        try:
            async with self.reserver.holding(
                self.request.request_id, place.tickets
            ) as ticket_ids:
                helpers = _helpers(place, ticket_ids)
                return await self._send(place, helpers)
        except ReservationError as error:
            return error.failure

    async def _send(self, place: Spread, helpers: tuple[Helper, ...]) -> Failure | None:
        loop = asyncio.get_running_loop()
        endpoint = place.first
        left_s = self._deadline_s - loop.time()
        if not self._key_is_valid():
            return Declined("its key is not valid any more", is_full=True)
        if not self.state.directory.is_usable(endpoint, loop.time()):
            return Declined("the endpoint is leaving", is_full=True)
        send = Send(
            endpoint=endpoint,
            helpers=helpers,
            wait_s=left_s,
            workspace=self._workspace,
            resume_after=self._splitter.last_id,
            engine_priority=self._engine_priority(),
        )
        self._log(
            "sent",
            "sent",
            endpoint=endpoint.endpoint_id,
            helpers=len(place.helpers),
            expected_ms=round(place.first_event_ms),
            waited_ms=round((loop.time() - self.received_s) * 1000),
            version=self.state.table.version if self.state.table else None,
            resume_after=self._splitter.last_id,
        )
        headers = self.dialect.endpoint_headers(self.request, send)
        try:
            async with connected(endpoint.address, left_s) as upstream:
                await upstream.send(
                    self.request.method, self.request.path, headers, self.request.body
                )
                failure = await self._read_answer(upstream, place)
        except ExchangeError as error:
            return error.failure
        except TimeoutError:
            # The endpoint may still be at work on it when the time is over.
            self._progress.runs += 1
            raise
        if failure is None:
            self.state.troubles.succeeded(endpoint.endpoint_id, loop.time())
        return failure

    def _engine_priority(self) -> int | None:
        if self.request.size is None:
            return None
        return HURRIED_PRIORITY if self._route.pause_s < TIGHT_PAUSE_S else None

    async def _read_answer(self, upstream: Upstream, place: Spread) -> Failure | None:
        limit_s = None
        if self._route.is_stream:
            limit_s = place.first_event_ms / 1000 + FIRST_EVENT_SLACK_S
        try:
            async with asyncio.timeout(limit_s) as limit:
                head = await upstream.head()
                declined = self.dialect.declined(head.status, head.headers)
                if declined is not None:
                    return declined
                if not self.dialect.answers(self.request, head.headers):
                    return Broken("an answer to another request")
                if not self.dialect.is_genuine(head.headers):
                    return Broken(f"status {head.status} without a signature")
                if not self._route.is_stream or head.status != 200:
                    limit.reschedule(None)
                    return await self._pass_whole(upstream, head)
                return await self._pass_stream(upstream, head, limit)
        except TimeoutError as error:
            if not limit.expired():
                raise
            if asyncio.get_running_loop().time() >= self._deadline_s:
                raise
            return Broken(f"silent: {error!r}")

    async def _pass_whole(self, upstream: Upstream, head: AnswerHead) -> Failure | None:
        """Pass an answer on once it is whole."""
        body = await upstream.body()
        if head.status >= 500 and self._progress.may_repeat:
            failed = Failed(head.status)
            if self._progress.runs + 1 < self._progress.max_endpoints:
                return failed
        headers = self.dialect.caller_headers(head.headers)
        headers["Content-Length"] = str(len(body))
        self._log("answered", "answered", status=head.status)
        await self.caller.begin(head, headers)
        await self.caller.write(body)
        self.caller.finish()
        return None

    async def _pass_stream(
        self, upstream: Upstream, head: AnswerHead, limit: asyncio.Timeout
    ) -> Failure | None:
        """Pass whole events on as they come."""
        loop = asyncio.get_running_loop()
        silence_s = max(LEAST_SILENCE_S, STREAM_SILENCE_PAUSES * self._route.pause_s)
        self._splitter = EventSplitter(last_id=self._splitter.last_id)
        async for chunk in upstream.chunks():
            events = self._splitter.feed(chunk)
            if not events:
                continue
            if not self.caller.has_begun:
                await self._begin_stream(head, place_ms=loop.time())
            limit.reschedule(loop.time() + silence_s)
            self.state.loads.read_ended(self.request.request_id)
            await self.caller.write(b"".join(events))
        if self._splitter.has_rest:
            return Broken("the stream ended in the middle of an event")
        if not self.caller.has_begun:
            await self._begin_stream(head, place_ms=loop.time())
        self.caller.finish()
        self._log("answered", "answered", last_id=self._splitter.last_id)
        return None

    async def _begin_stream(self, head: AnswerHead, place_ms: float) -> None:
        self._progress.has_begun = True
        headers = self.dialect.caller_headers(head.headers)
        self._log(
            "first event",
            "streaming",
            first_event_ms=round((place_ms - self.received_s) * 1000),
        )
        await self.caller.begin(head, headers)

    async def _conclude(self, step: NextStep) -> None:
        if self.caller.has_begun:
            self._log("broken off", "closed", reason=str(step))
            self.caller.abort()
            return
        match step:
            case RefuseNotRun(reason=reason):
                await self._own_answer(503, reason, BUSY_RETRY_AFTER_S)
            case FailUnknown(reason=reason):
                late = asyncio.get_running_loop().time() >= self._deadline_s
                await self._own_answer(504 if late else 502, reason, None)
            case PassOn() | TryAgain():
                await self._own_answer(502, "the endpoint failed", None)

    async def _own_answer(
        self, status: int, reason: str, retry_after_s: float | None
    ) -> None:
        self._log("refused", str(status), reason=reason)
        headers = self.dialect.refusal_headers(self.request.request_id)
        if retry_after_s is not None:
            headers["Retry-After"] = f"{retry_after_s:g}"
        with contextlib.suppress(StreamClosedError):
            await self.caller.answer(status, headers, reason)

    def _log(self, message: str, outcome: str, **inputs: object) -> None:
        logger.info(
            message,
            extra={
                "event": message.replace(" ", "_"),
                "request_id": self.request.request_id,
                "outcome": outcome,
                "contact_age_s": round(self.state.contact.age_s(boot_time_s()), 2),
            }
            | inputs,
        )


def _helpers(place: Spread, ticket_ids: dict[str, str]) -> tuple[Helper, ...]:
    """List the helpers that hold tickets first: their memory is filled in turn."""
    helpers = [
        Helper(endpoint, ticket_ids.get(endpoint.endpoint_id, ""))
        for endpoint in place.helpers
    ]
    return tuple(sorted(helpers, key=lambda helper: not helper.ticket_id))
