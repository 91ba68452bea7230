"""Queue of requests that wait for placement, earliest due time first.

In a burst of all kinds of requests, those with the least time left are placed first, so
that no kind waits behind another for longer than its own objective.
"""

import bisect
import itertools
from collections.abc import Callable, Hashable
from typing import Any

import attrs

from .demand import Busy


@attrs.define(order=False, eq=False)
class PendingPlacement:
    """One request in the queue.

    Parameters
    ----------
    request_id : str
    due_s : float
        Latest time of placement to meet its objective.
    late_from_s : float
        Time from which it may be placed where it misses its objective.
    give_up_s : float
        Time of the last attempt to place it.
    lane : hashable
        Requests of one lane are placed in order of their due time. One that finds no
        capacity blocks the rest of its lane and no other lane.
    rank : tuple
        Goes before the due time. Equal for all while everything fits; under overload
        it follows from shares and priorities.
    """

    request_id: str
    due_s: float
    give_up_s: float
    late_from_s: float = float("inf")
    lane: Hashable = None
    rank: tuple = ()
    sequence: int = 0

    @property
    def order(self) -> tuple[tuple, float, int]:
        """Sort key: rank, due time, then order of arrival."""
        return (self.rank, self.due_s, self.sequence)


class PlacementQueue:
    """All requests of this process that wait for placement."""

    def __init__(self) -> None:
        self._waiting: list[PendingPlacement] = []
        self._sequence = itertools.count()

    def __len__(self) -> int:
        return len(self._waiting)

    def push(self, waiting: PendingPlacement) -> None:
        """Add a request to the queue."""
        waiting.sequence = next(self._sequence)
        bisect.insort(self._waiting, waiting, key=lambda item: item.order)

    def remove(self, waiting: PendingPlacement) -> None:
        """Remove a request if it is queued, whether or not it was placed."""
        if waiting in self._waiting:
            self._waiting.remove(waiting)

    def would_overtake(self, waiting: PendingPlacement) -> bool:
        """Return whether a queued request of the same lane goes no later."""
        return any(
            other.lane == waiting.lane
            and (other.rank, other.due_s) <= (waiting.rank, waiting.due_s)
            for other in self._waiting
        )

    def rank_again(self, rank: Callable[[PendingPlacement], tuple]) -> None:
        """Set the rank of all requests, as shares and load have changed."""
        for waiting in self._waiting:
            waiting.rank = rank(waiting)
        self._waiting.sort(key=lambda item: item.order)

    def place_pending(
        self, place: Callable[[PendingPlacement, bool], Any], now_s: float
    ) -> list[tuple[PendingPlacement, Any]]:
        """Try to place all requests in order and dequeue those that leave the queue.

        Parameters
        ----------
        place : callable
            Takes a request and whether it may miss its objective.
        now_s : float

        Returns
        -------
        list of tuple
            Those requests and their results; `Busy` for one that found no
            capacity at its last attempt.
        """
        decided: list[tuple[PendingPlacement, Any]] = []
        blocked: set[Hashable] = set()
        for waiting in list(self._waiting):
            is_last_try = waiting.give_up_s <= now_s
            if waiting.lane in blocked and not is_last_try:
                continue
            placement = place(waiting, now_s >= waiting.late_from_s)
            if isinstance(placement, Busy):
                blocked.add(waiting.lane)
                if not is_last_try:
                    continue
            self._waiting.remove(waiting)
            decided.append((waiting, placement))
        return decided
