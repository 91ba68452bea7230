"""An engine in virtual time that reads prompts in parts and writes in passes.

What it takes from the users' platform: a pass with writers runs the steps of one
event; reading goes on inside the steps, a chunk in each; parts that help another
engine's prompt go ahead of all other reads, the newest first.
"""

import math
from collections.abc import Callable

import attrs

from ...decisions.routes import EngineCosts
from .virtual_fleet import Clock
from .virtual_prompts import MS_PER_S

CHUNK_TOKENS = 2048
"""What an engine reads in one step, from the users' pages."""


@attrs.define(eq=False)
class Part:
    """A part of a prompt at one engine.

    Parameters
    ----------
    left_ms : float
    chunk_ms : float
        What one step reads of it.
    on_read : callable
    """

    left_ms: float
    chunk_ms: float
    on_read: Callable[[], None]


@attrs.define(eq=False)
class Writer:
    """A stream that is written.

    Parameters
    ----------
    left_events : int
    on_event : callable
        Called with the events that are left.
    """

    left_events: int
    on_event: Callable[[int], None]


@attrs.define(eq=False)
class ReadingEngine:
    """One engine.

    Parameters
    ----------
    clock : Clock
    costs : EngineCosts
    """

    clock: Clock
    costs: EngineCosts
    helping: list[Part] = attrs.field(factory=list)
    own: list[Part] = attrs.field(factory=list)
    writers: list[Writer] = attrs.field(factory=list)
    waiting: list[Part] = attrs.field(factory=list)
    _is_busy: bool = False

    @property
    def running(self) -> int:
        """Prompts that it reads or writes for itself."""
        return len(self.own) + len(self.writers)

    def help(self, part: Part) -> None:
        """Read a part of another engine's prompt."""
        self.helping.append(part)
        self._wake()

    def read(self, part: Part) -> None:
        """Read a prompt of its own, or the first part of it."""
        if self.running < self.costs.max_running:
            self.own.append(part)
        else:
            self.waiting.append(part)
        self._wake()

    def write(self, writer: Writer) -> None:
        """Write the answer to a prompt that is read."""
        self.writers.append(writer)
        self._wake()

    def forget(self, item: Part | Writer) -> None:
        """Drop what its caller no longer waits for."""
        for place in (self.helping, self.own, self.writers, self.waiting):
            if item in place:
                place.remove(item)  # type: ignore[arg-type]
        self._admit()

    def _admit(self) -> None:
        while self.waiting and self.running < self.costs.max_running:
            self.own.append(self.waiting.pop(0))

    def _wake(self) -> None:
        if not self._is_busy:
            self._is_busy = True
            self.clock.after(0.0, self._pass)

    def _pass(self) -> None:
        writers = list(self.writers)
        steps = self.costs.tokens_per_event if writers else 1
        duration_ms, read = self._steps(steps, len(writers))
        if not duration_ms:
            self._is_busy = False
            return
        self.clock.after(duration_ms / MS_PER_S, lambda: self._passed(writers, read))

    def _steps(self, steps: int, writers: int) -> tuple[float, list[Part]]:
        duration_ms = steps * self.costs.step_ms if writers else 0.0
        read: list[Part] = []
        for part in [*reversed(self.helping), *self.own]:
            needed = max(1, math.ceil(part.left_ms / part.chunk_ms))
            done = min(steps, needed)
            steps -= done
            done_ms = min(part.left_ms, done * part.chunk_ms)
            part.left_ms -= done_ms
            duration_ms += done_ms
            if part.left_ms <= 0:
                read.append(part)
            if not steps:
                break
        return duration_ms, read

    def _passed(self, writers: list[Writer], read: list[Part]) -> None:
        for writer in writers:
            if writer not in self.writers:
                continue
            writer.left_events -= 1
            if not writer.left_events:
                self.writers.remove(writer)
            writer.on_event(writer.left_events)
        for part in read:
            if part in self.helping:
                self.helping.remove(part)
                part.on_read()
            elif part in self.own:
                self.own.remove(part)
                part.on_read()
        self._admit()
        self._pass()
