"""One request from its arrival to the end of its answer."""

import asyncio

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
)
from ..decisions.placement_demand import Assignment, Busy, Impossible, Placement
from .attempt import Admitted, Attempt
from .caller import CallerConnection
from .dispatch import Ask
from .parts import GatewayParts
from .ports import CallerRequest
from .request_log import RequestLog
from .state import boot_time_s
from .upstream import is_reachable

ELSEWHERE_RETRY_AFTER_S = 0.2
"""Another gateway can serve the caller at once."""

FULL_WEIGHT = 0.4
"""Part of a failure that a full endpoint counts: it is busy, not broken."""

OWN_FAILURE_WEIGHT = 0.5
"""Part of a failure that an endpoint's own error counts: the request may be at
fault."""

_SIGN_BIT = 1 << 63


@attrs.frozen
class Refused:
    """An answer of our own, given before anything ran."""

    status: int
    reason: str
    retry_after_s: float | None = None


@attrs.define(eq=False, kw_only=True)
class Exchange:
    """One request and its answer.

    Parameters
    ----------
    request : CallerRequest
    caller : CallerConnection
    parts : GatewayParts
    received_s : float
        Monotonic time at which its headers came.
    """

    request: CallerRequest
    caller: CallerConnection
    parts: GatewayParts
    received_s: float
    _log: RequestLog = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._log = RequestLog(self.request.request_id, self.parts.state)

    async def run(self) -> None:
        """Serve the request; the caller gets an answer or a closed connection."""
        outcome = "cancelled"
        try:
            outcome = await self._serve()
        except StreamClosedError:
            self._log.write("caller gone", outcome=outcome)
        except asyncio.CancelledError:
            self._log.write("caller gone", outcome=outcome)
            raise
        finally:
            self.parts.metrics.requests.add(1, {"outcome": outcome})

    async def _serve(self) -> str:
        found = self._admit()
        if isinstance(found, Refused):
            return await self._refuse(found)
        self.parts.state.retries.record_first_attempt(self.received_s)
        try:
            async with asyncio.timeout_at(found.deadline_s):
                last = await self._forward(found)
        except TimeoutError:
            last = give_up(found.progress, "its time is over")
        if last is None:
            return "answered"
        return await self._conclude(found, last)

    # At the door

    def _admit(self) -> Admitted | Refused:
        """Check what is known without an endpoint."""
        state, request = self.parts.state, self.request
        if not state.accepts_requests(self.received_s):
            return Refused(503, "the gateway is stopping", ELSEWHERE_RETRY_AFTER_S)
        if state.table is None:
            return Refused(503, "no configuration yet", ELSEWHERE_RETRY_AFTER_S)
        route = state.table.match(request.host, request.path)
        if route is None:
            return Refused(404, "no such route")
        workspace = None
        if state.table.workspaces is not None and not route.is_public:
            if not state.contact.may_use_keys(boot_time_s()):
                return Refused(
                    503, "keys can't be checked now", ELSEWHERE_RETRY_AFTER_S
                )
            workspace = state.table.workspaces.get(request.key or "")
            if workspace is None:
                return Refused(401, "unknown key")
        fingerprint = _fingerprint(request)
        if state.suspicions.is_condemned(fingerprint, self.received_s):
            return Refused(422, "endpoints died each time they ran this request")
        return Admitted(
            request=request,
            route=route,
            service=route.choose_service(state.rng.random()),
            workspace=workspace,
            fingerprint=fingerprint,
            received_s=self.received_s,
            deadline_s=self.received_s
            + min(request.wait_s or route.timeout_s, route.timeout_s),
            progress=Progress(
                repeat=route.repeat, max_endpoints=max(1, route.max_endpoints)
            ),
            splitter=EventSplitter(last_id=request.resume_after),
        )

    # At the endpoints

    async def _forward(self, admitted: Admitted) -> NextStep | None:
        """Send it to endpoints until it is answered; None when it is."""
        loop = asyncio.get_running_loop()
        state = self.parts.state
        while True:
            try:
                place = await self._place(admitted)
                match place:
                    case Busy():
                        return give_up(admitted.progress, "no endpoint has room")
                    case Impossible(reason=reason):
                        return give_up(admitted.progress, reason)
                # It may have been taken away meanwhile.
                if not state.is_key_valid(
                    self.request.key, admitted.workspace, boot_time_s()
                ):
                    return give_up(admitted.progress, "its key is not valid any more")
                failure = await self._attempt(admitted, place)
            finally:
                state.loads.release(self.request.request_id)
                self.parts.dispatcher.ended(admitted.service, loop.time())
            if failure is None:
                return None
            step = await self._after(admitted, failure, place)
            if not isinstance(step, TryAgain):
                return step
            if costs_retry(failure) and not state.retries.try_retry(loop.time()):
                return give_up(admitted.progress, "the retry budget is spent")

    async def _place(self, admitted: Admitted) -> Placement:
        loop = asyncio.get_running_loop()
        asked_s = loop.time()
        ask = Ask(
            request=self.request,
            route=admitted.route,
            service=admitted.service,
            objective_due_s=self.received_s + admitted.route.objective_s,
            deadline_s=admitted.deadline_s,
            excluded=frozenset(admitted.excluded),
            has_begun=admitted.progress.has_begun,
        )
        place = await self.parts.dispatcher.place(ask, asked_s)
        self.parts.metrics.placement_wait.record(loop.time() - asked_s)
        return place

    async def _attempt(self, admitted: Admitted, place: Assignment) -> Failure | None:
        now_s = asyncio.get_running_loop().time()
        if not self.parts.state.directory.is_usable(place.first, now_s):
            return Withheld("the endpoint is leaving")
        attempt = Attempt(
            parts=self.parts,
            admitted=admitted,
            caller=self.caller,
            log=self._log,
            place=place,
        )
        return await attempt.run()

    async def _after(
        self, admitted: Admitted, failure: Failure, place: Assignment
    ) -> NextStep:
        now_s = asyncio.get_running_loop().time()
        state = self.parts.state
        first = place.first
        admitted.excluded.add(first.endpoint_id)
        blamed, weight = first, 1.0
        match failure:
            case Declined(faulty_address=address, is_full=is_full):
                blamed = _helper_at(place, address) or first
                admitted.excluded.add(blamed.endpoint_id)
                weight = FULL_WEIGHT if is_full else 1.0
            case NotSent(faulty_address=address) if address:
                blamed = _helper_at(place, address) or first
                admitted.excluded.add(blamed.endpoint_id)
                weight = FULL_WEIGHT
            case Withheld():
                weight = 0.0
            case Failed():
                weight = OWN_FAILURE_WEIGHT
            case Broken(is_silent=False):
                await self._note_death(admitted, first)
        if weight:
            state.troubles.failed(blamed.endpoint_id, now_s, weight)
        step = after_failure(failure, admitted.progress)
        kind = type(failure).__name__
        self.parts.metrics.failures.add(1, {"kind": kind})
        self._log.write(
            "attempt failed",
            outcome=type(step).__name__,
            endpoint=first.endpoint_id,
            blamed=blamed.endpoint_id,
            failure=kind,
            detail=str(failure),
            runs=admitted.progress.runs,
        )
        return step

    async def _note_death(self, admitted: Admitted, endpoint: Endpoint) -> None:
        """Hold it against the request if the endpoint died while it ran."""
        running = self.parts.state.loads.endpoint_use(
            endpoint.address, asyncio.get_running_loop().time()
        ).streams
        if await is_reachable(endpoint.address):
            return
        now_s = asyncio.get_running_loop().time()
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
        )

    # The end

    async def _conclude(self, admitted: Admitted, step: NextStep) -> str:
        if self.caller.has_begun:
            self._log.write("broken off", outcome="closed", reason=str(step))
            self.caller.abort()
            return "broken off"
        now_s = asyncio.get_running_loop().time()
        match step:
            case RefuseNotRun(reason=reason):
                retry_after_s = self.parts.dispatcher.retry_after_s(admitted.service)
                return await self._refuse(Refused(503, reason, retry_after_s))
            case FailUnknown(reason=reason):
                is_late = now_s >= admitted.deadline_s
                return await self._refuse(Refused(504 if is_late else 502, reason))
            case PassOn() | TryAgain():
                return await self._refuse(Refused(502, "the endpoint failed"))

    async def _refuse(self, refused: Refused) -> str:
        self._log.write(
            "refused",
            outcome=str(refused.status),
            reason=refused.reason,
            retry_after_s=refused.retry_after_s,
        )
        headers = self.parts.dialect.refusal_headers(self.request.request_id)
        if refused.retry_after_s is not None:
            headers["Retry-After"] = f"{refused.retry_after_s:.2f}"
        await self.caller.answer(refused.status, headers, refused.reason)
        return str(refused.status)


def _helper_at(place: Assignment, address: str) -> Endpoint | None:
    return next((one for one in place.helpers if one.address == address), None)


def _fingerprint(request: CallerRequest) -> int:
    """Name a request alike each time that the same caller sends it."""
    head = "\0".join((request.method, request.host, request.path, request.key or ""))
    value: int = xxhash.xxh3_64_intdigest(head.encode() + b"\0" + request.body)
    return value - 2 * _SIGN_BIT if value >= _SIGN_BIT else value
