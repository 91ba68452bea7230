"""The stand-in engine: steps its batch on the loop, dies and comes back."""

import asyncio
import secrets
import time
from random import Random

import attrs
from returns.result import Failure, Result

from . import engine_batch
from .engine_core import Core, Overrun, Refusal
from .engine_model import CostModel
from .engine_options import EngineFaultChange, EngineFaults, EngineOptions
from .engine_stream import Arrival, Stream
from .prefix_cache import PrefixCache
from .server import MortalServer
from .web import change

BOOT_ID_BYTES = 8
MAX_LATENESS_S = 0.1


@attrs.frozen
class Report:
    """The engine's status at some time."""

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
    """One engine process.

    Parameters
    ----------
    options : EngineOptions
        How it is built.
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
        self._server: MortalServer | None = None
        self._work = asyncio.Event()
        self._thaw = asyncio.Event()
        self._thaw.set()
        self._waiters: dict[Stream, asyncio.Event] = {}
        self._revival: asyncio.TimerHandle | None = None
        self._freeze_end: asyncio.TimerHandle | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._report, self._report_at_s = self._snapshot(), self.now_s()

    @staticmethod
    def now_s() -> float:
        """Return the monotonic time."""
        return time.monotonic()

    def start(self, server: MortalServer) -> None:
        """Begin to step; `server` is cut at each death."""
        self._server = server
        self._tasks = [
            asyncio.create_task(self._run()),
            asyncio.create_task(self._report_often()),
        ]

    async def stop(self) -> None:
        """Stop for good."""
        for timer in (self._revival, self._freeze_end):
            if timer is not None:
                timer.cancel()
        for task in self._tasks:
            task.cancel()
        results = await asyncio.gather(*self._tasks, return_exceptions=True)
        # Readers see a core that isn't theirs, and go.
        self.core = self._boot(cold=True)
        self._thaw.set()
        self.wake(list(self._waiters))
        if self._server is not None:
            await self._server.stop()
        for result in results:
            if isinstance(result, Exception):
                raise result

    def admit(self, arrival: Arrival) -> Result[Stream, Refusal | Overrun]:
        """Take a stream, refuse it, or die of it."""
        result = self.core.admit(arrival, self.faults.crash_on_text)
        if isinstance(result, Failure) and isinstance(result.failure(), Overrun):
            self.die()
        self._work.set()
        return result

    def cancel(self, stream: Stream) -> bool:
        """Cancel a stream, unless a fault has it ignored."""
        if self.faults.ignore_cancel_count > 0:
            self.faults.ignore_cancel_count -= 1
            return False
        self.core.cancel(stream, self.now_s())
        self.wake([stream])
        return True

    def die(self) -> None:
        """Lose everything; come back cold after `restart_s`."""
        self.deaths += 1
        self.core = self._boot(cold=True)
        if self._server is not None and self._server.alive:
            self._server.die()
            loop = asyncio.get_running_loop()
            self._revival = loop.call_later(self.options.restart_s, self._revive)
        self._thaw.set()
        self.wake(list(self._waiters))

    def freeze(self, freeze_s: float) -> None:
        """Stand still for a while; 0 ends that."""
        if self._freeze_end is not None:
            self._freeze_end.cancel()
        self._thaw.clear()
        loop = asyncio.get_running_loop()
        self._freeze_end = loop.call_later(freeze_s, self._thaw.set)

    async def thawed(self) -> None:
        """Wait until the engine isn't frozen."""
        await self._thaw.wait()

    async def moved(self, stream: Stream) -> None:
        """Wait until a stream has moved."""
        await self._waiters.setdefault(stream, asyncio.Event()).wait()

    def wake(self, streams: list[Stream]) -> None:
        """Wake the readers of streams that have moved."""
        for stream in streams:
            waiter = self._waiters.pop(stream, None)
            if waiter is not None:
                waiter.set()

    def load(self, model: str, version: str) -> None:
        """Replace the model and cut what ran on the old one."""
        self.wake(self.core.load(model, version, self.now_s()))

    def tend(self) -> None:
        """Let time have its effects."""
        self.core.tend(self.now_s())

    def report(self) -> Report:
        """Return the status, as old as the last snapshot."""
        if not self.options.report_lag_s:
            self._take_report()
        age_ms = int((self.now_s() - self._report_at_s) * 1000)
        return attrs.evolve(self._report, report_age_ms=age_ms)

    def strike(self, faults: EngineFaultChange) -> None:
        """Switch faults on or off."""
        change(self.faults, faults)
        if faults.cold:
            self.core.become_cold(self.now_s())
        if faults.freeze_s is not None:
            self.freeze(faults.freeze_s)
        if faults.die:
            self.die()

    def _boot(self, cold: bool) -> Core:
        options = self.options
        cache = PrefixCache(
            options.prefix_cache_tokens,
            options.cache_event_lag_s,
            options.cache_event_loss,
            self._random,
        )
        boot_id = secrets.token_hex(BOOT_ID_BYTES)
        return Core(
            boot_id, options, options.model, options.version, cold, self.now_s(), cache
        )

    def _revive(self) -> None:
        self.core.become_cold(self.now_s())
        self._take_report()
        if self._server is not None:
            self._server.revive()

    def _take_report(self) -> None:
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

    async def _report_often(self) -> None:
        while self.options.report_lag_s:
            await asyncio.sleep(self.options.report_lag_s)
            await self.thawed()
            self.tend()
            self._take_report()

    async def _run(self) -> None:
        ends_s = self.now_s()
        while True:
            await self.thawed()
            core = self.core
            self.tend()
            step = engine_batch.plan(core, self.cost, self.faults.slow_factor)
            if step is None:
                self._work.clear()
                await self._work.wait()
                ends_s = self.now_s()
                continue
            # Counted from the planned end of the last step, not from when the
            # loop came round, so that a busy loop doesn't slow the engine.
            ends_s = max(ends_s, self.now_s() - MAX_LATENESS_S) + step.duration_s
            await asyncio.sleep(max(0.0, ends_s - self.now_s()))
            await self.thawed()
            if core is self.core:
                self._apply(step)

    def _apply(self, step: engine_batch.Step) -> None:
        applied = engine_batch.apply(self.core, step, self.now_s())
        self.wake(list(applied.moved))
        if applied.fatal:
            self.die()
