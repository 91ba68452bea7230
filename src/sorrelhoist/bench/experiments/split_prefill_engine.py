"""Model of an engine in virtual time, for prompts whose prefill several engines share.

It schedules as the engines of the users' platform do: a pass with decoding streams
runs the steps of one event; prefill proceeds inside the steps, one chunk in each; parts
of another engine's prompt come before all other prefills, the newest first.
"""

import math
from collections.abc import Callable

import attrs

from ...decisions.routes import EngineCosts
from .virtual_fleet import Clock
from .virtual_prompts import MS_PER_S

CHUNK_TOKENS = 2048
"""Prefill tokens of one step, from the users' pages."""


@attrs.define(eq=False)
class PrefillPart:
    """One engine's part of the prefill of a prompt.

    Parameters
    ----------
    left_ms : float
        Prefill time that remains.
    chunk_ms : float
        Prefill time of one chunk, which takes one step.
    on_prefilled : callable
        Called when the prefill of the part is done.
    """

    left_ms: float
    chunk_ms: float
    on_prefilled: Callable[[], None]


@attrs.define(eq=False)
class DecodeStream:
    """The stream of a prompt that is being decoded.

    Parameters
    ----------
    left_events : int
    on_event : callable
        Called at each event, with the number of events that remain.
    context_tokens : int
    """

    left_events: int
    on_event: Callable[[int], None]
    context_tokens: int = 0


@attrs.define(eq=False)
class SplitPrefillEngine:
    """Continuous batching with prefills split between engines.

    Parameters
    ----------
    clock : Clock
    costs : EngineCosts
    """

    clock: Clock
    costs: EngineCosts
    peer_parts: list[PrefillPart] = attrs.field(factory=list)
    own: list[PrefillPart] = attrs.field(factory=list)
    streams: list[DecodeStream] = attrs.field(factory=list)
    waiting: list[PrefillPart] = attrs.field(factory=list)
    _is_busy: bool = False

    @property
    def running(self) -> int:
        """Prompts of its own that the engine prefills or decodes."""
        return len(self.own) + len(self.streams)

    def prefill_for_peer(self, part: PrefillPart) -> None:
        """Add a part of another engine's prompt."""
        self.peer_parts.append(part)
        self._wake()

    def prefill(self, part: PrefillPart) -> None:
        """Add a prompt of its own, or the first part of one; queue it if full."""
        if self.running < self.costs.max_running:
            self.own.append(part)
        else:
            self.waiting.append(part)
        self._wake()

    def decode(self, stream: DecodeStream) -> None:
        """Decode the answer to a prompt whose prefill is complete."""
        self.streams.append(stream)
        self._wake()

    def discard(self, item: PrefillPart | DecodeStream) -> None:
        """Drop a part or a stream that its caller no longer needs."""
        for queue in (self.peer_parts, self.own, self.streams, self.waiting):
            if item in queue:
                queue.remove(item)  # type: ignore[arg-type]
        self._admit()

    def _admit(self) -> None:
        while self.waiting and self.running < self.costs.max_running:
            self.own.append(self.waiting.pop(0))

    def _wake(self) -> None:
        if not self._is_busy:
            self._is_busy = True
            self.clock.after(0.0, self._run_pass)

    def _run_pass(self) -> None:
        streams = list(self.streams)
        steps = self.costs.tokens_per_event if streams else 1
        duration_ms, completed = self._steps(steps, streams)
        if not duration_ms:
            self._is_busy = False
            return
        self.clock.after(
            duration_ms / MS_PER_S, lambda: self._finish_pass(streams, completed)
        )

    def _step_ms(self, streams: list[DecodeStream]) -> float:
        context_tokens = sum(stream.context_tokens for stream in streams)
        return (
            self.costs.step_ms
            + self.costs.per_stream_ms * len(streams)
            + self.costs.context_ms_per_thousand * context_tokens / 1000
        )

    def _steps(
        self, steps: int, streams: list[DecodeStream]
    ) -> tuple[float, list[PrefillPart]]:
        duration_ms = steps * self._step_ms(streams) if streams else 0.0
        completed: list[PrefillPart] = []
        for part in [*reversed(self.peer_parts), *self.own]:
            needed = max(1, math.ceil(part.left_ms / part.chunk_ms))
            done = min(steps, needed)
            steps -= done
            done_ms = min(part.left_ms, done * part.chunk_ms)
            part.left_ms -= done_ms
            duration_ms += done_ms
            if part.left_ms <= 0:
                completed.append(part)
            if not steps:
                break
        return duration_ms, completed

    def _finish_pass(
        self, streams: list[DecodeStream], completed: list[PrefillPart]
    ) -> None:
        for stream in streams:
            if stream not in self.streams:
                continue
            stream.left_events -= 1
            if not stream.left_events:
                self.streams.remove(stream)
            stream.on_event(stream.left_events)
        for part in completed:
            if part in self.peer_parts:
                self.peer_parts.remove(part)
                part.on_prefilled()
            elif part in self.own:
                self.own.remove(part)
                part.on_prefilled()
        self._admit()
        self._run_pass()
