"""Model of entries in virtual time that contend for groups of endpoints."""

import heapq
import itertools
import math
import random
from collections.abc import Callable, Iterator, Sequence
from functools import partial

import attrs

from ...decisions.groups import FixedOrderReservation
from ...decisions.groups_parts import (
    Action,
    GroupReserved,
    PartQueue,
    PartRelease,
    PartRequest,
    PartResponse,
    ReservationEnded,
)

ENDPOINTS = 7
GROUP_SIZE = 3
LATENCY_S = (0.0003, 0.002)
HOLD_S = (4.0, 6.0)
PAUSE_S = 0.5
LEASE_S = 3.0
PATIENCE_S = 600.0
RUN_S = 600.0


@attrs.frozen
class Variant:
    """A reservation protocol of the entries with the order of the endpoints' queues."""

    protocol: type[FixedOrderReservation]
    by_timestamp: bool


@attrs.define
class RunStats:
    """Totals of a run."""

    waits_s: list[float] = attrs.field(factory=list)
    messages: int = 0
    owned_s: float = 0.0
    run_s: float = 0.0
    ended: int = 0


@attrs.define
class ContentionSimulation:
    """Simulate the contention of entries for endpoints, message by message.

    Parameters
    ----------
    way : Variant
    entries, endpoints : int
    rng : random.Random
    loss, deaths : float
        Shares of messages that are lost, and of attempts that die without a release.
    patience_s : float
        Timeout of a reservation attempt.
    stop_s : float
        No attempt starts after this time.
    """

    way: Variant
    entries: int
    rng: random.Random
    endpoints: int = ENDPOINTS
    loss: float = 0.0
    deaths: float = 0.0
    patience_s: float = PATIENCE_S
    stop_s: float = RUN_S
    now_s: float = attrs.field(init=False, default=0.0)
    figures: RunStats = attrs.field(init=False, factory=RunStats)
    attempts: dict[str, FixedOrderReservation] = attrs.field(init=False, factory=dict)
    queues: dict[str, PartQueue] = attrs.field(init=False)
    _events: list[tuple[float, int, Callable[[], None]]] = attrs.field(
        init=False, factory=list
    )
    _order: Iterator[int] = attrs.field(init=False, factory=itertools.count)
    _attempt_numbers: Iterator[int] = attrs.field(init=False, factory=itertools.count)

    def __attrs_post_init__(self) -> None:
        names = [f"e-{i}" for i in range(self.endpoints)]
        by_timestamp = self.way.by_timestamp
        self.queues = {name: PartQueue(name, LEASE_S, by_timestamp) for name in names}
        for _ in range(self.entries):
            self._schedule(self.rng.uniform(0, PAUSE_S), self._begin_attempt)
        for name in names:
            self._schedule(LEASE_S / 10, partial(self._expire, name))

    def step(self) -> bool:
        """Run the next event; return False if there was none."""
        if not self._events:
            return False
        at_s, _, event = heapq.heappop(self._events)
        owned = sum(queue.owner is not None for queue in self.queues.values())
        self.figures.owned_s += owned * (at_s - self.now_s)
        self.now_s = at_s
        event()
        return True

    def run(self) -> RunStats:
        """Run until `stop_s` and return the totals."""
        while self.now_s < self.stop_s:
            self.step()
        return self.figures

    def _schedule(self, delay_s: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now_s + delay_s, next(self._order), event))

    def _begin_attempt(self) -> None:
        if self.now_s >= self.stop_s:
            return
        name = f"a-{next(self._attempt_numbers)}"
        group = self.rng.sample(sorted(self.queues), GROUP_SIZE)
        deadline_s = self.now_s + self.patience_s
        attempt = self.way.protocol(name, group, LEASE_S, deadline_s)
        self.attempts[name] = attempt
        self._perform(attempt, attempt.start(self.now_s))
        if self.rng.random() < self.deaths:
            self._schedule(self.rng.uniform(0, 2 * HOLD_S[1]), partial(self._die, name))

    def _die(self, name: str) -> None:
        if self.attempts.pop(name, None) is not None:
            self._schedule(PAUSE_S, self._begin_attempt)

    def _perform(
        self, attempt: FixedOrderReservation, actions: Sequence[Action]
    ) -> None:
        for action in actions:
            match action:
                case PartRequest() | PartRelease():
                    self._count_message(attempt)
                    self._send(partial(self._serve, action))
                case GroupReserved():
                    self._reserved(attempt)
                case ReservationEnded():
                    self.figures.ended += 1
                    self._remove_attempt(attempt)
        self._schedule_tick(attempt)

    def _reserved(self, attempt: FixedOrderReservation) -> None:
        self.figures.waits_s.append(self.now_s - attempt.timestamp_s)
        since_s = self.now_s
        hold_s = self.rng.uniform(*HOLD_S)
        self._schedule(hold_s, partial(self._finish, attempt, since_s))

    def _finish(self, attempt: FixedOrderReservation, since_s: float) -> None:
        if attempt.attempt in self.attempts and not attempt.is_over:
            self.figures.run_s += GROUP_SIZE * (self.now_s - since_s)
            self._perform(attempt, attempt.release())
            self._remove_attempt(attempt)

    def _remove_attempt(self, attempt: FixedOrderReservation) -> None:
        del self.attempts[attempt.attempt]
        self._schedule(self.rng.expovariate(1 / PAUSE_S), self._begin_attempt)

    def _schedule_tick(self, attempt: FixedOrderReservation) -> None:
        next_tick_s = attempt.next_tick_s
        if next_tick_s < math.inf:
            delay_s = max(0.0, next_tick_s - self.now_s)
            self._schedule(delay_s, partial(self._tick, attempt, next_tick_s))

    def _tick(self, attempt: FixedOrderReservation, next_tick_s: float) -> None:
        if attempt.attempt in self.attempts and attempt.next_tick_s == next_tick_s:
            self._perform(attempt, attempt.tick(self.now_s))

    def _expire(self, name: str) -> None:
        queue = self.queues[name]
        self._answer(queue.expire(self.now_s))
        if self.now_s < self.stop_s or not queue.is_free or self.attempts:
            self._schedule(LEASE_S / 10, partial(self._expire, name))

    def _serve(self, message: PartRequest | PartRelease) -> None:
        self._answer(self.queues[message.part].on_message(message, self.now_s))

    def _answer(self, answers: Sequence[PartResponse]) -> None:
        for answer in answers:
            self._count_message(self.attempts.get(answer.attempt))
            self._send(partial(self._deliver_response, answer))

    def _deliver_response(self, answer: PartResponse) -> None:
        attempt = self.attempts.get(answer.attempt)
        if attempt is not None:
            self._perform(attempt, attempt.on_response(answer, self.now_s))

    def _count_message(self, attempt: FixedOrderReservation | None) -> None:
        """Count a message; renewals of reserved groups are the same in all variants."""
        if attempt is None or not attempt.is_reserved:
            self.figures.messages += 1

    def _send(self, event: Callable[[], None]) -> None:
        if self.rng.random() >= self.loss:
            self._schedule(self.rng.uniform(*LATENCY_S), event)
