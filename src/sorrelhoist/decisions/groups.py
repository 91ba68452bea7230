"""Plan and reserve groups of endpoints for prompts too large for a single one.

The parts of a group are reserved one after another in the order of their names. This
total order prevents deadlock: contending entries wait for each other in one direction
only, so none holds a part that another needs while it waits for that other entry.
"""

import math
from collections import defaultdict
from collections.abc import Sequence

import attrs

from .endpoint_limits import DEFAULT_SHORT_FLOOR
from .groups_parts import (
    Action,
    GroupReserved,
    PartRelease,
    PartRequest,
    PartResponse,
    PartStatus,
    ReservationEnded,
)
from .routing import Target

MAX_GROUP_SIZE = 8
RENEWALS_PER_LEASE = 3


def long_capacity_tokens(target: Target) -> int:
    """Return the KV capacity that one long prompt may use on an endpoint."""
    return int(target.kv_capacity_tokens * (1 - DEFAULT_SHORT_FLOOR))


def needs_group(kv_tokens: int, targets: Sequence[Target]) -> bool:
    """Return whether the prompt exceeds the KV capacity of every single endpoint."""
    largest = max((long_capacity_tokens(target) for target in targets), default=0)
    return kv_tokens > largest > 0


def plan_groups(kv_tokens: int, targets: Sequence[Target]) -> list[list[Target]]:
    """Plan one group in each failure domain that has enough capacity.

    Parameters
    ----------
    kv_tokens : int
        KV cache needed for the prompt and the whole output.
    targets : sequence of Target

    Returns
    -------
    list of list of Target
        Groups with the fewest endpoints first, each sorted by endpoint name.
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
    """Return the KV tokens that each part of a group holds.

    Examples
    --------
    >>> share_tokens(1_000_001, 2)
    500001
    """
    return math.ceil(kv_tokens / size)


@attrs.define
class PartState:
    """The state of one part of a reservation, as seen by the entry."""

    part: str
    number: int = 0
    sent_s: float = 0.0
    status: PartStatus | None = None
    held_number: int = 0
    held_until_s: float = -math.inf

    def is_held(self, now_s: float) -> bool:
        """Return whether the lease is certain to be valid."""
        return now_s < self.held_until_s


@attrs.define
class FixedOrderReservation:
    """The reservation of one group, requesting its parts in the order of their names.

    Parameters
    ----------
    attempt : str
        Identifier of this reservation attempt; must be unique.
    names : sequence of str
        The endpoints of the group.
    lease_s, deadline_s : float
        The duration of the lease on each part, and the time at which to give up.
    """

    attempt: str
    names: Sequence[str]
    lease_s: float
    deadline_s: float
    parts: dict[str, PartState] = attrs.field(init=False)
    timestamp_s: float = attrs.field(init=False, default=0.0)
    is_reserved: bool = attrs.field(init=False, default=False)
    is_over: bool = attrs.field(init=False, default=False)
    next_tick_s: float = attrs.field(init=False, default=math.inf)

    def __attrs_post_init__(self) -> None:
        self.parts = {name: PartState(name) for name in sorted(self.names)}

    def start(self, now_s: float) -> list[Action]:
        """Begin the reservation and request the first part."""
        self.timestamp_s = now_s
        first_renewal_s = now_s + self.lease_s / RENEWALS_PER_LEASE
        self.next_tick_s = min(first_renewal_s, self.deadline_s)
        return self._initial_requests(now_s)

    def on_response(self, response: PartResponse, now_s: float) -> list[Action]:
        """Handle a response and return the resulting actions."""
        state = self.parts[response.part]
        if self.is_over:
            is_held = response.status is PartStatus.HELD
            return [self._release_part(state)] if is_held else []
        # If one message gets two responses, the one that grants is the later one.
        if response.number != state.number or state.held_number == state.number:
            return []
        was_held = state.status is PartStatus.HELD
        state.status = response.status
        match response.status:
            case PartStatus.REFUSED:
                return self._abort()
            case PartStatus.HELD:
                state.held_number = state.number
                state.held_until_s = state.sent_s + self.lease_s
                return self._handle_held(now_s)
            case PartStatus.QUEUED:
                state.held_until_s = -math.inf
                return (
                    self._handle_lost(now_s) if was_held else self._handle_queued(now_s)
                )

    def tick(self, now_s: float) -> list[Action]:
        """Renew leases, check for expiry and the deadline; due at ``next_tick_s``."""
        if self.is_over:
            return []
        if not self.is_reserved and now_s >= self.deadline_s:
            return self._abort()
        held = [s for s in self.parts.values() if s.status is PartStatus.HELD]
        if not all(state.is_held(now_s) for state in held):
            return self._handle_lost(now_s)
        return self._renew(now_s)

    def _renew(self, now_s: float) -> list[Action]:
        ends_s = [s.held_until_s for s in self.parts.values() if s.is_held(now_s)]
        # The loss of a lease that can't be renewed must be detected before another
        # reservation gets the part.
        if not self.is_reserved:
            ends_s.append(self.deadline_s)
        self.next_tick_s = min([now_s + self.lease_s / RENEWALS_PER_LEASE, *ends_s])
        requested = [state for state in self.parts.values() if state.number]
        return [self._request_part(state, now_s) for state in requested]

    def release(self) -> list[Action]:
        """Release all parts."""
        self.is_over = True
        self.is_reserved = False
        self.next_tick_s = math.inf
        return [self._release_part(s) for s in self.parts.values() if s.number]

    def _initial_requests(self, now_s: float) -> list[Action]:
        return [self._request_part(next(iter(self.parts.values())), now_s)]

    def _handle_held(self, now_s: float) -> list[Action]:
        if self.is_reserved:
            return []
        if all(state.is_held(now_s) for state in self.parts.values()):
            self.is_reserved = True
            return [GroupReserved()]
        return self._next_requests(now_s)

    def _next_requests(self, now_s: float) -> list[Action]:
        """Request the next part once all parts before it are held."""
        for state in self.parts.values():
            if state.status is None and not state.number:
                return [self._request_part(state, now_s)]
            if not state.is_held(now_s):
                return []
        return []

    def _handle_queued(self, now_s: float) -> list[Action]:
        return []

    def _handle_lost(self, now_s: float) -> list[Action]:
        """Abort: waiting again for an earlier part would violate the order."""
        return self._abort()

    def _abort(self) -> list[Action]:
        return [*self.release(), ReservationEnded()]

    def _request_part(
        self, state: PartState, now_s: float, yields: bool = False
    ) -> PartRequest:
        state.number += 1
        state.sent_s = now_s
        return PartRequest(
            state.part, self.attempt, state.number, self.timestamp_s, yields
        )

    def _release_part(self, state: PartState) -> PartRelease:
        state.number += 1
        state.held_until_s = -math.inf
        return PartRelease(state.part, self.attempt, state.number)
