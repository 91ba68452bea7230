"""Guard of a model engine: admission, token streams, leases and cancellation."""

import asyncio
import logging
from collections import defaultdict
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

import attrs
from returns.result import Failure, Success

from ..clients.engine import EngineClient
from ..clients.engine_messages import StreamSpec
from ..clients.exceptions import EngineRefusedError, EngineUnreachableError
from ..decisions.denials import denial
from ..decisions.grants import Cancelled, DenialKind, Granted
from ..decisions.holdings import HoldingState
from ..decisions.ledger import GrantLedger
from ..exceptions import PeerError
from ..messages.gen import ttypes
from ..node.metrics import AgentMetrics
from ..node.peers import Responder
from .admission_waiters import AdmissionWaiters
from .cancels import PendingCancels
from .driver import StreamDriver, StreamResult
from .grant_handler import GrantedRequest, GrantHandler
from .ledger_messages import denial_message, grant_message, load_message
from .monitor import EngineMonitor
from .runs import Run, RunEnd, RunFailure, RunTable
from .stream_names import StreamName

logger = logging.getLogger(__name__)

HOUSEKEEPING_INTERVAL_S = 0.2


@attrs.frozen(eq=False)
class Follower:
    """Entry that is attached to a stream, with or without its lease."""

    entry_id: str
    responder: Responder


@attrs.define(eq=False)
class EngineGuard:
    """Mediates every request, stream, lease and cancel of one engine.

    Parameters
    ----------
    endpoint : str
    client : EngineClient
    ledger : GrantLedger
    metrics : AgentMetrics
    clock : callable
        Monotonic time in seconds.
    is_suspected : callable
        Returns whether the prompt with a fingerprint must run alone.
    on_death : callable
        ``on_death(boot_id, fingerprints)``, called when the engine died.
    on_completed : callable
        ``on_completed(fingerprint)``, called when a request completed.
    """

    endpoint: str
    client: EngineClient
    ledger: GrantLedger
    metrics: AgentMetrics
    clock: Callable[[], float]
    is_suspected: Callable[[int], bool]
    on_death: Callable[[str, list[int]], None]
    on_completed: Callable[[int], None]
    runs: RunTable = attrs.field(init=False, factory=RunTable)
    admission: AdmissionWaiters = attrs.field(init=False)
    monitor: EngineMonitor = attrs.field(init=False)
    grant_handler: GrantHandler = attrs.field(init=False)
    cancels: PendingCancels = attrs.field(init=False)
    _drivers: dict[str, asyncio.Task] = attrs.field(init=False, factory=dict)
    _followers: dict[str, list[Follower]] = attrs.field(
        init=False, factory=lambda: defaultdict(list)
    )
    _background: set[asyncio.Task] = attrs.field(init=False, factory=set)

    def __attrs_post_init__(self) -> None:
        self.admission = AdmissionWaiters(self.ledger, self.clock)
        self.grant_handler = GrantHandler(
            self.admission,
            self.runs,
            self.metrics,
            self.load,
            self.is_suspected,
            self.clock,
        )
        self.cancels = PendingCancels(
            self.client,
            self.ledger,
            on_cancel=lambda: self.metrics.cancels.add(1),
            on_freed=self.admission.pump,
            clock=self.clock,
        )
        self.monitor = EngineMonitor(
            self.client, self.ledger, self.clock, self._engine_died
        )

    # Grants

    def load(self) -> ttypes.Load:
        """Return the load report that is attached to every response."""
        return load_message(self.endpoint, self.ledger.load(self.clock()))

    async def grant(self, request: ttypes.GrantRequest, responder: Responder) -> None:
        """Send the entry the admission decision, immediately or after queueing."""
        async for answer in self.grant_handler.answers(request):
            await responder.send(answer)

    # Streams

    async def submit(self, submit: ttypes.Submit, responder: Responder) -> None:
        """Use a grant: run the stream, or reserve KV cache for a part of a group."""
        granted_request = self.grant_handler.get(submit.grant_id)
        match self.ledger.submitted(submit.grant_id, self.clock()):
            case Failure(denied):
                await responder.send(denial_message(denied, self.load()))
                return
            case Success(_):
                pass
        if granted_request is None:
            raise PeerError("The grant is not known.")
        if granted_request.request.group_id and not submit.prompt:
            await self._hold_part(submit, granted_request, responder)
            return
        run = self._start_run(submit, granted_request)
        await self._relay(run, len(submit.delivered), responder)

    def _start_run(self, submit: ttypes.Submit, granted_request: GrantedRequest) -> Run:
        run = Run(
            request_id=submit.request_id,
            grant_id=submit.grant_id,
            boot_id=granted_request.granted.boot_id,
            fingerprint=granted_request.request.fingerprint,
            prompt_tokens=granted_request.request.prompt_tokens,
            tokens=list(submit.delivered),
        )
        self.runs.add(run)
        name = StreamName(submit.grant_id, submit.request_id)
        spec = StreamSpec(
            stream_id=str(name),
            model=submit.model,
            prompt=submit.prompt,
            output_tokens=submit.output_tokens,
            priority=granted_request.granted.lane.priority,
            delivered=tuple(submit.delivered),
            group_id=granted_request.request.group_id,
            group_size=max(1, len(submit.group_endpoints)),
        )
        driver = self._driver(run, name)
        self._drive(run, driver.start(spec))
        return run

    def _driver(self, run: Run, name: StreamName) -> StreamDriver:
        def record_first_token() -> None:
            self.ledger.first_token(run.grant_id, self.clock())

        return StreamDriver(
            self.client, run, str(name), self.monitor.is_alive, record_first_token
        )

    def _drive(self, run: Run, work: Coroutine[Any, Any, StreamResult]) -> None:
        async def drive() -> None:
            stream_result = await work
            self._handle_stream_result(run, stream_result)

        task = asyncio.get_running_loop().create_task(drive())
        self._drivers[run.grant_id] = task
        task.add_done_callback(lambda _: self._drivers.pop(run.grant_id, None))

    def _handle_stream_result(self, run: Run, stream_result: StreamResult) -> None:
        now_s = self.clock()
        self.ledger.release(run.grant_id, now_s, stream_result.outcome)
        if isinstance(stream_result.result, RunEnd):
            self._report_completed(run)
        run.end(stream_result.result, now_s)
        self.grant_handler.forget(run.grant_id)
        self.admission.pump()

    def _report_completed(self, run: Run) -> None:
        if run.fingerprint is not None:
            self.on_completed(run.fingerprint)

    async def _relay(self, run: Run, from_sequence: int, responder: Responder) -> None:
        async for event in run.follow(from_sequence):
            match event:
                case RunEnd(total_tokens=total, finish_reason=reason):
                    reply: object = ttypes.StreamEnd(
                        request_id=run.request_id,
                        total_tokens=total,
                        finish_reason=reason,
                        prompt_tokens=run.prompt_tokens,
                        load=self.load(),
                    )
                case RunFailure():
                    reply = self._failure_message(run, event)
                case _:
                    reply = event
            await responder.send(reply)

    def _failure_message(self, run: Run, failure: RunFailure) -> ttypes.StreamFailure:
        return ttypes.StreamFailure(
            request_id=run.request_id,
            kind=failure.kind,
            message=failure.message,
            next_sequence=run.next_sequence,
            endpoint_died=failure.endpoint_died,
            sole_request=failure.sole_request,
            load=self.load(),
        )

    async def _hold_part(
        self,
        submit: ttypes.Submit,
        granted_request: GrantedRequest,
        responder: Responder,
    ) -> None:
        name = str(StreamName(submit.grant_id, submit.request_id))
        try:
            await self.client.hold_part(name, granted_request.granted.kv_tokens)
        except (EngineRefusedError, EngineUnreachableError) as error:
            self.cancel_grant(submit.grant_id)
            await responder.send(
                ttypes.Denial(
                    kind="endpoint_failed",
                    message=error.message,
                    remedy=error.remedy,
                    not_run=True,
                    retry_after_ms=0,
                    load=self.load(),
                )
            )
            return
        held = ttypes.Piece(request_id=submit.request_id, sequence=0, tokens=[])
        await responder.send(held)

    async def attach(self, attach: ttypes.Attach, responder: Responder) -> None:
        """Relay a stream to an entry, starting at a sequence number."""
        run = self.runs.get(attach.request_id)
        if self._may_take_lease(attach):
            granted = await self._take_lease(
                attach.request_id, attach.entry_id, responder
            )
            if run is None and granted is not None:
                run = self._resume_adopted(granted, attach)
        if run is None:
            unknown = denial(attach.request_id, DenialKind.UNKNOWN_GRANT, not_run=False)
            await responder.send(denial_message(unknown, self.load()))
            return
        if attach.from_sequence < run.base_sequence:
            await responder.send(
                ttypes.Denial(
                    kind="stream_lost",
                    message="The first tokens of the stream are no longer here.",
                    remedy="Send the request again.",
                    not_run=False,
                    retry_after_ms=0,
                )
            )
            return
        follower = Follower(attach.entry_id, responder)
        followers = self._followers[attach.request_id]
        followers.append(follower)
        try:
            await self._relay(run, attach.from_sequence, responder)
        finally:
            followers.remove(follower)
            if not followers:
                self._followers.pop(attach.request_id, None)

    def _may_take_lease(self, attach: ttypes.Attach) -> bool:
        """Return whether the entry may take the lease: no other entry holds it."""
        holding = self.ledger.holdings.of_request(attach.request_id)
        if holding is None:
            return False
        has_lapsed = self.clock() >= holding.expires_s
        orphaned = holding.state is HoldingState.ORPHANED
        return orphaned or has_lapsed or holding.entry_id == attach.entry_id

    async def _take_lease(
        self, request_id: str, entry_id: str, responder: Responder
    ) -> Granted | None:
        match self.ledger.attach(request_id, entry_id, self.clock()):
            case Success(granted):
                await responder.send(grant_message(granted, self.load()))
                return granted
        return None

    def _reassign_leases(self, grant_ids: Sequence[str]) -> None:
        """Give the leases of orphaned streams to the first entry that follows each."""
        for grant_id in grant_ids:
            run = self._live_run(grant_id)
            followers = self._followers.get(run.request_id) if run else None
            if run is not None and followers:
                new_owner = followers[0]
                work = self._take_lease(
                    run.request_id, new_owner.entry_id, new_owner.responder
                )
                self._background.add(task := asyncio.ensure_future(work))
                task.add_done_callback(self._background.discard)

    def _resume_adopted(self, granted: Granted, attach: ttypes.Attach) -> Run:
        run = Run(
            request_id=attach.request_id,
            grant_id=granted.grant_id,
            boot_id=granted.boot_id,
            fingerprint=None,
            prompt_tokens=granted.kv_tokens,
            base_sequence=attach.from_sequence,
        )
        self.runs.add(run)
        driver = self._driver(run, StreamName(granted.grant_id, attach.request_id))
        self._drive(run, driver.resume())
        return run

    # Leases and cancels

    def renew(self, renew: ttypes.Renew) -> ttypes.Renewed:
        """Renew an entry's leases."""
        unknown = self.ledger.renew(renew.entry_id, renew.grant_ids, self.clock())
        return ttypes.Renewed(unknown_grant_ids=list(unknown))

    def cancel(self, cancel: ttypes.Cancel) -> ttypes.Cancelled:
        """Cancel a grant, or remove a request from the queue."""
        if cancel.request_id:
            self.admission.withdraw(cancel.request_id)
        not_run = True
        if cancel.grant_id:
            run = self._live_run(cancel.grant_id)
            not_run = run is None
            self.cancel_grant(cancel.grant_id)
        return ttypes.Cancelled(not_run=not_run)

    def _live_run(self, grant_id: str) -> Run | None:
        for run in self.runs.live():
            if run.grant_id == grant_id:
                return run
        return None

    def cancel_grant(self, grant_id: str) -> None:
        """Stop the stream of a grant; its KV cache counts as used until it is freed."""
        run = self._live_run(grant_id)
        driver = self._drivers.get(grant_id)
        if driver is not None:
            driver.cancel()
        now_s = self.clock()
        if run is not None:
            run.end(RunFailure("cancelled", "The request was cancelled."), now_s)
        self.grant_handler.forget(grant_id)
        self.ledger.release(grant_id, now_s, Cancelled())
        self.admission.pump()
        self.cancels.start()

    async def run(self) -> None:
        """Monitor the engine and expire leases until cancelled."""
        monitoring = asyncio.create_task(self.monitor.run())
        try:
            while True:
                self._run_housekeeping()
                await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
        finally:
            monitoring.cancel()

    def _run_housekeeping(self) -> None:
        now_s = self.clock()
        expired = self.ledger.expired(now_s)
        self.grant_handler.forget_expired()
        self._reassign_leases(expired.orphaned)
        for grant_id in expired.to_cancel:
            logger.info("lease lapsed", extra={"grant": grant_id})
            self.metrics.lapsed_leases.add(1)
            self.cancel_grant(grant_id)
        self.cancels.start()
        self.admission.pump()
        self.runs.discard_expired(now_s)

    # Engine failure

    def _engine_died(self, boot_id: str) -> None:
        """Fail all streams that ran on a boot of the engine that has ended."""
        lost = [run for run in self.runs.live() if run.boot_id == boot_id]
        logger.warning(
            "endpoint died", extra={"endpoint": self.endpoint, "runs": len(lost)}
        )
        self.metrics.endpoint_deaths.add(1)
        known = [run.fingerprint for run in lost if run.fingerprint is not None]
        self.on_death(boot_id, known)
        sole = len(lost) == 1
        failure = RunFailure("endpoint_died", "The endpoint died.", True, sole)
        for run in lost:
            driver = self._drivers.get(run.grant_id)
            if driver is not None:
                driver.cancel()
            run.end(failure, self.clock())
            self.grant_handler.forget(run.grant_id)
        self.admission.pump()

    # Shutdown

    async def drain(self, timeout_s: float) -> None:
        """Wait up to `timeout_s` for running streams, then hand back the rest."""
        self.ledger.set_leaving(True, self.clock())
        self.admission.pump()
        deadline_s = self.clock() + timeout_s
        while self.runs.live() and self.clock() < deadline_s:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
        self.hand_back_runs()
        await self.cancels.wait()

    def hand_back_runs(self) -> None:
        """Return running streams to their entries, which run them elsewhere."""
        moved = RunFailure("moved", "The endpoint is leaving.")
        for run in self.runs.live():
            run.end(moved, self.clock())
            self.cancel_grant(run.grant_id)

    def dump(self) -> dict:
        """Return the state as plain data."""
        return {
            "ledger": self.ledger.dump(),
            "runs": self.runs.dump(),
            "cancelling": sorted(self.cancels.tasks),
            "monitor": self.monitor.dump(),
        }
