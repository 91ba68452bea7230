"""Requests that wait for room, in the order in which they get it.

Answers the pattern "a burst of all kinds": work that can still be in time goes
first, by the time that is left for it, so that no kind waits behind another for
longer than its own objective.
"""

import bisect
import itertools
from collections.abc import Callable, Hashable

import attrs

from .spreading_demand import Busy, Placement


@attrs.define(order=False, eq=False)
class Waiting:
    """One request that waits.

    Parameters
    ----------
    request_id : str
    due_s : float
        When it should be placed at the latest to be in time.
    late_from_s : float
        From when on it may get a place where it will be late.
    give_up_s : float
        When it is tried for the last time.
    lane : hashable
        Those among which one with less time left goes first. One that finds no room
        holds up the rest of its lane and no other.
    """

    request_id: str
    due_s: float
    give_up_s: float
    late_from_s: float = float("inf")
    lane: Hashable = None
    sequence: int = 0

    @property
    def order(self) -> tuple[float, int]:
        """Earliest due first."""
        return (self.due_s, self.sequence)


class WaitingRoom:
    """All requests that wait in this process."""

    def __init__(self) -> None:
        self._waiting: list[Waiting] = []
        self._sequence = itertools.count()

    def __len__(self) -> int:
        return len(self._waiting)

    def enter(self, waiting: Waiting) -> None:
        """Add a request."""
        waiting.sequence = next(self._sequence)
        bisect.insort(self._waiting, waiting, key=lambda item: item.order)

    def leave(self, waiting: Waiting) -> None:
        """Take out a request, placed or not."""
        if waiting in self._waiting:
            self._waiting.remove(waiting)

    def is_overtaking(self, waiting: Waiting) -> bool:
        """Tell whether another one of its lane should go first."""
        return any(
            other.lane == waiting.lane and other.due_s <= waiting.due_s
            for other in self._waiting
        )

    def settle(
        self, place: Callable[[Waiting, bool], Placement], now_s: float
    ) -> list[tuple[Waiting, Placement]]:
        """Try to place all in their order; those that are settled leave the room.

        Parameters
        ----------
        place : callable
            Gets a request and whether it may be late.
        now_s : float

        Returns
        -------
        list of tuple
            The settled requests. One that found no room at its last try is `Busy`.
        """
        settled: list[tuple[Waiting, Placement]] = []
        blocked: set[Hashable] = set()
        for waiting in list(self._waiting):
            is_last_try = waiting.give_up_s <= now_s
            if waiting.lane in blocked and not is_last_try:
                continue
            found = place(waiting, now_s >= waiting.late_from_s)
            if isinstance(found, Busy):
                blocked.add(waiting.lane)
                if not is_last_try:
                    continue
            self._waiting.remove(waiting)
            settled.append((waiting, found))
        return settled
