"""One request at one endpoint, and its answer on the way to the caller."""

import asyncio

import attrs
from tornado.httputil import HTTPHeaders

from ..decisions.event_stream import EventSplitter
from ..decisions.forwarding import Broken, Failed, Failure, Progress
from ..decisions.load_tracker import TIGHT_PAUSE_S
from ..decisions.placement_demand import Assignment
from ..decisions.routes import Route, Workspace
from .caller import CallerConnection
from .parts import GatewayParts
from .ports import CallerRequest, Helper, Send
from .request_log import RequestLog
from .reservations import ReservationError
from .state import boot_time_s
from .upstream import AnswerHead, ExchangeError, Upstream, connected

STREAM_SILENCE_PAUSES = 4.0
"""A stream that is silent for so many pause targets is taken to be dead."""

LEAST_SILENCE_S = 0.9
"""Longer than the longest pass beside short reads."""

SLACK_OBJECTIVES = 3.0
"""Beyond the expected first event a stream is given so many objectives: an endpoint
that is late by more is full or dead, and the caller leaves after four."""

LEAST_SLACK_S, MOST_SLACK_S = 0.8, 5.0
"""At least several passes; at most what leaves a long prompt the time to be read once
more, which costs engines seconds."""

HURRIED_PRIORITY = 2
"""Engine priority of streams with tight pauses; the default is 5."""


@attrs.define(eq=False, kw_only=True)
class Admitted:
    """A request that was let in, and how far its answer got.

    Parameters
    ----------
    request : CallerRequest
    route : Route
    service : str
    workspace : Workspace or None
    fingerprint : int
        The same for each repetition of a request by the same caller.
    received_s, deadline_s : float
    progress : Progress
    splitter : EventSplitter
        Knows the last event that the caller has.
    """

    request: CallerRequest
    route: Route
    service: str
    workspace: Workspace | None
    fingerprint: int
    received_s: float
    deadline_s: float
    progress: Progress
    splitter: EventSplitter
    excluded: set[str] = attrs.field(factory=set)


@attrs.define(eq=False, kw_only=True)
class Attempt:
    """One send.

    Parameters
    ----------
    parts : GatewayParts
    admitted : Admitted
    caller : CallerConnection
    log : RequestLog
    place : Assignment
    """

    parts: GatewayParts
    admitted: Admitted
    caller: CallerConnection
    log: RequestLog
    place: Assignment
    _silence: asyncio.TimerHandle | None = attrs.field(init=False, default=None)
    _limit: asyncio.Timeout | None = attrs.field(init=False, default=None)
    _is_lost: bool = attrs.field(init=False, default=False)

    async def run(self) -> Failure | None:
        """Reserve what it needs and send it.

        Returns
        -------
        Failure or None
            None when the caller has the whole answer.
        """
        request_id = self.admitted.request.request_id
        try:
            async with self.parts.reserver.holding(
                request_id, self.place.tickets, self.place.first, self._was_lost
            ) as ticket_ids:
                return await self._send(_helpers(self.place, ticket_ids))
        except ReservationError as error:
            return error.failure

    async def _send(self, helpers: tuple[Helper, ...]) -> Failure | None:
        loop = asyncio.get_running_loop()
        request, endpoint = self.admitted.request, self.place.first
        left_s = self.admitted.deadline_s - loop.time()
        send = Send(
            endpoint=endpoint,
            helpers=helpers,
            wait_s=left_s,
            workspace=self.admitted.workspace,
            resume_after=self.admitted.splitter.last_id,
            engine_priority=self._engine_priority(),
        )
        self._log_send(left_s)
        self.parts.state.count_cold_send(endpoint, loop.time())
        headers = self.parts.dialect.endpoint_headers(request, send)
        try:
            async with connected(endpoint.address, left_s) as upstream:
                self.admitted.progress.is_in_flight = True
                await upstream.send(request.method, request.path, headers, request.body)
                failure = await self._read_answer(upstream)
        except ExchangeError as error:
            return error.failure
        if failure is None:
            self.parts.state.troubles.succeeded(endpoint.endpoint_id, loop.time())
            self.parts.state.suspicions.completed(
                self.admitted.fingerprint, loop.time()
            )
        return failure

    def _log_send(self, left_s: float) -> None:
        now_s = asyncio.get_running_loop().time()
        table, loads = self.parts.state.table, self.parts.state.loads
        size = self.admitted.request.size
        self.log.write(
            "sent",
            outcome="sent",
            endpoint=self.place.first.endpoint_id,
            helpers=[helper.endpoint_id for helper in self.place.helpers],
            prompt_tokens=size.prompt_tokens if size else None,
            choices=self.place.choices,
            running=loads.endpoint_use(self.place.first.address, now_s).streams,
            peers=len(loads.peers(now_s)),
            load_age_ms=round(loads.oldest_report_s(now_s) * 1000),
            tickets=len(self.place.tickets),
            expected_ms=round(self.place.first_event_ms),
            waited_ms=round((now_s - self.admitted.received_s) * 1000),
            left_ms=round(left_s * 1000),
            version=table.version if table else None,
            resume_after=self.admitted.splitter.last_id,
        )

    def _engine_priority(self) -> int | None:
        if self.admitted.request.size is None:
            return None
        return HURRIED_PRIORITY if self.admitted.route.pause_s < TIGHT_PAUSE_S else None

    async def _read_answer(self, upstream: Upstream) -> Failure | None:
        limit_s = None
        if self.admitted.route.is_stream:
            objective_s = self.admitted.route.objective_s
            slack_s = min(MOST_SLACK_S, SLACK_OBJECTIVES * objective_s)
            limit_s = self.place.first_event_ms / 1000 + max(LEAST_SLACK_S, slack_s)
        try:
            async with asyncio.timeout(None) as limit:
                self._limit = limit
                self._watch(limit, limit_s)
                head = await upstream.head()
                failure = self._check_head(head)
                if failure is not None:
                    return failure
                if not self.admitted.route.is_stream or head.status != 200:
                    self._watch(limit, None)
                    return await self._pass_whole(upstream, head)
                return await self._pass_stream(upstream, head, limit)
        except TimeoutError as error:
            if not limit.expired():
                raise
            if self._is_lost:
                return Broken("the endpoint can't be reached any more")
            return Broken(f"silent: {error!r}", is_silent=True)
        finally:
            self._limit = None
            self._watch(None, None)

    def _watch(self, limit: asyncio.Timeout | None, silence_s: float | None) -> None:
        """Start to wait for the next event anew."""
        if self._silence is not None:
            self._silence.cancel()
            self._silence = None
        if limit is not None and silence_s is not None:
            loop = asyncio.get_running_loop()
            self._silence = loop.call_later(silence_s, self._was_silent, limit)

    def _was_silent(self, limit: asyncio.Timeout) -> None:
        """Give up a silent endpoint only for another one; else wait on."""
        now_s = asyncio.get_running_loop().time()
        if self._can_move(now_s, boot_time_s()) and self.parts.state.retries.try_retry(
            now_s
        ):
            limit.reschedule(now_s)

    def _was_lost(self) -> None:
        """End the attempt at once when its endpoint is gone, if it can move."""
        now_s = asyncio.get_running_loop().time()
        if self._limit is not None and self._can_move(now_s, boot_time_s()):
            self._is_lost = True
            self._limit.reschedule(now_s)

    def _can_move(self, now_s: float, now_boot_s: float) -> bool:
        admitted, state = self.admitted, self.parts.state
        tried = {self.place.first.endpoint_id, *admitted.excluded}
        return (
            admitted.progress.may_move
            and state.is_key_valid(admitted.request.key, admitted.workspace, now_boot_s)
            and state.has_alternative(admitted.service, tried, now_s)
        )

    def _check_head(self, head: AnswerHead) -> Failure | None:
        dialect = self.parts.dialect
        declined = dialect.declined(head.status, head.headers)
        if declined is not None:
            return declined
        if not dialect.answers(self.admitted.request, head.headers):
            return Broken("an answer to another request")
        if not dialect.is_genuine(head.headers):
            return Broken(f"status {head.status} without a signature")
        return None

    async def _pass_whole(self, upstream: Upstream, head: AnswerHead) -> Failure | None:
        """Pass an answer on once it is whole."""
        body = await upstream.body()
        progress = self.admitted.progress
        is_last = progress.runs + 1 >= progress.max_endpoints
        if self.caller.has_begun:
            return Failed(head.status)
        if head.status >= 500 and progress.may_repeat and not is_last:
            return Failed(head.status)
        headers = self._caller_headers(head)
        headers["Content-Length"] = str(len(body))
        self.log.write("answered", outcome="answered", status=head.status)
        await self.caller.begin(head, headers)
        await self.caller.write(body)
        self.caller.finish()
        return None

    async def _pass_stream(
        self, upstream: Upstream, head: AnswerHead, limit: asyncio.Timeout
    ) -> Failure | None:
        """Pass whole events on as they come."""
        pause_s = self.admitted.route.pause_s
        silence_s = max(LEAST_SILENCE_S, STREAM_SILENCE_PAUSES * pause_s)
        splitter = EventSplitter(last_id=self.admitted.splitter.last_id)
        self.admitted.splitter = splitter
        async for chunk in upstream.chunks():
            events = splitter.feed(chunk)
            if not events:
                continue
            if not self.caller.has_begun:
                await self._begin_stream(head)
            self._watch(limit, silence_s)
            self.parts.state.loads.prefill_completed(self.admitted.request.request_id)
            await self.caller.write(b"".join(events))
        if splitter.has_rest:
            return Broken("the stream ended in the middle of an event")
        if not self.caller.has_begun:
            await self._begin_stream(head)
        self.caller.finish()
        self.log.write("answered", outcome="answered", last_id=splitter.last_id)
        return None

    async def _begin_stream(self, head: AnswerHead) -> None:
        self.admitted.progress.has_begun = True
        waited_s = asyncio.get_running_loop().time() - self.admitted.received_s
        self.parts.metrics.first_event.record(waited_s)
        self.log.write(
            "first event", outcome="streaming", first_event_ms=round(waited_s * 1000)
        )
        await self.caller.begin(head, self._caller_headers(head))

    def _caller_headers(self, head: AnswerHead) -> HTTPHeaders:
        return self.parts.dialect.caller_headers(head.headers)


def _helpers(place: Assignment, ticket_ids: dict[str, str]) -> tuple[Helper, ...]:
    """List the helpers that hold tickets first: their memory is filled in turn."""
    helpers = [
        Helper(endpoint, ticket_ids.get(endpoint.endpoint_id, ""))
        for endpoint in place.helpers
    ]
    return tuple(sorted(helpers, key=lambda helper: not helper.ticket_id))
