"""Groups of endpoints for prompts that are too large for one.

What a group is made of, and how its parts are reserved: one after the other in the
order of their names. Entries that contend then wait for each other in one direction,
and none holds what another needs while it waits for that one.
"""

import math
from collections import defaultdict
from collections.abc import Sequence

import attrs

from .endpoint_limits import DEFAULT_SHORT_FLOOR
from .groups_parts import (
    Action,
    AskPart,
    Ended,
    GiveBack,
    PartAnswer,
    Reserved,
    Verdict,
)
from .routing import Target

MAX_GROUP_SIZE = 8
RENEWALS_PER_LEASE = 3


def long_capacity_tokens(target: Target) -> int:
    """Return the memory that one long prompt may take on an endpoint."""
    return int(target.kv_capacity_tokens * (1 - DEFAULT_SHORT_FLOOR))


def needs_group(kv_tokens: int, targets: Sequence[Target]) -> bool:
    """Tell whether no single endpoint has the memory."""
    largest = max((long_capacity_tokens(target) for target in targets), default=0)
    return kv_tokens > largest > 0


def plan_groups(kv_tokens: int, targets: Sequence[Target]) -> list[list[Target]]:
    """Plan one group for each failure domain that is large enough.

    Parameters
    ----------
    kv_tokens : int
        Memory for the whole answer.
    targets : sequence of Target

    Returns
    -------
    list of list of Target
        Each in the order of names; smallest groups first.
    """
    domains: dict[str, list[Target]] = defaultdict(list)
    for target in targets:
        domains[target.failure_domain].append(target)
    plans = [_plan_group(kv_tokens, members) for members in domains.values()]
    return sorted((plan for plan in plans if plan), key=len)


def _plan_group(kv_tokens: int, targets: list[Target]) -> list[Target]:
    largest_first = sorted(targets, key=lambda t: (-t.kv_capacity_tokens, t.endpoint))
    for size in range(2, min(len(targets), MAX_GROUP_SIZE) + 1):
        chosen = largest_first[:size]
        if share_tokens(kv_tokens, size) <= long_capacity_tokens(chosen[-1]):
            return sorted(chosen, key=lambda target: target.endpoint)
    return []


def share_tokens(kv_tokens: int, size: int) -> int:
    """Return the memory that each part of a group holds.

    Examples
    --------
    >>> share_tokens(1_000_001, 2)
    500001
    """
    return math.ceil(kv_tokens / size)


@attrs.define
class PartState:
    """What a reservation knows of one part."""

    part: str
    number: int = 0
    sent_s: float = 0.0
    verdict: Verdict | None = None
    held_number: int = 0
    held_until_s: float = -math.inf

    def is_held(self, now_s: float) -> bool:
        """Whether the lease certainly holds."""
        return now_s < self.held_until_s


@attrs.define
class FixedOrder:
    """One reservation, part after part in the order of their names.

    Parameters
    ----------
    attempt : str
        Never used before.
    names : sequence of str
        The endpoints of the group.
    lease_s, deadline_s : float
        The lease on each part, and when to give up.
    """

    attempt: str
    names: Sequence[str]
    lease_s: float
    deadline_s: float
    parts: dict[str, PartState] = attrs.field(init=False)
    stamp_s: float = attrs.field(init=False, default=0.0)
    is_reserved: bool = attrs.field(init=False, default=False)
    is_over: bool = attrs.field(init=False, default=False)
    wake_s: float = attrs.field(init=False, default=math.inf)

    def __attrs_post_init__(self) -> None:
        self.parts = {name: PartState(name) for name in sorted(self.names)}

    def start(self, now_s: float) -> list[Action]:
        """Ask for the first part."""
        self.stamp_s = now_s
        first_s = now_s + self.lease_s / RENEWALS_PER_LEASE
        self.wake_s = min(first_s, self.deadline_s)
        return self._first_asks(now_s)

    def on_answer(self, answer: PartAnswer, now_s: float) -> list[Action]:
        """Take in an answer; return what to do."""
        state = self.parts[answer.part]
        if self.is_over:
            is_held = answer.verdict is Verdict.HELD
            return [self._give_back(state)] if is_held else []
        # Of answers to one message, the one that grants came last.
        if answer.number != state.number or state.held_number == state.number:
            return []
        was_held = state.verdict is Verdict.HELD
        state.verdict = answer.verdict
        match answer.verdict:
            case Verdict.REFUSED:
                return self._end()
            case Verdict.HELD:
                state.held_number = state.number
                state.held_until_s = state.sent_s + self.lease_s
                return self._held(now_s)
            case Verdict.QUEUED:
                state.held_until_s = -math.inf
                return self._lost(now_s) if was_held else self._queued(now_s)

    def tick(self, now_s: float) -> list[Action]:
        """Renew, notice lapsed leases and the deadline; due at ``wake_s``."""
        if self.is_over:
            return []
        if not self.is_reserved and now_s >= self.deadline_s:
            return self._end()
        held = [s for s in self.parts.values() if s.verdict is Verdict.HELD]
        if not all(state.is_held(now_s) for state in held):
            return self._lost(now_s)
        return self._renew(now_s)

    def _renew(self, now_s: float) -> list[Action]:
        ends_s = [s.held_until_s for s in self.parts.values() if s.is_held(now_s)]
        # A lease that can't be renewed must be noticed before another gets the part.
        if not self.is_reserved:
            ends_s.append(self.deadline_s)
        self.wake_s = min([now_s + self.lease_s / RENEWALS_PER_LEASE, *ends_s])
        asked = [state for state in self.parts.values() if state.number]
        return [self._ask(state, now_s) for state in asked]

    def release(self) -> list[Action]:
        """Give all parts back."""
        self.is_over = True
        self.is_reserved = False
        self.wake_s = math.inf
        return [self._give_back(s) for s in self.parts.values() if s.number]

    def _first_asks(self, now_s: float) -> list[Action]:
        return [self._ask(next(iter(self.parts.values())), now_s)]

    def _held(self, now_s: float) -> list[Action]:
        if self.is_reserved:
            return []
        if all(state.is_held(now_s) for state in self.parts.values()):
            self.is_reserved = True
            return [Reserved()]
        return self._next_asks(now_s)

    def _next_asks(self, now_s: float) -> list[Action]:
        """Ask for the next part once all before it are held."""
        for state in self.parts.values():
            if state.verdict is None and not state.number:
                return [self._ask(state, now_s)]
            if not state.is_held(now_s):
                return []
        return []

    def _queued(self, now_s: float) -> list[Action]:
        return []

    def _lost(self, now_s: float) -> list[Action]:
        """End: to wait again for an earlier part would break the order."""
        return self._end()

    def _end(self) -> list[Action]:
        return [*self.release(), Ended()]

    def _ask(self, state: PartState, now_s: float, yields: bool = False) -> AskPart:
        state.number += 1
        state.sent_s = now_s
        return AskPart(state.part, self.attempt, state.number, self.stamp_s, yields)

    def _give_back(self, state: PartState) -> GiveBack:
        state.number += 1
        state.held_until_s = -math.inf
        return GiveBack(state.part, self.attempt, state.number)
