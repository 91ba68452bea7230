"""One attempt to execute a request on an endpoint and relay its answer."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

import attrs
from tornado.httputil import HTTPHeaders

from ..decisions.event_stream import EventSplitter, is_comment
from ..decisions.forwarding import Broken, Failed, Failure, Progress, Withheld
from ..decisions.placement.demand import Assignment
from ..decisions.placement.load_tracker import EndpointUse
from ..decisions.placement.pause_monitor import StreamPauses, estimate_pass
from ..decisions.placement.pauses import is_tight
from ..decisions.placement.prefill_watch import (
    LATE_S,
    RECHECK_S,
    Move,
    PrefillWatch,
    Wait,
)
from ..decisions.planned_stop import PlannedStop, WorkEstimate, slack_s
from ..decisions.routes import Route, Workspace
from ..decisions.work import EngineLoad, SizedWork, Work, nominal_work, sized_work
from .caller import CallerConnection
from .dispatch import PlacementRequest
from .parts import GatewayParts
from .ports import CallerRequest, Helper, SendOptions
from .request_log import RequestLog
from .reservations import ReservationError
from .retry_charges import RetryCharge
from .sent_work import SentWork
from .state import GatewayState, boot_time_s
from .upstream import (
    AnswerHead,
    ExchangeError,
    Upstream,
    connect_timeout_s,
    connected,
    refuses_connections,
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

EXIT_S = 0.02
"""Time in which a process that is killed closes all its sockets, one by one."""

TIGHT_STREAM_PRIORITY = 2
"""Engine priority of streams with a short pause target; the default is 5."""


@attrs.define(eq=False, repr=False, kw_only=True)
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
    received_s : float
        Time at which its headers were received.
    complete_s : float
        Time at which its body was received, or the present time if it isn't whole.
    due_s : float
        Deadline of the caller and the route.
    deadline_s : float
        The same, or earlier if a planned stop moves it into the grace period.
    progress : Progress
    retry : RetryCharge
    splitter : EventSplitter
        Holds the id of the last event that the caller has received.
    excluded : set of str
        Ids of endpoints that already failed this request.
    is_trial : bool
        Whether it is sent although a part of its prompt is blamed for deaths.
    is_moved : bool
        Whether it was moved once because its first event was overdue.
    relayed_events : int
        Events that its caller has received.
    sent : SentWork or None
        What was expected when it was last sent to an endpoint.
    pauses : StreamPauses or None
        Events of its stream at that endpoint.
    """

    request: CallerRequest
    route: Route
    service: str
    workspace: Workspace | None
    fingerprint: int
    received_s: float
    complete_s: float
    due_s: float
    deadline_s: float
    progress: Progress
    retry: RetryCharge
    splitter: EventSplitter
    excluded: set[str] = attrs.field(factory=set)
    is_trial: bool = False
    is_moved: bool = False
    relayed_events: int = 0
    sent: SentWork | None = None
    pauses: StreamPauses | None = None

    def progress_fields(self, now_s: float) -> dict[str, object]:
        """Return how far its work has come, for the log."""
        size = self.request.size
        fields: dict[str, object] = {
            "prompt_tokens": size.prompt_tokens if size is not None else None,
            "declared_tokens": size.output_tokens if size is not None else None,
            "runs": self.progress.runs,
        }
        if self.sent is not None:
            fields |= self.sent.log_fields(self.pauses, now_s)
        return fields

    def work(
        self,
        state: GatewayState,
        now_s: float,
        assignment: Assignment | None = None,
        use: EndpointUse | None = None,
    ) -> Work | SizedWork:
        """Return the work that is left, before or after the placement.

        Parameters
        ----------
        state : GatewayState
        now_s : float
        assignment : Assignment or None
        use : EndpointUse or None
            Load of the first endpoint; summed if it isn't given.
        """
        size, costs = self.request.size, state.engine_costs(self.service)
        if size is None or costs is None or not size.output_tokens:
            return nominal_work(self.route)
        relayed_tokens = self.relayed_events * costs.tokens_per_event
        load = None
        if assignment is not None:
            first = assignment.first
            load = EngineLoad(
                first_event_s=assignment.first_event_ms / 1000,
                use=use or state.loads.endpoint_use(first.address, now_s),
                slowness=state.pass_corrections.slowness(first.endpoint_id, now_s),
                is_split=bool(assignment.tickets),
            )
        return sized_work(
            self.route,
            self.service,
            costs,
            size.prompt_tokens,
            max(0, size.output_tokens - relayed_tokens),
            load,
        )

    def estimate(
        self, state: GatewayState, now_s: float, assignment: Assignment | None = None
    ) -> WorkEstimate:
        """Return the time in which an endpoint answers.

        It is 0 once the answer has begun: a resumed stream goes on as long as it can,
        since its end would not be better for the caller if it came earlier.
        """
        if self.progress.has_begun:
            return WorkEstimate()
        return self._estimate_left(state, now_s, assignment)

    def _estimate_left(
        self, state: GatewayState, now_s: float, assignment: Assignment | None
    ) -> WorkEstimate:
        work = self.work(state, now_s, assignment)
        more_s = slack_s(self.route.repeat)
        times = state.work_times
        return WorkEstimate(
            likely_s=times.expected_s(work, now_s) + more_s,
            longest_s=times.longest_s(work, now_s) + more_s,
            first_event_s=times.longest_first_event_s(work, now_s) + more_s,
            is_stream=self.route.is_stream,
        )

    def move_deadline(self, stop: PlannedStop, has_begun: bool) -> None:
        """Move the deadline into the grace period of a planned stop."""
        self.deadline_s = stop.deadline_s(self.due_s, has_begun)

    def left_s(self, stop: PlannedStop | None, now_s: float) -> float:
        """Return the time in which an endpoint must end the answer."""
        if stop is None:
            return self.deadline_s - now_s
        return stop.deadline_s(self.due_s, self.route.is_stream) - now_s

    def fits_stop(
        self, state: GatewayState, now_s: float, assignment: Assignment | None = None
    ) -> bool:
        """Return whether the request, if sent now, can end before the process does."""
        return state.stop is None or state.stop.fits(
            self.estimate(state, now_s, assignment),
            self.complete_s,
            self.deadline_s,
            now_s,
        )

    def fits_elsewhere(
        self, state: GatewayState, now_s: float, assignment: Assignment
    ) -> bool:
        """Return whether another endpoint can do what is left before the process ends.

        Unlike a request that was broken off, one whose endpoint still has it may end
        there.
        """
        return state.stop is None or state.stop.fits(
            self._estimate_left(state, now_s, assignment),
            self.complete_s,
            self.deadline_s,
            now_s,
        )


@attrs.define(eq=False, repr=False, kw_only=True)
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
    _watch: PrefillWatch | None = attrs.field(init=False, default=None)
    _is_endpoint_lost: bool = attrs.field(init=False, default=False)
    _is_answered: bool = attrs.field(init=False, default=False)

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
        left_s = self.admitted.left_s(self.parts.state.stop, loop.time())
        send = SendOptions(
            endpoint=endpoint,
            helpers=helpers,
            wait_s=left_s,
            workspace=self.admitted.workspace,
            resume_after=self.admitted.splitter.last_id,
            engine_priority=self._engine_priority(),
        )
        state = self.parts.state
        use = state.loads.endpoint_use(endpoint.address, loop.time())
        work = self.admitted.work(state, loop.time(), self.assignment, use)
        sent = SentWork(
            sent_s=loop.time(),
            assignment=self.assignment,
            use=use,
            work=work,
            likely_s=state.work_times.expected_s(work, loop.time()),
            longest_s=state.work_times.longest_s(work, loop.time()),
            placed_ms=state.loads.placed_ms(endpoint.address),
        )
        self._log_send(left_s, sent)
        self.admitted.sent, self.admitted.pauses = sent, None
        self.parts.state.request_sent(request.request_id)
        headers = self.parts.dialect.endpoint_headers(request, send)
        try:
            timeout_s = min(left_s, connect_timeout_s(self.admitted.route.objective_s))
            async with connected(endpoint.address, timeout_s) as upstream:
                if not self.admitted.retry.try_send(loop.time()):
                    return Withheld("what was to pay for the retry has lapsed")
                self.admitted.progress.is_in_flight = True
                with self._timed(work):
                    await upstream.send(
                        request.method, request.path, headers, request.body
                    )
                    failure = await self._read_answer(upstream)
                    self._is_answered = failure is None
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

    @contextmanager
    def _timed(self, work: Work | SizedWork) -> Iterator[None]:
        """Measure how long the endpoint has the request."""
        loop, state = asyncio.get_running_loop(), self.parts.state
        request_id = self.admitted.request.request_id
        state.work_times.began(request_id, work, loop.time())
        try:
            yield
        finally:
            state.work_times.ended(request_id, self._is_answered, loop.time())

    def _log_send(self, left_s: float, sent: SentWork) -> None:
        now_s, use = sent.sent_s, sent.use
        state, size = self.parts.state, self.admitted.request.size
        table, loads = state.table, state.loads
        self.log.write(
            "sent",
            outcome="sent",
            endpoint=self.assignment.first.endpoint_id,
            helpers=[helper.endpoint_id for helper in self.assignment.helpers],
            prompt_tokens=size.prompt_tokens if size else None,
            output_tokens=size.output_tokens if size else None,
            parts=self.admitted.request.shared_parts,
            choices=self.assignment.choices,
            domain=self.assignment.first.failure_domain,
            locality=self.assignment.locality,
            running=use.streams,
            kv_tokens=use.kv_tokens,
            backlog_ms=round(use.backlog_ms(now_s)),
            peers=len(loads.peers(now_s)),
            limit_per_s=state.named_limits.requests_per_s(
                self.assignment.first.endpoint_id
            ),
            load_age_ms=round(loads.oldest_report_s(now_s) * 1000),
            tickets=len(self.assignment.tickets),
            expected_ms=round(self.assignment.first_event_ms),
            nominal_ms=_ms(sent.work.nominal_s),
            likely_ms=_ms(sent.likely_s),
            longest_ms=_ms(sent.longest_s),
            body_ms=_ms(self.admitted.complete_s - self.admitted.received_s),
            waited_ms=round((now_s - self.admitted.received_s) * 1000),
            left_ms=round(left_s * 1000),
            version=table.version if table else None,
            resume_after=self.admitted.splitter.last_id,
        )

    def _engine_priority(self) -> int | None:
        if self.admitted.request.size is None:
            return None
        costs = self.parts.state.engine_costs(self.admitted.service)
        return (
            TIGHT_STREAM_PRIORITY
            if is_tight(self.admitted.route.pause_s, costs)
            else None
        )

    async def _read_answer(self, upstream: Upstream) -> Failure | None:
        timeout_s = None
        if self.admitted.route.is_stream:
            objective_s = self.admitted.route.objective_s
            slack_s = min(
                MAX_FIRST_EVENT_SLACK_S, FIRST_EVENT_SLACK_OBJECTIVES * objective_s
            )
            slack_s = max(MIN_FIRST_EVENT_SLACK_S, slack_s)
            timeout_s = self.assignment.first_event_ms / 1000 + slack_s
            if self.assignment.is_long:
                now_s = asyncio.get_running_loop().time()
                self._watch = PrefillWatch.start(
                    self.assignment, self.parts.state.loads, slack_s, now_s
                )
                watches = self.parts.state.prefill_watches
                watches[self.admitted.request.request_id] = self._watch
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
                if not self.admitted.route.is_stream or not head.may_be_stream:
                    if self.caller.has_begun:
                        return Failed(head.status)
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
            self._end_watch()

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
        """End an attempt without events if another endpoint can take over now.

        Otherwise it goes on: its endpoint may be busy with other prompts.
        """
        now_s = asyncio.get_running_loop().time()
        if self._watch is not None and not self._may_move(self._watch, limit, now_s):
            return
        if (
            self._can_fail_over(now_s, boot_time_s())
            and self._has_place_elsewhere(now_s)
            and self.admitted.retry.try_reserve(now_s)
        ):
            if self._watch is not None:
                self.admitted.is_moved = True
            limit.reschedule(now_s)
        else:
            self._restart_timer(limit, RECHECK_S)

    def _has_place_elsewhere(self, now_s: float) -> bool:
        """Return whether another endpoint has a place now, and time for the rest."""
        placement = self.parts.dispatcher.preview(self._request_elsewhere(), now_s)
        return isinstance(placement, Assignment) and self.admitted.fits_elsewhere(
            self.parts.state, now_s, placement
        )

    def _may_move(
        self, watch: PrefillWatch, limit: asyncio.Timeout, now_s: float
    ) -> bool:
        """Return whether an overdue prefill goes elsewhere; else check it again."""
        if self.admitted.is_moved:
            return False
        decision = watch.check(
            self.parts.state.loads,
            lambda: self.parts.dispatcher.preview(self._request_elsewhere(), now_s),
            self.admitted.deadline_s,
            now_s,
        )
        fields = {
            "endpoint": self.assignment.first.endpoint_id,
            "expected_ms": round(watch.expected_ms),
            "waited_ms": round((now_s - watch.sent_s) * 1000),
            "placed_since_ms": _rounded(watch, self.parts),
        }
        match decision:
            case Wait(until_s=until_s, reason=reason):
                self.parts.metrics.overdue_prefills.add(1, {"outcome": "left"})
                self.log.write(
                    "prefill overdue", outcome="left", reason=reason, **fields
                )
                self._restart_timer(limit, until_s - now_s)
                return False
            case Move(expected_ms=expected_ms):
                self.parts.metrics.overdue_prefills.add(1, {"outcome": "moved"})
                self.log.write(
                    "prefill overdue", outcome="moved", new_ms=expected_ms, **fields
                )
                return True

    def _end_watch(self) -> None:
        self._watch = None
        self.parts.state.prefill_watches.pop(self.admitted.request.request_id, None)

    def _record_lateness(self, watch: PrefillWatch) -> None:
        """Compare the first event of a long prompt with its expectation."""
        now_s = asyncio.get_running_loop().time()
        lateness_s = watch.lateness_s(now_s)
        self.parts.metrics.prefill_lateness.record(
            lateness_s, {"view_age": watch.view_age()}
        )
        if lateness_s > LATE_S:
            self.log.write(
                "prefill late",
                outcome="late",
                endpoint=self.assignment.first.endpoint_id,
                expected_ms=round(watch.expected_ms),
                measured_ms=round((now_s - watch.sent_s) * 1000),
                load_age_ms=round(watch.view_age_s * 1000),
                placed_since_ms=_rounded(watch, self.parts),
            )

    def _request_elsewhere(self) -> PlacementRequest:
        admitted = self.admitted
        return PlacementRequest(
            request=admitted.request,
            route=admitted.route,
            service=admitted.service,
            objective_due_s=admitted.received_s + admitted.route.objective_s,
            deadline_s=admitted.deadline_s,
            excluded=frozenset({*admitted.excluded, self.assignment.first.endpoint_id}),
        )

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
            and admitted.fits_stop(state, now_s)
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
        # A refusal of another request doesn't say that this one has not run.
        if not dialect.answers(self.admitted.request, head.headers):
            return Broken("an answer to another request")
        declined = dialect.parse_decline(head.status, head.headers)
        if declined is not None:
            return declined
        if not dialect.is_genuine(head.headers):
            return Broken(f"status {head.status} without a signature")
        return None

    async def _relay_complete(
        self, upstream: Upstream, head: AnswerHead
    ) -> Failure | None:
        """Relay an answer that is not a stream once it is complete."""
        account = self.caller.account
        body = await upstream.body(account.hold_answer if account else _ignore_size)
        progress = self.admitted.progress
        is_last = progress.runs + 1 >= progress.max_endpoints
        if head.status >= 500 and progress.may_repeat and not is_last:
            return Failed(head.status)
        has_content = head.has_content(self.admitted.request.method)
        is_empty = has_content and not body and not head.is_framed
        if is_empty and head.status < 300:
            # It ends like one whose endpoint died after the head.
            return Broken("the answer ended before its content")
        if has_content and await self._has_died(head):
            return Broken("the endpoint died as its answer ended")
        headers = self._caller_headers(head)
        if has_content:
            headers["Content-Length"] = str(len(body))
        elif head.status != 204 and "Content-Length" in head.headers:
            headers["Content-Length"] = head.headers["Content-Length"]
        self.log.write("answered", outcome="answered", status=head.status)
        await self.caller.begin(head, headers)
        if account is not None:
            account.hold_answer(0)
        self.caller.write(body)
        return None

    async def _relay_stream(
        self, upstream: Upstream, head: AnswerHead, limit: asyncio.Timeout
    ) -> Failure | None:
        """Relay complete events as they arrive."""
        pause_s = self.admitted.route.pause_s
        timeout_s = max(MIN_STREAM_TIMEOUT_S, STREAM_TIMEOUT_PAUSES * pause_s)
        splitter = EventSplitter(
            last_id=self.admitted.splitter.last_id, must_resume=self.caller.has_begun
        )
        self.admitted.splitter = splitter
        pauses = self.admitted.pauses = StreamPauses(target_s=pause_s)
        account = self.caller.account
        is_limited = self.parts.state.memory.limit_bytes is not None
        async for chunk in upstream.chunks():
            try:
                events = splitter.feed(chunk)
            except ValueError as error:
                return Broken(str(error))
            if account is not None and account.answer_bytes != splitter.partial_bytes:
                account.hold_answer(splitter.partial_bytes)
            # Comments keep no stream alive, and are none before its first event.
            is_progress = not all(map(is_comment, events))
            if not is_progress and not (events and self.caller.has_begun):
                continue
            self._record_events(sum(not is_comment(event) for event in events))
            self._record_pause(pauses, len(events))
            if self._watch is not None:
                self._record_lateness(self._watch)
                self._end_watch()
            if not self.caller.has_begun:
                await self._begin_stream(head)
            if is_progress:
                self._restart_timer(limit, timeout_s)
            self.parts.state.loads.prefill_completed(self.admitted.request.request_id)
            self.caller.write(b"".join(events))
            if not is_limited and not self.caller.has_drained:
                # Without a limit the endpoint waits for the caller, which is no pause
                # of the endpoint.
                self.parts.state.work_times.ignore(self.admitted.request.request_id)
                self._restart_timer(limit, None)
                await self.caller.drained()
                self._restart_timer(limit, timeout_s)
        self._record_passes(pauses)
        failure = await self._check_end(splitter, head)
        if failure is not None:
            return failure
        if not self.caller.has_begun:
            await self._begin_stream(head)
        self.log.write(
            "answered",
            outcome="answered",
            last_id=splitter.last_id,
            **self.admitted.progress_fields(asyncio.get_running_loop().time()),
        )
        return None

    async def _check_end(
        self, splitter: EventSplitter, head: AnswerHead
    ) -> Failure | None:
        """Return why a stream that has ended isn't whole, if it isn't."""
        if splitter.has_partial_event:
            return Broken("the stream ended in the middle of an event")
        if not splitter.has_events and not head.is_framed:
            # It ends like one whose endpoint died before the first event.
            return Broken("the stream ended before its first event")
        if await self._has_died(head):
            return Broken("the endpoint died as its stream ended")
        return None

    async def _has_died(self, head: AnswerHead) -> bool:
        """Return whether an unframed answer ended with the process of its endpoint.

        The kernel ends the connections of a killed process as those of one that has
        answered. One that is leaving may end after its last answer.
        """
        endpoint = self.assignment.first
        now_s = asyncio.get_running_loop().time()
        if head.is_framed or not self.parts.state.may_send(endpoint, now_s):
            return False
        self._restart_timer(None, None)
        await asyncio.sleep(EXIT_S)
        return await refuses_connections(endpoint.address)

    def _record_events(self, events: int) -> None:
        self.admitted.relayed_events += events
        self.parts.state.work_times.relayed(
            self.admitted.request.request_id,
            events,
            asyncio.get_running_loop().time(),
        )

    def _record_pause(self, pauses: StreamPauses, events: int) -> None:
        """Record the pause before events, and log it if it makes the stream late."""
        began_s = pauses.last_event_s
        now_s = asyncio.get_running_loop().time()
        pause_s = pauses.relayed(events, now_s)
        if pause_s is None or began_s is None:
            return
        route = {"route": self.admitted.route.name}
        self.parts.metrics.stream_pause.record(pause_s, route)
        if not pauses.is_over_target(pause_s):
            return
        self.parts.metrics.pauses_over_target.add(1, route)
        state, endpoint = self.parts.state, self.assignment.first
        if not state.pause_log_rate.try_log(now_s):
            return
        use = state.loads.endpoint_use(endpoint.address, now_s)
        costs = state.engine_costs(self.admitted.service)
        estimate = costs and estimate_pass(
            state.loads.history.placed(endpoint.address), use, costs, began_s
        )
        self.log.write(
            "pause over target",
            outcome="late",
            endpoint=endpoint.endpoint_id,
            pause_ms=round(pause_s * 1000),
            target_ms=round(pauses.target_s * 1000),
            event_number=pauses.events - events + 1,
            streams=use.streams,
            kv_tokens=use.kv_tokens,
            load_age_ms=round(state.loads.oldest_report_s(now_s) * 1000),
            skipped=state.pause_log_rate.take_skipped(),
            **(estimate.log_fields() if estimate else {}),
        )

    def _record_passes(self, pauses: StreamPauses) -> None:
        """Compare the pass time of the endpoint with its costs; log a slow one."""
        state, endpoint = self.parts.state, self.assignment.first
        costs = state.engine_costs(self.admitted.service)
        if costs is None:
            return
        now_s = asyncio.get_running_loop().time()
        known = state.pass_corrections.slowness(endpoint.endpoint_id, now_s)
        use = state.loads.endpoint_use(endpoint.address, now_s)
        state.pass_corrections.stream_ended(
            endpoint.endpoint_id, pauses, use, costs, now_s
        )
        slowness = state.pass_corrections.slowness(endpoint.endpoint_id, now_s)
        if (slowness > 1.0) != (known > 1.0):
            self.log.write(
                "endpoint slow" if slowness > 1.0 else "endpoint at its costs",
                outcome="slow" if slowness > 1.0 else "corrected",
                endpoint=endpoint.endpoint_id,
                slowness=round(slowness, 2),
                pass_ms=round(pauses.shortest_s * 1000),
                streams=use.streams,
                kv_tokens=use.kv_tokens,
            )

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


def _ms(time_s: float) -> int:
    return round(time_s * 1000)


def _ignore_size(size_bytes: int) -> None:
    """Ignore the size of an answer that no account is kept for."""


def _rounded(watch: PrefillWatch, parts: GatewayParts) -> dict[str, int]:
    """Return what was placed on the endpoints of a prefill since, for the log."""
    placed_ms = watch.placed_since_ms(parts.state.loads)
    return {address: round(ms) for address, ms in placed_ms.items()}


def _helpers(assignment: Assignment, ticket_ids: dict[str, str]) -> tuple[Helper, ...]:
    """List the helpers with tickets first: their KV cache is filled in this order."""
    helpers = [
        Helper(endpoint, ticket_ids.get(endpoint.endpoint_id, ""))
        for endpoint in assignment.helpers
    ]
    return tuple(sorted(helpers, key=lambda helper: not helper.ticket_id))
