"""The stand-in engine: runs batch steps on the event loop, crashes and restarts."""

import asyncio
import secrets
import time
from random import Random

import attrs
from returns.result import Failure, Result

from . import engine_batch
from .engine_core import ColdOverload, EngineCore, Refusal
from .engine_model import CostModel
from .engine_options import EngineFaultChange, EngineFaults, EngineOptions
from .engine_stream import Stream, StreamRequest
from .prefix_cache import PrefixCache
from .server import RestartableServer
from .web import change

BOOT_ID_BYTES = 8
MAX_LATENESS_S = 0.1


@attrs.frozen
class Report:
    """Snapshot of the engine's status."""

    boot_id: str
    state: str
    model: str
    version: str
    role: str
    kv_capacity_tokens: int
    kv_used_tokens: int
    running_requests: int
    prefill_tokens_per_s: float
    highest_fencing: int
    report_age_ms: int = 0


class Engine:
    """One engine process, with its faults and its restarts.

    Parameters
    ----------
    options : EngineOptions
        Capacity, speed and cold start of the engine.
    """

    def __init__(self, options: EngineOptions) -> None:
        self.options = options
        self.faults = EngineFaults()
        self.cost = CostModel(
            options.prefill_tokens_per_s,
            options.decode_step_s,
            options.decode_growth,
            options.cold_slow_factor,
        )
        self._random = Random(options.seed)
        self.core = self._boot(options.start_cold)
        self.deaths = 0
        self._server: RestartableServer | None = None
        self._work = asyncio.Event()
        self._unfrozen = asyncio.Event()
        self._unfrozen.set()
        self._waiters: dict[Stream, asyncio.Event] = {}
        self._restart_timer: asyncio.TimerHandle | None = None
        self._unfreeze_timer: asyncio.TimerHandle | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._report, self._report_at_s = self._snapshot(), self.now_s()

    @staticmethod
    def now_s() -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def start(self, server: RestartableServer) -> None:
        """Start running steps; `server` goes down at each crash."""
        self._server = server
        self._tasks = [
            asyncio.create_task(self._run()),
            asyncio.create_task(self._refresh_report_periodically()),
        ]

    async def stop(self) -> None:
        """Stop permanently and raise the first error of a background task."""
        for timer in (self._restart_timer, self._unfreeze_timer):
            if timer is not None:
                timer.cancel()
        for task in self._tasks:
            task.cancel()
        results = await asyncio.gather(*self._tasks, return_exceptions=True)
        # Readers of the old core see that it was replaced, and close.
        self.core = self._boot(cold=True)
        self._unfrozen.set()
        self.wake(list(self._waiters))
        if self._server is not None:
            await self._server.stop()
        for result in results:
            if isinstance(result, Exception):
                raise result

    def admit(self, request: StreamRequest) -> Result[Stream, Refusal | ColdOverload]:
        """Admit a stream or refuse it; crash if a cold engine is overloaded."""
        result = self.core.admit(request, self.faults.crash_on_text)
        if isinstance(result, Failure) and isinstance(result.failure(), ColdOverload):
            self.die()
        self._work.set()
        return result

    def cancel(self, stream: Stream) -> bool:
        """Cancel a stream; return False if a fault makes the engine ignore it."""
        if self.faults.ignore_cancel_count > 0:
            self.faults.ignore_cancel_count -= 1
            return False
        self.core.cancel(stream, self.now_s())
        self.wake([stream])
        return True

    def die(self) -> None:
        """Crash: lose all state and restart cold after `restart_s`."""
        self.deaths += 1
        self.core = self._boot(cold=True)
        if self._server is not None and self._server.alive:
            self._server.die()
            loop = asyncio.get_running_loop()
            self._restart_timer = loop.call_later(self.options.restart_s, self._restart)
        self._unfrozen.set()
        self.wake(list(self._waiters))

    def freeze(self, freeze_s: float) -> None:
        """Freeze the engine for `freeze_s` seconds; 0 ends a freeze."""
        if self._unfreeze_timer is not None:
            self._unfreeze_timer.cancel()
        self._unfrozen.clear()
        loop = asyncio.get_running_loop()
        self._unfreeze_timer = loop.call_later(freeze_s, self._unfrozen.set)

    async def wait_until_unfrozen(self) -> None:
        """Wait until the engine isn't frozen."""
        await self._unfrozen.wait()

    async def moved(self, stream: Stream) -> None:
        """Wait until a stream has new tokens or has ended."""
        await self._waiters.setdefault(stream, asyncio.Event()).wait()

    def wake(self, streams: list[Stream]) -> None:
        """Wake the readers that wait for these streams."""
        for stream in streams:
            waiter = self._waiters.pop(stream, None)
            if waiter is not None:
                waiter.set()

    def load(self, model: str, version: str) -> None:
        """Replace the model and cancel the streams of the old one."""
        self.wake(self.core.load(model, version, self.now_s()))

    def run_housekeeping(self) -> None:
        """End a cold start that is over and discard expired streams."""
        self.core.run_housekeeping(self.now_s())

    def report(self) -> Report:
        """Return the last status snapshot, with its age."""
        if not self.options.report_lag_s:
            self._refresh_report()
        age_ms = int((self.now_s() - self._report_at_s) * 1000)
        return attrs.evolve(self._report, report_age_ms=age_ms)

    def inject_faults(self, faults: EngineFaultChange) -> None:
        """Apply a change of faults."""
        change(self.faults, faults)
        if faults.cold:
            self.core.become_cold(self.now_s())
        if faults.freeze_s is not None:
            self.freeze(faults.freeze_s)
        if faults.die:
            self.die()

    def _boot(self, cold: bool) -> EngineCore:
        options = self.options
        cache = PrefixCache(
            options.prefix_cache_tokens,
            options.cache_event_lag_s,
            options.cache_event_loss,
            self._random,
        )
        boot_id = secrets.token_hex(BOOT_ID_BYTES)
        return EngineCore(
            boot_id, options, options.model, options.version, cold, self.now_s(), cache
        )

    def _restart(self) -> None:
        self.core.become_cold(self.now_s())
        self._refresh_report()
        if self._server is not None:
            self._server.restart()

    def _refresh_report(self) -> None:
        self._report, self._report_at_s = self._snapshot(), self.now_s()

    def _snapshot(self) -> Report:
        core = self.core
        return Report(
            boot_id=core.boot_id,
            state="cold" if core.cold else "serving",
            model=core.model,
            version=core.version,
            role=core.role,
            kv_capacity_tokens=self.options.kv_capacity_tokens,
            kv_used_tokens=core.kv_used_tokens,
            running_requests=len(core.running),
            prefill_tokens_per_s=self.options.prefill_tokens_per_s,
            highest_fencing=core.highest_fencing,
        )

    async def _refresh_report_periodically(self) -> None:
        while self.options.report_lag_s:
            await asyncio.sleep(self.options.report_lag_s)
            await self.wait_until_unfrozen()
            self.run_housekeeping()
            self._refresh_report()

    async def _run(self) -> None:
        ends_s = self.now_s()
        while True:
            await self.wait_until_unfrozen()
            core = self.core
            self.run_housekeeping()
            step = engine_batch.plan(core, self.cost, self.faults.slow_factor)
            if step is None:
                self._work.clear()
                await self._work.wait()
                ends_s = self.now_s()
                continue
            # Measured from the planned end of the last step, not from when the
            # event loop resumed this task: a busy loop must not slow the engine.
            ends_s = max(ends_s, self.now_s() - MAX_LATENESS_S) + step.duration_s
            await asyncio.sleep(max(0.0, ends_s - self.now_s()))
            await self.wait_until_unfrozen()
            if core is self.core:
                self._apply(step)

    def _apply(self, step: engine_batch.Step) -> None:
        applied = engine_batch.apply(self.core, step, self.now_s())
        self.wake(list(applied.moved))
        if applied.fatal:
            self.die()
