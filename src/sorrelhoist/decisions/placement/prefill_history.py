"""Prefills recently placed on each endpoint, to explain a late event afterwards."""

from collections import deque
from collections.abc import Iterable

import attrs

MAX_PREFILLS = 32
"""Prefills kept for each endpoint: more than fall into the longest pause in which a
stream is not yet abandoned."""

MAX_ENDPOINTS = 4096
"""Endpoints of which prefills are kept; beyond it the one known longest is dropped."""


@attrs.frozen
class PlacedPrefill:
    """A prefill that this gateway placed, or that a report of a peer contains.

    Parameters
    ----------
    placed_s : float
        Time of the placement, or of the receipt of the report.
    read_ms : float
    is_own : bool
    """

    placed_s: float
    read_ms: float
    is_own: bool


class PrefillHistory:
    """The last prefills by endpoint address.

    Examples
    --------
    >>> history = PrefillHistory()
    >>> history.record("a", 40.0, is_own=True, now_s=1.0)
    >>> [one.read_ms for one in history.placed("a")], list(history.placed("b"))
    ([40.0], [])
    """

    def __init__(self) -> None:
        self._placed: dict[str, deque[PlacedPrefill]] = {}

    def record(
        self, address: str, read_ms: float, *, is_own: bool, now_s: float
    ) -> None:
        """Record a prefill."""
        if not read_ms:
            return
        placed = self._placed.get(address)
        if placed is None:
            if len(self._placed) >= MAX_ENDPOINTS:
                self._placed.pop(next(iter(self._placed)))
            placed = self._placed[address] = deque(maxlen=MAX_PREFILLS)
        placed.append(PlacedPrefill(now_s, read_ms, is_own))

    def placed(self, address: str) -> Iterable[PlacedPrefill]:
        """Return the prefills placed on an endpoint, oldest first."""
        return self._placed.get(address, ())
