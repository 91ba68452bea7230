"""Handling of one request: admission, placement, attempts, retries and refusal."""

import asyncio
import logging
import math
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, closing, contextmanager

import attrs
import xxhash
from tornado.iostream import StreamClosedError

from ..decisions.directory import Endpoint
from ..decisions.event_stream import EventSplitter
from ..decisions.forwarding import (
    Broken,
    Declined,
    Failed,
    FailUnknown,
    Failure,
    NextStep,
    NotSent,
    PassOn,
    Progress,
    RefuseNotRun,
    TryAgain,
    Withheld,
    after_failure,
    costs_retry,
    give_up,
    kept_share,
)
from ..decisions.part_suspicion import Blame
from ..decisions.peer_configurations import PeerContact
from ..decisions.placement.demand import Assignment, Busy, Impossible, Placement
from ..decisions.planned_stop import PlannedStop, WorkEstimate
from ..decisions.retry_after import local_refusal_retry_after_s
from ..decisions.routes import Route, Workspace
from ..decisions.startup import hold_until_s
from .attempt import AdmittedRequest, Attempt
from .caller import CallerConnection, CutError
from .dispatch import PlacementRequest
from .parts import GatewayParts
from .ports import CallerRequest
from .request_log import RequestLog
from .retry_charges import RetryCharge
from .state import boot_time_s
from .upstream import refuses_connections

NO_CAPACITY_WEIGHT = 0.4
"""Weight of a failure for lack of capacity: the endpoint is busy, not broken."""

ENDPOINT_ERROR_WEIGHT = 0.5
"""Weight of an error status returned by an endpoint: the request may be at fault."""

STOPPING = "the gateway is stopping"

SHORT_OF_MEMORY = "the gateway is short of memory"

STOPPED_UNKNOWN = "the gateway is stopping; it isn't known whether the request has run"

_SIGN_BIT = 1 << 63

logger = logging.getLogger(__name__)


@attrs.frozen
class Refusal:
    """Status, reason and Retry-After of an answer that the gateway generates.

    Parameters
    ----------
    status : int
    reason : str
    retry_after_s : float or None
    peer_contact : PeerContact or None
        What decided the Retry-After of a refusal that is local to this gateway.
    may_pass : bool
        Whether the reason passes once the store is read: the request may be held.
    objective_s : float or None
        Objective of its route, if that is known.
    """

    status: int
    reason: str
    retry_after_s: float | None = None
    peer_contact: PeerContact | None = None
    may_pass: bool = False
    objective_s: float | None = None


@attrs.frozen
class _Permitted:
    """Route of a request, and the workspace of its key if the route needs one."""

    route: Route
    workspace: Workspace | None


@attrs.define(eq=False, repr=False, kw_only=True)
class Exchange:
    """Process one request until its caller has an answer.

    Parameters
    ----------
    request : CallerRequest
    caller : CallerConnection
    parts : GatewayParts
    received_s : float
        Monotonic time at which its headers were received.
    complete_s : float or None
        Monotonic time at which its body was received; None until then.
    is_memory_short : bool
        Whether its body was dropped, since it would have exceeded the memory budget.
    refusal : Refusal or None
        Why it is refused, if that was known before its body was received.
    """

    request: CallerRequest
    caller: CallerConnection
    parts: GatewayParts
    received_s: float
    complete_s: float | None = None
    is_memory_short: bool = False
    refusal: Refusal | None = None
    _log: RequestLog = attrs.field(init=False)
    _admitted: AdmittedRequest | None = attrs.field(init=False, default=None)
    _is_stopped: bool = attrs.field(init=False, default=False)
    _deadline_limit: asyncio.Timeout | None = attrs.field(init=False, default=None)
    _wait_limit: asyncio.Timeout | None = attrs.field(init=False, default=None)

    def __attrs_post_init__(self) -> None:
        self._log = RequestLog(self.request.request_id, self.parts.state)

    async def run(self) -> None:
        """Serve the request; its caller gets an answer or a closed connection."""
        outcome = "cancelled"
        self.caller.on_cut = self._on_cut
        self.caller.on_begun = self._move_deadline
        try:
            with self._watching_stop():
                outcome = await self._serve()
        except StreamClosedError:
            outcome = self._record_close(outcome)
        except asyncio.CancelledError:
            outcome = self._record_close(outcome)
            raise
        except Exception as error:
            outcome = await self._report_error(error)
        finally:
            if self.caller.cut_reason is not None:
                outcome = "cut"
            self.parts.metrics.requests.add(1, {"outcome": outcome})

    def _record_close(self, outcome: str) -> str:
        """Log who closed the connection of a request without a whole answer."""
        if self.caller.is_closed_here and self.parts.state.stop is not None:
            progress = self._admitted.progress if self._admitted is not None else None
            is_sent = progress is not None and progress.may_have_run
            self._record_stop("closed", is_sent, is_cut=True)
            return "cut"
        if self.caller.cut_reason is None:  # Otherwise "caller cut" says so.
            self._log.write(
                "caller gone", outcome=outcome, **self._progress_fields(self._admitted)
            )
        return outcome

    async def _serve(self) -> str:
        if self.refusal is not None:
            return await self._refuse(self.refusal)
        admitted = self._admit()
        if isinstance(admitted, Refusal) and admitted.may_pass:
            admitted = await self._hold(admitted)
        if isinstance(admitted, Refusal):
            return await self._refuse(admitted)
        self.parts.state.record_first_attempt(admitted.service, self.received_s)
        try:
            with closing(admitted.retry):
                async with self._until_deadline(admitted):
                    last = await self._forward(admitted)
        except (TimeoutError, CutError):
            last = self._give_up(admitted)
        if last is None:
            return await self._finish(admitted)
        return await self._report_failure(admitted, last)

    def _give_up(self, admitted: AdmittedRequest) -> NextStep:
        """Give up a request whose work was ended here."""
        if self.caller.cut_reason is not None:
            return give_up(admitted.progress, SHORT_OF_MEMORY)
        self._is_stopped = self._is_cut_by_stop(admitted)
        return give_up(
            admitted.progress,
            STOPPED_UNKNOWN if self._is_stopped else "its time is over",
        )

    def _on_cut(self) -> None:
        """End the work at once, which frees what is held for it."""
        limit = self._deadline_limit
        if limit is not None and not limit.expired():
            limit.reschedule(asyncio.get_running_loop().time())

    async def _finish(self, admitted: AdmittedRequest) -> str:
        """Complete an answer that the endpoint has sent; the caller may read slowly."""
        if not self.caller.has_drained:
            self.caller.hold_open()
            try:
                async with self._until_deadline(admitted):
                    await self.caller.drained()
            except TimeoutError:
                if self._is_cut_by_stop(admitted):
                    self._record_stop("unread", is_sent=True)
                self.parts.memory.cut(self.caller, "unread at its deadline")
                return "cut"
        self.caller.finish()
        return "answered"

    @asynccontextmanager
    async def _until_deadline(self, admitted: AdmittedRequest) -> AsyncIterator[None]:
        """Raise `TimeoutError` at the deadline, also if a planned stop moves it."""
        async with asyncio.timeout_at(admitted.deadline_s) as limit:
            self._deadline_limit = limit
            try:
                yield
            finally:
                self._deadline_limit = None

    # Planned stop

    @contextmanager
    def _watching_stop(self) -> Iterator[None]:
        state = self.parts.state
        state.on_stop.add(self._on_stop)
        try:
            yield
        finally:
            state.on_stop.discard(self._on_stop)

    def _on_stop(self, stop: PlannedStop) -> None:
        """Move the times of a running request into the grace period."""
        self.caller.should_close = True
        self._move_deadline()
        if self._wait_limit is not None and not self._wait_limit.expired():
            self._wait_limit.reschedule(self._latest_start_s())

    def _move_deadline(self) -> None:
        """Move the deadline into the grace period, as far as the answer needs it."""
        stop, admitted, limit = (
            self.parts.state.stop,
            self._admitted,
            self._deadline_limit,
        )
        if stop is None or admitted is None:
            return
        admitted.move_deadline(stop, self.caller.has_begun)
        is_given_up = self.caller.cut_reason is not None
        if limit is not None and not (limit.expired() or is_given_up):
            limit.reschedule(admitted.deadline_s)

    def _latest_start_s(self) -> float | None:
        """Return until when the request may wait; None if the gateway doesn't stop."""
        stop, admitted = self.parts.state.stop, self._admitted
        if stop is None:
            return None
        deadline_s = admitted.deadline_s if admitted is not None else stop.cut_at_s
        return stop.latest_start_s(
            self._estimate(), self._complete_or_now_s(), deadline_s
        )

    def _estimate(self, admitted: AdmittedRequest | None = None) -> WorkEstimate:
        """Return the time of the request's work; 0 if nothing is known."""
        admitted = admitted or self._admitted
        if admitted is None:
            return WorkEstimate()
        now_s = asyncio.get_running_loop().time()
        return admitted.estimate(self.parts.state, now_s)

    @asynccontextmanager
    async def _while_it_fits(self) -> AsyncIterator[asyncio.Timeout]:
        """Raise `TimeoutError` when the request doesn't fit into a stop any more."""
        async with asyncio.timeout_at(self._latest_start_s()) as limit:
            self._wait_limit = limit
            try:
                yield limit
            finally:
                self._wait_limit = None

    def _is_cut_by_stop(self, admitted: AdmittedRequest) -> bool:
        """Return whether the deadline of a request is the end of a planned stop."""
        stop = self.parts.state.stop
        return stop is not None and admitted.deadline_s < admitted.due_s

    def _record_stop(
        self,
        outcome: str,
        is_sent: bool,
        is_cut: bool | None = None,
        admitted: AdmittedRequest | None = None,
    ) -> None:
        """Count and log a request that a planned stop refused or cut.

        Parameters
        ----------
        outcome : str
        is_sent : bool
            Whether an endpoint may have run it.
        is_cut : bool or None
            Whether it ends without the answer of an endpoint or a refusal; the same as
            ``is_sent`` if None.
        admitted : AdmittedRequest or None
            The request with its route, if it isn't admitted yet.
        """
        stop = self.parts.state.stop
        if stop is None:
            return
        is_cut = is_sent if is_cut is None else is_cut
        if is_cut:
            stop.cut += 1
        else:
            stop.refused += 1
        self.parts.metrics.planned_stops.add(1, {"outcome": outcome})
        now_s, admitted = asyncio.get_running_loop().time(), admitted or self._admitted
        estimate = self._estimate(admitted)
        write = self._log.warn if is_cut else self._log.write
        write(
            "cut by stop" if is_cut else "refused by stop",
            outcome=outcome,
            expected_s=round(estimate.likely_s, 3),
            longest_s=round(estimate.longest_s, 3),
            stopping_s=round(now_s - stop.began_s, 3),
            left_s=round(stop.left_s(now_s), 3),
            head_s=round(self.received_s - stop.began_s, 3),
            complete_s=None
            if self.complete_s is None
            else round(self.complete_s - stop.began_s, 3),
            is_sent=is_sent,
            unread_bytes=self.caller.unread_bytes,
            **self._progress_fields(admitted),
        )

    def _progress_fields(self, admitted: AdmittedRequest | None) -> dict[str, object]:
        """Return how far a request that ends early has come, for the log."""
        if admitted is None:
            return {}
        now_s = asyncio.get_running_loop().time()
        fields = admitted.progress_fields(now_s)
        if admitted.sent is not None:
            fields |= admitted.sent.load_fields(self.parts.state.loads, now_s)
        return fields

    # Admission

    def find_refusal(self) -> Refusal | None:
        """Return why the request can't be served, if its head is enough to know that.

        A reason that will most likely pass soon is none: the body is read meanwhile.
        """
        state, now_s = self.parts.state, asyncio.get_running_loop().time()
        found = self._check_head()
        if isinstance(found, Refusal):
            is_held = found.may_pass and state.startup.is_ready_soon(
                state.outage_of_peers(), now_s
            )
            return None if is_held else found
        if state.stop is None:
            return None
        # What endpoints died of depends on the body, how long the work takes doesn't.
        admitted = self._admit_to_stop(self._admitted_request(found))
        return admitted if isinstance(admitted, Refusal) else None

    def deadline_s(self, route: Route | None = None) -> float:
        """Return the time at which the caller stops waiting, as far as it is known.

        Parameters
        ----------
        route : Route or None
            Its route; found in the configuration if not given.
        """
        table, request = self.parts.state.table, self.request
        if route is None and table is not None:
            route = table.match(request.host, request.path)
        waits_s = (request.wait_s, route.timeout_s if route is not None else None)
        known_s = (wait_s for wait_s in waits_s if wait_s is not None)
        return self.received_s + min(known_s, default=math.inf)

    def _complete_or_now_s(self) -> float:
        """Return when the request was received whole, or the present time."""
        if self.complete_s is None:
            return asyncio.get_running_loop().time()
        return self.complete_s

    def _check_head(self) -> _Permitted | Refusal:
        """Check the route and the API key."""
        state, request = self.parts.state, self.request
        if self.is_memory_short:
            return self._memory_refusal()
        if state.is_withdrawn:
            return self._local_refusal("the gateway is short of resources")
        if state.table is None:
            return self._local_refusal("no configuration yet", may_pass=True)
        route = state.table.match(request.host, request.path)
        if route is None:
            return Refusal(404, "no such route")
        workspace = None
        if state.table.workspaces is not None and not route.is_public:
            if not state.contact.may_use_keys(boot_time_s()):
                return self._local_refusal(
                    "keys can't be checked now", True, route.objective_s
                )
            workspace = state.table.workspaces.get(request.key or "")
            if workspace is None:
                return Refusal(401, "unknown key")
        is_starting = state.startup.is_starting(self.received_s)
        if is_starting and not state.directory.is_read:
            return self._local_refusal("no endpoints yet", True, route.objective_s)
        return _Permitted(route, workspace)

    def _admit(self) -> AdmittedRequest | Refusal:
        """Check the route, the API key and suspicions; admit or refuse the request."""
        state, request = self.parts.state, self.request
        found = self._check_head()
        if isinstance(found, Refusal):
            return found
        fingerprint = _fingerprint(request)
        is_suspect = state.suspicions.is_condemned(fingerprint, self.received_s)
        if is_suspect and not state.try_suspect(fingerprint, self.received_s):
            return self._suspect_refusal(fingerprint)
        blame = state.blamed_part(request.shared_parts, self.received_s)
        is_trial = blame is not None and state.try_part_trial(blame, self.received_s)
        if blame is not None and not is_trial:
            return self._part_refusal(blame)
        self._admitted = self._admitted_request(
            found, fingerprint, is_trial, is_only_once=is_trial or is_suspect
        )
        if self.caller.account is not None:
            self.caller.account.request_id = request.request_id
            self.caller.account.due_s = self._admitted.deadline_s
        return self._admit_to_stop(self._admitted)

    def _admitted_request(
        self,
        found: _Permitted,
        fingerprint: int = 0,
        is_trial: bool = False,
        is_only_once: bool = False,
    ) -> AdmittedRequest:
        route, state = found.route, self.parts.state
        service = route.choose_service(state.rng.random())
        due_s = self.deadline_s(route)
        return AdmittedRequest(
            request=self.request,
            route=route,
            service=service,
            retry=RetryCharge(parts=self.parts, log=self._log, service=service),
            workspace=found.workspace,
            fingerprint=fingerprint,
            received_s=self.received_s,
            complete_s=self._complete_or_now_s(),
            due_s=due_s,
            deadline_s=due_s,
            progress=Progress(
                repeat=route.repeat,
                max_endpoints=1 if is_only_once else max(1, route.max_endpoints),
            ),
            is_trial=is_trial,
            splitter=EventSplitter(last_id=self.request.resume_after),
        )

    def _admit_to_stop(self, admitted: AdmittedRequest) -> AdmittedRequest | Refusal:
        """Refuse a request that doesn't fit into a planned stop."""
        state = self.parts.state
        if not admitted.fits_stop(state, asyncio.get_running_loop().time()):
            self._record_stop("refused", is_sent=False, admitted=admitted)
            return self._local_refusal(STOPPING)
        if state.stop is not None:
            admitted.move_deadline(state.stop, has_begun=False)
        return admitted

    def _part_refusal(self, blame: Blame) -> Refusal:
        """Refuse a request with a part under which endpoints die."""
        self._log.write(
            "part blamed",
            outcome="refused",
            part=blame.part,
            deaths=blame.deaths,
            moments=blame.moments,
        )
        now_s = asyncio.get_running_loop().time()
        return Refusal(
            503,
            f"{blame.deaths} endpoints died on prompts with part {blame.part}",
            self.parts.state.part_suspicions.trial_after_s(blame, now_s),
        )

    def _suspect_refusal(self, fingerprint: int) -> Refusal:
        """Refuse a request under which endpoints died.

        Their deaths don't prove that the request is at fault, so it may come again
        when it is tried next.
        """
        now_s = asyncio.get_running_loop().time()
        return Refusal(
            503,
            "endpoints died each time they ran this request",
            self.parts.state.suspicions.trial_after_s(fingerprint, now_s),
        )

    def _memory_refusal(self) -> Refusal:
        """Refuse a request that doesn't fit into the memory of this gateway."""
        refusal = self._local_refusal(SHORT_OF_MEMORY)
        if refusal.peer_contact is PeerContact.FRESH:
            return refusal  # Another gateway can serve it at once.
        left_s = self.parts.state.memory.retry_after_s(self.received_s)
        return attrs.evolve(refusal, retry_after_s=left_s)

    def _local_refusal(
        self, reason: str, may_pass: bool = False, objective_s: float | None = None
    ) -> Refusal:
        """Refuse a request that other gateways may be able to serve."""
        state = self.parts.state
        others = state.contact_of_peers()
        retry_after_s = local_refusal_retry_after_s(others, state.rng)
        return Refusal(503, reason, retry_after_s, others, may_pass, objective_s)

    async def _hold(self, refused: Refusal) -> AdmittedRequest | Refusal:
        """Hold a request while the gateway will most likely be able to serve it."""
        loop, state = asyncio.get_running_loop(), self.parts.state
        now_s = loop.time()
        if not state.startup.is_ready_soon(state.outage_of_peers(), now_s):
            return refused
        until_s = hold_until_s(
            self.received_s, refused.objective_s, self.request.wait_s, now_s
        )
        due_s = self.received_s + (refused.objective_s or until_s - self.received_s)
        try:
            async with self._while_it_fits() as limit:
                if not await self.parts.hold.wait(
                    due_s, until_s, len(self.request.body)
                ):
                    return refused
        except TimeoutError:
            if not limit.expired():
                raise
            self._record_stop("refused", is_sent=False)
            return refused
        admitted = self._admit()
        outcome = "refused" if isinstance(admitted, Refusal) else "admitted"
        self.parts.metrics.hold.record(loop.time() - now_s, {"outcome": outcome})
        self._log.write(
            "request held",
            outcome=outcome,
            reason=refused.reason,
            held_s=round(loop.time() - now_s, 3),
            held_until_s=round(until_s - now_s, 3),
            held_beside=state.startup.held_count,
        )
        return admitted

    # Forwarding

    async def _forward(self, admitted: AdmittedRequest) -> NextStep | None:
        """Attempt the request until it is answered or fails; None if answered."""
        loop = asyncio.get_running_loop()
        state = self.parts.state
        while True:
            placement: Placement | None = None
            try:
                placement = await self._place(admitted)
                match placement:
                    case Busy(reason=reason) | Impossible(reason=reason):
                        return give_up(admitted.progress, reason)
                obstacle = self._obstacle(admitted, placement)
                if obstacle is not None:
                    return give_up(admitted.progress, obstacle)
                failure = await self._attempt(admitted, placement)
            finally:
                state.release(self.request.request_id)
                self.parts.dispatcher.ended(
                    admitted.service, loop.time(), isinstance(placement, Assignment)
                )
            if failure is None:
                return None
            step = await self._handle_failure(admitted, failure, placement)
            if not isinstance(step, TryAgain):
                return step
            is_charged = costs_retry(failure) or admitted.retry.has_arrived
            if is_charged and not admitted.retry.try_reserve(
                loop.time(), kept_share(failure)
            ):
                return give_up(admitted.progress, "the retry budget is spent")

    def _obstacle(
        self, admitted: AdmittedRequest, assignment: Assignment
    ) -> str | None:
        """Return why a request that was placed must not be sent any more."""
        now_s = asyncio.get_running_loop().time()
        # The key may have been revoked during placement.
        if not self.parts.state.is_key_valid(
            self.request.key, admitted.workspace, boot_time_s()
        ):
            return "its key is not valid any more"
        if self._is_blamed_now(admitted, now_s):
            return "a part of its prompt is blamed"
        if not admitted.fits_stop(self.parts.state, now_s, assignment):
            self._is_stopped = True
            return STOPPING
        return None

    def _is_blamed_now(self, admitted: AdmittedRequest, now_s: float) -> bool:
        """Return whether endpoints have died on a part of the prompt meanwhile."""
        blame = self.parts.state.blamed_part(self.request.shared_parts, now_s)
        return blame is not None and not admitted.is_trial

    async def _place(self, admitted: AdmittedRequest) -> Placement:
        """Place a request, unless it can't end before a planned stop does."""
        try:
            async with self._while_it_fits() as limit:
                if admitted.fits_stop(
                    self.parts.state, asyncio.get_running_loop().time()
                ):
                    return await self._find_place(admitted)
                self._is_stopped = True
                return Busy(STOPPING)
        except TimeoutError:
            if not limit.expired():
                raise
            self._is_stopped = True
            return Busy(STOPPING)

    async def _find_place(self, admitted: AdmittedRequest) -> Placement:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        await self._wait_for_loads(admitted.service)
        placement_request = PlacementRequest(
            request=self.request,
            route=admitted.route,
            service=admitted.service,
            objective_due_s=self.received_s + admitted.route.objective_s,
            deadline_s=admitted.deadline_s,
            excluded=frozenset(admitted.excluded),
            has_begun=admitted.progress.has_begun,
            workspace=admitted.workspace,
        )
        placement = await self.parts.dispatcher.place(placement_request, started_s)
        self.parts.metrics.placement_wait.record(loop.time() - started_s)
        return placement

    async def _wait_for_loads(self, service: str) -> None:
        """Wait for the loads of the peers if the gateway has just started."""
        state, size = self.parts.state, self.request.size
        config = state.table.services.get(service) if state.table else None
        now_s = asyncio.get_running_loop().time()
        if size is None or config is None or config.engine is None:
            return
        wait_s = state.startup.loads_wait_s(
            config.engine.read_ms(size.prompt_tokens),
            state.contact_of_peers(),
            state.gateway_count(now_s),
            now_s,
        )
        if wait_s:
            self._log.write("loads awaited", outcome="waits", wait_s=round(wait_s, 3))
            await asyncio.sleep(wait_s)

    async def _attempt(
        self, admitted: AdmittedRequest, assignment: Assignment
    ) -> Failure | None:
        now_s = asyncio.get_running_loop().time()
        if not self.parts.state.may_send(assignment.first, now_s):
            return Withheld("the endpoint is leaving or wants a pause")
        attempt = Attempt(
            parts=self.parts,
            admitted=admitted,
            caller=self.caller,
            log=self._log,
            assignment=assignment,
        )
        return await attempt.run()

    async def _handle_failure(
        self, admitted: AdmittedRequest, failure: Failure, assignment: Assignment
    ) -> NextStep:
        now_s = asyncio.get_running_loop().time()
        state = self.parts.state
        first = assignment.first
        is_pause = isinstance(failure, Declined) and failure.asks_for_pause
        if not is_pause:
            admitted.excluded.add(first.endpoint_id)
        blamed, weight = first, 1.0
        match failure:
            case Declined(asks_for_pause=True):
                weight = 0.0
            case Declined(faulty_address=address, is_full=is_full):
                blamed = _helper_at(assignment, address) or first
                admitted.excluded.add(blamed.endpoint_id)
                weight = NO_CAPACITY_WEIGHT if is_full else 1.0
            case NotSent(faulty_address=address) if address:
                blamed = _helper_at(assignment, address) or first
                admitted.excluded.add(blamed.endpoint_id)
                weight = NO_CAPACITY_WEIGHT
            case Withheld():
                weight = 0.0
            case Failed():
                weight = ENDPOINT_ERROR_WEIGHT
            case Broken(is_silent=False):
                await self._record_death(admitted, first)
        if weight:
            state.troubles.failed(blamed.endpoint_id, now_s, weight)
        if weight > NO_CAPACITY_WEIGHT:
            state.faults.failed(blamed.endpoint_id, now_s, weight)
        step = after_failure(failure, admitted.progress)
        kind = type(failure).__name__
        self.parts.metrics.failures.add(1, {"kind": kind})
        self._log.write(
            "attempt failed",
            outcome=type(step).__name__,
            endpoint=first.endpoint_id,
            blamed=blamed.endpoint_id,
            service=admitted.service,
            failure=kind,
            detail=str(failure),
            runs=admitted.progress.runs,
        )
        return step

    async def _record_death(
        self, admitted: AdmittedRequest, endpoint: Endpoint
    ) -> None:
        """Record evidence against the request if its endpoint died while running it.

        An endpoint that can't be reached for another reason is none.
        """
        running = self.parts.state.loads.endpoint_use(
            endpoint.address, asyncio.get_running_loop().time()
        ).streams
        if not await refuses_connections(endpoint.address):
            return
        now_s = asyncio.get_running_loop().time()
        self.parts.state.part_suspicions.endpoint_died(
            endpoint.address,
            endpoint.endpoint_id,
            admitted.request.shared_parts,
            now_s,
        )
        self.parts.state.suspicions.endpoint_died(
            endpoint.address,
            endpoint.endpoint_id,
            [admitted.fingerprint],
            now_s,
            running_requests=running + 1,
        )
        self._log.write(
            "endpoint died",
            outcome="suspected",
            endpoint=endpoint.endpoint_id,
            running=running + 1,
            parts=admitted.request.shared_parts,
        )

    # Failures and refusals

    async def _report_failure(self, admitted: AdmittedRequest, step: NextStep) -> str:
        if self.caller.has_begun:
            fields = self._progress_fields(admitted)
            if self._is_stopped:
                self._record_stop("broken off", is_sent=True)
                fields = {}
            self._log.warn("broken off", outcome="closed", reason=str(step), **fields)
            self.caller.abort()
            return "broken off"
        if self._is_stopped:
            return await self._refuse(self._stop_failure(step))
        now_s = asyncio.get_running_loop().time()
        match step:
            case RefuseNotRun() if self.caller.cut_reason is not None:
                return await self._refuse(self._memory_refusal())
            case RefuseNotRun(reason=reason):
                retry_after_s = self.parts.dispatcher.retry_after_s(
                    admitted.service,
                    now_s,
                    admitted.deadline_s,
                    admitted.route,
                    admitted.workspace,
                )
                return await self._refuse(Refusal(503, reason, retry_after_s))
            case FailUnknown(reason=reason):
                is_late = now_s >= admitted.deadline_s
                return await self._refuse(Refusal(504 if is_late else 502, reason))
            case PassOn() | TryAgain():
                return await self._refuse(Refusal(502, "the endpoint failed"))

    def _stop_failure(self, step: NextStep) -> Refusal:
        """Return the answer to a request that a planned stop has ended."""
        if isinstance(step, RefuseNotRun):
            self._record_stop("refused", is_sent=False)
            return self._local_refusal(STOPPING)
        self._record_stop("unknown", is_sent=True)
        return Refusal(504, STOPPED_UNKNOWN)

    async def _report_error(self, error: Exception) -> str:
        """Answer a request whose handling failed here."""
        logger.error(
            "exchange failed",
            exc_info=error,
            extra={
                "event": "internal_error",
                "request_id": self.request.request_id,
            },
        )
        if self.caller.has_begun:
            self.caller.abort()
            return "broken off"
        reason = "the gateway failed"
        if self._admitted is None:
            return await self._refuse(self._local_refusal(reason))
        match give_up(self._admitted.progress, reason):
            case RefuseNotRun():
                return await self._refuse(self._local_refusal(reason))
            case _:
                return await self._refuse(Refusal(502, reason))

    async def _refuse(self, refused: Refusal) -> str:
        self._log.write(
            "refused",
            outcome=str(refused.status),
            reason=refused.reason,
            retry_after_s=refused.retry_after_s,
            peer_contact=refused.peer_contact.value if refused.peer_contact else None,
        )
        headers = self.parts.dialect.refusal_headers(self.request.request_id)
        if refused.retry_after_s is not None:
            headers["Retry-After"] = f"{refused.retry_after_s:.2f}"
        await self.caller.answer(refused.status, headers, refused.reason)
        return str(refused.status)


def _helper_at(assignment: Assignment, address: str) -> Endpoint | None:
    return next(
        (helper for helper in assignment.helpers if helper.address == address), None
    )


def _fingerprint(request: CallerRequest) -> int:
    """Hash a request to a signed 64-bit integer, equal for repetitions by a caller."""
    head = "\0".join((request.method, request.host, request.path, request.key or ""))
    value: int = xxhash.xxh3_64_intdigest(head.encode() + b"\0" + request.body)
    return value - 2 * _SIGN_BIT if value >= _SIGN_BIT else value
