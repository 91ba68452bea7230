"""The guard of a model engine: grants, streams, leases, cancels."""

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
from .cancels import EngineCancels
from .driver import Ended, StreamDriver
from .gatekeeper import Gatekeeper
from .granting import Accepted, GrantAnswers
from .loads import denial_message, grant_message, load_message
from .monitor import EngineMonitor
from .names import StreamName
from .runs import Run, RunEnd, RunFailure, RunTable

logger = logging.getLogger(__name__)

HOUSEKEEPING_INTERVAL_S = 0.2


@attrs.frozen(eq=False)
class Follower:
    """An entry that reads a stream without its lease."""

    entry_id: str
    responder: Responder


@attrs.define(eq=False)
class EngineGuard:
    """All that happens to one engine goes through here.

    Parameters
    ----------
    endpoint : str
    client : EngineClient
    ledger : GrantLedger
    metrics : AgentMetrics
    clock : callable
        Monotonic seconds.
    is_suspected : callable
        Tells whether a fingerprint must run alone.
    on_death : callable
        ``on_death(boot_id, fingerprints)`` when the engine died.
    on_completed : callable
        ``on_completed(fingerprint)`` when a request ran to its end.
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
    gatekeeper: Gatekeeper = attrs.field(init=False)
    monitor: EngineMonitor = attrs.field(init=False)
    granting: GrantAnswers = attrs.field(init=False)
    cancels: EngineCancels = attrs.field(init=False)
    _drivers: dict[str, asyncio.Task] = attrs.field(init=False, factory=dict)
    _followers: dict[str, list[Follower]] = attrs.field(
        init=False, factory=lambda: defaultdict(list)
    )
    _background: set[asyncio.Task] = attrs.field(init=False, factory=set)

    def __attrs_post_init__(self) -> None:
        self.gatekeeper = Gatekeeper(self.ledger, self.clock)
        self.granting = GrantAnswers(
            self.gatekeeper,
            self.runs,
            self.metrics,
            self.load,
            self.is_suspected,
            self.clock,
        )
        self.cancels = EngineCancels(
            self.client,
            self.ledger,
            on_cancel=lambda: self.metrics.cancels.add(1),
            on_freed=self.gatekeeper.pump,
            clock=self.clock,
        )
        self.monitor = EngineMonitor(
            self.client, self.ledger, self.clock, self._engine_died
        )

    # Grants

    def load(self) -> ttypes.Load:
        """Return the load that rides on every answer."""
        return load_message(self.endpoint, self.ledger.load(self.clock()))

    async def grant(self, request: ttypes.GrantRequest, responder: Responder) -> None:
        """Decide on a request and tell the entry, at once or from the queue."""
        async for answer in self.granting.answers(request):
            await responder.send(answer)

    # Streams

    async def submit(self, submit: ttypes.Submit, responder: Responder) -> None:
        """Use a grant: run the stream, or hold a part of a group."""
        accepted = self.granting.get(submit.grant_id)
        match self.ledger.submitted(submit.grant_id, self.clock()):
            case Failure(denied):
                await responder.send(denial_message(denied, self.load()))
                return
            case Success(_):
                pass
        if accepted is None:
            raise PeerError("The grant is not known.")
        if accepted.request.group_id and not submit.prompt:
            await self._hold_part(submit, accepted, responder)
            return
        run = self._start(submit, accepted)
        await self._relay(run, len(submit.delivered), responder)

    def _start(self, submit: ttypes.Submit, accepted: Accepted) -> Run:
        run = Run(
            request_id=submit.request_id,
            grant_id=submit.grant_id,
            boot_id=accepted.granted.boot_id,
            fingerprint=accepted.request.fingerprint,
            prompt_tokens=accepted.request.prompt_tokens,
            tokens=list(submit.delivered),
        )
        self.runs.add(run)
        name = StreamName(submit.grant_id, submit.request_id)
        spec = StreamSpec(
            stream_id=str(name),
            model=submit.model,
            prompt=submit.prompt,
            output_tokens=submit.output_tokens,
            priority=accepted.granted.lane.priority,
            delivered=tuple(submit.delivered),
            group_id=accepted.request.group_id,
            group_size=max(1, len(submit.group_endpoints)),
        )
        driver = self._driver(run, name)
        self._drive(run, driver.start(spec))
        return run

    def _driver(self, run: Run, name: StreamName) -> StreamDriver:
        def note_first_token() -> None:
            self.ledger.first_token(run.grant_id, self.clock())

        return StreamDriver(
            self.client, run, str(name), self.monitor.is_alive, note_first_token
        )

    def _drive(self, run: Run, work: Coroutine[Any, Any, Ended]) -> None:
        async def drive() -> None:
            ended = await work
            self._ended(run, ended)

        task = asyncio.get_running_loop().create_task(drive())
        self._drivers[run.grant_id] = task
        task.add_done_callback(lambda _: self._drivers.pop(run.grant_id, None))

    def _ended(self, run: Run, ended: Ended) -> None:
        now_s = self.clock()
        self.ledger.release(run.grant_id, now_s, ended.outcome)
        if isinstance(ended.result, RunEnd):
            self._completed(run)
        run.end(ended.result, now_s)
        self.granting.forget(run.grant_id)
        self.gatekeeper.pump()

    def _completed(self, run: Run) -> None:
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
        self, submit: ttypes.Submit, accepted: Accepted, responder: Responder
    ) -> None:
        name = str(StreamName(submit.grant_id, submit.request_id))
        try:
            await self.client.hold_part(name, accepted.granted.kv_tokens)
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
        """Read a stream of this agent from a sequence number on."""
        run = self.runs.get(attach.request_id)
        if self._may_own(attach):
            granted = await self._own(attach.request_id, attach.entry_id, responder)
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

    def _may_own(self, attach: ttypes.Attach) -> bool:
        """Tell whether an entry may take over the lease: nobody else holds it."""
        holding = self.ledger.holdings.of_request(attach.request_id)
        if holding is None:
            return False
        has_lapsed = self.clock() >= holding.expires_s
        orphaned = holding.state is HoldingState.ORPHANED
        return orphaned or has_lapsed or holding.entry_id == attach.entry_id

    async def _own(
        self, request_id: str, entry_id: str, responder: Responder
    ) -> Granted | None:
        match self.ledger.attach(request_id, entry_id, self.clock()):
            case Success(granted):
                await responder.send(grant_message(granted, self.load()))
                return granted
        return None

    def _hand_over(self, grant_ids: Sequence[str]) -> None:
        """Give streams whose entry has gone to entries that read them too."""
        for grant_id in grant_ids:
            run = self._run_of(grant_id)
            followers = self._followers.get(run.request_id) if run else None
            if run is not None and followers:
                heir = followers[0]
                work = self._own(run.request_id, heir.entry_id, heir.responder)
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
        """Take a grant back, or a request that waits for one."""
        if cancel.request_id:
            self.gatekeeper.withdraw(cancel.request_id)
        not_run = True
        if cancel.grant_id:
            run = self._run_of(cancel.grant_id)
            not_run = run is None
            self.cancel_grant(cancel.grant_id)
        return ttypes.Cancelled(not_run=not_run)

    def _run_of(self, grant_id: str) -> Run | None:
        for run in self.runs.live():
            if run.grant_id == grant_id:
                return run
        return None

    def cancel_grant(self, grant_id: str) -> None:
        """Stop what runs under a grant; its memory counts until it is freed."""
        run = self._run_of(grant_id)
        driver = self._drivers.get(grant_id)
        if driver is not None:
            driver.cancel()
        now_s = self.clock()
        if run is not None:
            run.end(RunFailure("cancelled", "The request was cancelled."), now_s)
        self.granting.forget(grant_id)
        self.ledger.release(grant_id, now_s, Cancelled())
        self.gatekeeper.pump()
        self.cancels.start()

    async def run(self) -> None:
        """Watch the engine and the leases until cancelled."""
        watching = asyncio.create_task(self.monitor.run())
        try:
            while True:
                self._keep_house()
                await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
        finally:
            watching.cancel()

    def _keep_house(self) -> None:
        now_s = self.clock()
        expired = self.ledger.expired(now_s)
        self.granting.forget_lapsed()
        self._hand_over(expired.orphaned)
        for grant_id in expired.to_cancel:
            logger.info("lease lapsed", extra={"grant": grant_id})
            self.metrics.lapsed_leases.add(1)
            self.cancel_grant(grant_id)
        self.cancels.start()
        self.gatekeeper.pump()
        self.runs.forget_old(now_s)

    # The engine's death

    def _engine_died(self, boot_id: str) -> None:
        """Fail all that ran on a boot of the engine that is no more."""
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
            self.granting.forget(run.grant_id)
        self.gatekeeper.pump()

    # Shutdown

    async def drain(self, timeout_s: float) -> None:
        """Let running streams end; give the rest back to their entries."""
        self.ledger.set_leaving(True, self.clock())
        self.gatekeeper.pump()
        deadline_s = self.clock() + timeout_s
        while self.runs.live() and self.clock() < deadline_s:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
        self.move_runs()
        await self.cancels.wait()

    def move_runs(self) -> None:
        """Give running streams back to their entries, which run them elsewhere."""
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
