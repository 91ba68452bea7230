"""One attempt to execute a request on an endpoint and relay its answer."""

import asyncio

import attrs
from tornado.httputil import HTTPHeaders

from ..decisions.event_stream import EventSplitter
from ..decisions.forwarding import Broken, Failed, Failure, Progress
from ..decisions.placement.demand import Assignment
from ..decisions.placement.load_tracker import TIGHT_PAUSE_S
from ..decisions.routes import Route, Workspace
from .caller import CallerConnection
from .parts import GatewayParts
from .ports import CallerRequest, Helper, SendOptions
from .request_log import RequestLog
from .reservations import ReservationError
from .state import boot_time_s
from .upstream import (
    AnswerHead,
    ExchangeError,
    Upstream,
    connect_timeout_s,
    connected,
)

STREAM_TIMEOUT_PAUSES = 4.0
"""Time without an event, in pause targets, after which a stream is taken to be dead."""

MIN_STREAM_TIMEOUT_S = 0.9
"""Lower bound of this time: longer than the longest engine pass with short prefills."""

FIRST_EVENT_SLACK_OBJECTIVES = 3.0
"""Time allowed beyond the expected first event, in objectives: an endpoint that exceeds
it is full or dead, and callers leave after four objectives."""

MIN_FIRST_EVENT_SLACK_S, MAX_FIRST_EVENT_SLACK_S = 0.8, 5.0
"""Bounds of this time. The minimum covers several engine passes. The maximum leaves
time for a second prefill of a long prompt, which takes engines seconds."""

TIGHT_STREAM_PRIORITY = 2
"""Engine priority of streams with a short pause target; the default is 5."""


@attrs.define(eq=False, kw_only=True)
class AdmittedRequest:
    """A request that passed admission, and the progress of its answer.

    Parameters
    ----------
    request : CallerRequest
    route : Route
    service : str
    workspace : Workspace or None
    fingerprint : int
        Equal for all repetitions of a request by the same caller.
    received_s, deadline_s : float
    progress : Progress
    splitter : EventSplitter
        Holds the id of the last event that the caller has received.
    excluded : set of str
        Ids of endpoints that already failed this request.
    is_trial : bool
        Whether it is sent although a part of its prompt is blamed for deaths.
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
    is_trial: bool = False


@attrs.define(eq=False, kw_only=True)
class Attempt:
    """Send a request to one endpoint and relay the answer.

    Parameters
    ----------
    parts : GatewayParts
    admitted : AdmittedRequest
    caller : CallerConnection
    log : RequestLog
    assignment : Assignment
    """

    parts: GatewayParts
    admitted: AdmittedRequest
    caller: CallerConnection
    log: RequestLog
    assignment: Assignment
    _event_timer: asyncio.TimerHandle | None = attrs.field(init=False, default=None)
    _read_timeout: asyncio.Timeout | None = attrs.field(init=False, default=None)
    _is_endpoint_lost: bool = attrs.field(init=False, default=False)

    async def run(self) -> Failure | None:
        """Reserve the KV cache that the request needs and send it.

        Returns
        -------
        Failure or None
            None if the caller has received the complete answer.
        """
        request_id = self.admitted.request.request_id
        try:
            async with self.parts.reserver.holding(
                request_id,
                self.assignment.tickets,
                self.assignment.first,
                self._on_endpoint_lost,
            ) as ticket_ids:
                return await self._send(_helpers(self.assignment, ticket_ids))
        except ReservationError as error:
            return error.failure

    async def _send(self, helpers: tuple[Helper, ...]) -> Failure | None:
        loop = asyncio.get_running_loop()
        request, endpoint = self.admitted.request, self.assignment.first
        left_s = self.admitted.deadline_s - loop.time()
        send = SendOptions(
            endpoint=endpoint,
            helpers=helpers,
            wait_s=left_s,
            workspace=self.admitted.workspace,
            resume_after=self.admitted.splitter.last_id,
            engine_priority=self._engine_priority(),
        )
        self._log_send(left_s)
        self.parts.state.request_sent(request.request_id)
        headers = self.parts.dialect.endpoint_headers(request, send)
        try:
            timeout_s = min(left_s, connect_timeout_s(self.admitted.route.objective_s))
            async with connected(endpoint.address, timeout_s) as upstream:
                self.admitted.progress.is_in_flight = True
                await upstream.send(request.method, request.path, headers, request.body)
                failure = await self._read_answer(upstream)
        except ExchangeError as error:
            return error.failure
        if failure is None:
            self.parts.state.troubles.succeeded(endpoint.endpoint_id, loop.time())
            self.parts.state.faults.succeeded(endpoint.endpoint_id, loop.time())
            self.parts.state.suspicions.completed(
                self.admitted.fingerprint, loop.time()
            )
            self.parts.state.part_suspicions.completed(
                request.shared_parts, loop.time()
            )
        return failure

    def _log_send(self, left_s: float) -> None:
        now_s = asyncio.get_running_loop().time()
        table, loads = self.parts.state.table, self.parts.state.loads
        size = self.admitted.request.size
        self.log.write(
            "sent",
            outcome="sent",
            endpoint=self.assignment.first.endpoint_id,
            helpers=[helper.endpoint_id for helper in self.assignment.helpers],
            prompt_tokens=size.prompt_tokens if size else None,
            parts=self.admitted.request.shared_parts,
            choices=self.assignment.choices,
            domain=self.assignment.first.failure_domain,
            locality=self.assignment.locality,
            running=loads.endpoint_use(self.assignment.first.address, now_s).streams,
            peers=len(loads.peers(now_s)),
            limit_per_s=self.parts.state.named_limits.requests_per_s(
                self.assignment.first.endpoint_id
            ),
            load_age_ms=round(loads.oldest_report_s(now_s) * 1000),
            tickets=len(self.assignment.tickets),
            expected_ms=round(self.assignment.first_event_ms),
            waited_ms=round((now_s - self.admitted.received_s) * 1000),
            left_ms=round(left_s * 1000),
            version=table.version if table else None,
            resume_after=self.admitted.splitter.last_id,
        )

    def _engine_priority(self) -> int | None:
        if self.admitted.request.size is None:
            return None
        return (
            TIGHT_STREAM_PRIORITY
            if self.admitted.route.pause_s < TIGHT_PAUSE_S
            else None
        )

    async def _read_answer(self, upstream: Upstream) -> Failure | None:
        timeout_s = None
        if self.admitted.route.is_stream:
            objective_s = self.admitted.route.objective_s
            slack_s = min(
                MAX_FIRST_EVENT_SLACK_S, FIRST_EVENT_SLACK_OBJECTIVES * objective_s
            )
            timeout_s = self.assignment.first_event_ms / 1000 + max(
                MIN_FIRST_EVENT_SLACK_S, slack_s
            )
        try:
            async with asyncio.timeout(None) as limit:
                self._read_timeout = limit
                self._restart_timer(limit, timeout_s)
                head = await upstream.head()
                failure = self._check_head(head)
                if not isinstance(failure, Broken):
                    self._record_notice(head)
                if failure is not None:
                    return failure
                if not self.admitted.route.is_stream or head.status != 200:
                    self._restart_timer(limit, None)
                    return await self._relay_complete(upstream, head)
                return await self._relay_stream(upstream, head, limit)
        except TimeoutError as error:
            if not limit.expired():
                raise
            if self._is_endpoint_lost:
                return Broken("the endpoint can't be reached any more")
            return Broken(f"silent: {error!r}", is_silent=True)
        finally:
            self._read_timeout = None
            self._restart_timer(None, None)

    def _restart_timer(
        self, limit: asyncio.Timeout | None, timeout_s: float | None
    ) -> None:
        """Restart the timer for the next event; without a timeout, only stop it."""
        if self._event_timer is not None:
            self._event_timer.cancel()
            self._event_timer = None
        if limit is not None and timeout_s is not None:
            loop = asyncio.get_running_loop()
            self._event_timer = loop.call_later(
                timeout_s, self._on_event_timeout, limit
            )

    def _on_event_timeout(self, limit: asyncio.Timeout) -> None:
        """End an attempt without events if it can fail over; otherwise keep waiting."""
        now_s = asyncio.get_running_loop().time()
        if self._can_fail_over(
            now_s, boot_time_s()
        ) and self.parts.state.retries.try_retry(now_s):
            limit.reschedule(now_s)

    def _on_endpoint_lost(self) -> None:
        """End the attempt at a lost endpoint at once if the request can fail over."""
        now_s = asyncio.get_running_loop().time()
        if self._read_timeout is not None and self._can_fail_over(now_s, boot_time_s()):
            self._is_endpoint_lost = True
            self._read_timeout.reschedule(now_s)

    def _can_fail_over(self, now_s: float, now_boot_s: float) -> bool:
        admitted, state = self.admitted, self.parts.state
        tried = {self.assignment.first.endpoint_id, *admitted.excluded}
        return (
            admitted.progress.may_fail_over
            and state.is_key_valid(admitted.request.key, admitted.workspace, now_boot_s)
            and state.has_alternative(admitted.service, tried, now_s)
        )

    def _record_notice(self, head: AnswerHead) -> None:
        """Record what the endpoint says of itself, and log what changes by it."""
        notice = self.parts.dialect.read_notice(head.status, head.headers)
        if notice is None:
            return
        endpoint_id = self.assignment.first.endpoint_id
        now_s = asyncio.get_running_loop().time()
        if self.parts.state.named_limits.observe(
            endpoint_id, notice.limit_per_s, now_s
        ):
            self.log.write(
                "limit named",
                outcome="limited" if notice.limit_per_s is not None else "unlimited",
                endpoint=endpoint_id,
                limit_per_s=notice.limit_per_s,
            )
        endpoint = self.assignment.first
        if notice.is_leaving and self.parts.state.directory.said_leaving(
            endpoint.endpoint_id, endpoint.born_ms, now_s
        ):
            self.log.write(
                "endpoint leaving", outcome="leaving", endpoint=endpoint.endpoint_id
            )
        if notice.pause_s is not None:
            until_s = self.parts.state.pauses.pause(
                endpoint, notice.pause_s, self.parts.state.rng, now_s
            )
            self.log.write(
                "pause asked",
                outcome="paused",
                endpoint=endpoint.endpoint_id,
                asked_s=notice.pause_s,
                left_s=round(until_s - now_s, 3),
            )

    def _check_head(self, head: AnswerHead) -> Failure | None:
        dialect = self.parts.dialect
        declined = dialect.parse_decline(head.status, head.headers)
        if declined is not None:
            return declined
        if not dialect.answers(self.admitted.request, head.headers):
            return Broken("an answer to another request")
        if not dialect.is_genuine(head.headers):
            return Broken(f"status {head.status} without a signature")
        return None

    async def _relay_complete(
        self, upstream: Upstream, head: AnswerHead
    ) -> Failure | None:
        """Relay an answer that is not a stream once it is complete."""
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

    async def _relay_stream(
        self, upstream: Upstream, head: AnswerHead, limit: asyncio.Timeout
    ) -> Failure | None:
        """Relay complete events as they arrive."""
        pause_s = self.admitted.route.pause_s
        timeout_s = max(MIN_STREAM_TIMEOUT_S, STREAM_TIMEOUT_PAUSES * pause_s)
        splitter = EventSplitter(last_id=self.admitted.splitter.last_id)
        self.admitted.splitter = splitter
        async for chunk in upstream.chunks():
            events = splitter.feed(chunk)
            if not events:
                continue
            if not self.caller.has_begun:
                await self._begin_stream(head)
            self._restart_timer(limit, timeout_s)
            self.parts.state.loads.prefill_completed(self.admitted.request.request_id)
            await self.caller.write(b"".join(events))
        if splitter.has_partial_event:
            return Broken("the stream ended in the middle of an event")
        if not splitter.last_id and not head.is_framed:
            # It ends like one whose endpoint died before the first event.
            return Broken("the stream ended before its first event")
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


def _helpers(assignment: Assignment, ticket_ids: dict[str, str]) -> tuple[Helper, ...]:
    """List the helpers with tickets first: their KV cache is filled in this order."""
    helpers = [
        Helper(endpoint, ticket_ids.get(endpoint.endpoint_id, ""))
        for endpoint in assignment.helpers
    ]
    return tuple(sorted(helpers, key=lambda helper: not helper.ticket_id))
