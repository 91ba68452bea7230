"""Requests that wait for room, in the order in which they get it.

Answers the pattern "a burst of all kinds": work that can still be in time goes
first, by the time that is left for it, so that no kind waits behind another for
longer than its own objective.
"""

import bisect
import itertools

import attrs


@attrs.define(order=False, eq=False)
class Waiting:
    """One request that waits.

    Parameters
    ----------
    request_id : str
    due_s : float
        When it should be placed at the latest to be in time.
    give_up_s : float
        When it is refused.
    """

    request_id: str
    due_s: float
    give_up_s: float
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

    def in_order(self) -> list[Waiting]:
        """Return all in the order in which they are to be placed."""
        return list(self._waiting)

    def expired(self, now_s: float) -> list[Waiting]:
        """Return those that have waited too long."""
        return [item for item in self._waiting if item.give_up_s <= now_s]
