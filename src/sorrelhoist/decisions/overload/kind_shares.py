"""Minimum shares of the kinds of requests and of the large ones of each kind.

The load pattern is an overload of prompts of all sizes: the small ones fill each gap
that is made, and the largest, which are worth most, are never placed.
"""

import bisect
import enum
from collections import deque

import attrs

HALF_LIFE_S = 5.0
"""Half-life of what was placed and refused: about half a phase of the load."""

MIN_SHARE = 0.5
"""A class is starved if the fraction of its prefill that is placed is less than this
part of the fraction of all prefill."""

RECENT_SIZES = 100
LARGEST_FROM, LARGE_FROM = 0.9, 0.7
"""Quantiles from which a prompt is among the largest tenth of its kind, and among the
fifth below it."""


class SizeBand(enum.Enum):
    """Size of a prompt among the recent ones of its kind."""

    LARGEST = "largest tenth"
    LARGE = "fifth below"
    REST = "rest"


@attrs.define(eq=False, repr=False)
class _Decaying:
    """A sum whose terms lose half of their weight in `HALF_LIFE_S`."""

    total: float = 0.0
    updated_s: float = 0.0

    def at(self, now_s: float) -> float:
        return self.total * 0.5 ** ((now_s - self.updated_s) / HALF_LIFE_S)

    def add(self, amount: float, now_s: float) -> None:
        self.total = self.at(now_s) + amount
        self.updated_s = now_s


KindClass = tuple[str, SizeBand]


class KindShares:
    """Prefill placed and refused, by kind and size band.

    Examples
    --------
    >>> shares = KindShares()
    >>> small, large = shares.classify("short", 10.0), shares.classify("long", 900.0)
    >>> shares.record_outcome(small, 10.0, was_placed=True, now_s=1.0)
    >>> shares.is_starved(large, 1.0)
    False
    >>> shares.record_outcome(large, 900.0, was_placed=False, now_s=1.0)
    >>> shares.is_starved(large, 1.0), shares.is_starved(small, 1.0)
    (True, False)
    """

    def __init__(self) -> None:
        self._sizes: dict[str, deque[float]] = {}
        self._sorted: dict[str, list[float]] = {}
        self._offered: dict[KindClass, _Decaying] = {}
        self._placed: dict[KindClass, _Decaying] = {}

    def classify(self, kind: str, read_ms: float) -> KindClass:
        """Return the class of a request that arrives."""
        return (kind, self._band(kind, read_ms))

    def record_outcome(
        self, kind_class: KindClass, read_ms: float, was_placed: bool, now_s: float
    ) -> None:
        """Record that a request was placed or refused."""
        self._offered.setdefault(kind_class, _Decaying()).add(read_ms, now_s)
        if was_placed:
            self._placed.setdefault(kind_class, _Decaying()).add(read_ms, now_s)

    def is_starved(self, kind_class: KindClass, now_s: float) -> bool:
        """Return whether a class gets less than its minimum share."""
        offered_ms = sum(one.at(now_s) for one in self._offered.values())
        placed_ms = sum(one.at(now_s) for one in self._placed.values())
        own = self._offered.get(kind_class)
        if own is None or not offered_ms:
            return False
        got = self._placed.get(kind_class, _Decaying()).at(now_s)
        return got / own.at(now_s) < MIN_SHARE * placed_ms / offered_ms

    def _band(self, kind: str, read_ms: float) -> SizeBand:
        sizes = self._sizes.setdefault(kind, deque())
        ordered = self._sorted.setdefault(kind, [])
        sizes.append(read_ms)
        bisect.insort(ordered, read_ms)
        if len(sizes) > RECENT_SIZES:
            ordered.pop(bisect.bisect_left(ordered, sizes.popleft()))
        smaller = bisect.bisect_left(ordered, read_ms) / len(ordered)
        if smaller >= LARGEST_FROM:
            return SizeBand.LARGEST
        return SizeBand.LARGE if smaller >= LARGE_FROM else SizeBand.REST

    def dump(self, now_s: float) -> dict:
        """Return the fraction placed of each class as plain data."""
        return {
            f"{kind}, {band.value}": {
                "offered_ms": round(offered.at(now_s)),
                "placed_ms": round(
                    self._placed.get((kind, band), _Decaying()).at(now_s)
                ),
            }
            for (kind, band), offered in self._offered.items()
        }
