"""A dictionary that expires entries by age, in a few generations.

One dictionary per time slice needs no time stamp per entry, and expiring a slice
needs no scan over its entries.
"""

from collections import deque
from typing import Generic, TypeVar

import attrs

GENERATION_COUNT = 12
Value = TypeVar("Value")


@attrs.define
class _Generation:
    started_s: float
    newest_s: float
    entries: dict = attrs.field(factory=dict)


@attrs.define
class ExpiringIndex(Generic[Value]):
    """Entries by key, each kept for at least `retention_s` after its time.

    Parameters
    ----------
    retention_s : float
        Entries older than this may be dropped.
    """

    retention_s: float
    _generations: deque[_Generation] = attrs.field(factory=deque)

    def get(self, key: bytes) -> Value | None:
        """Return the value of a key, or None."""
        for generation in reversed(self._generations):
            if key in generation.entries:
                return generation.entries[key]
        return None

    def add(self, key: bytes, value: Value, recorded_at_s: float) -> None:
        """Add the value of a key that is not in the index."""
        generation = self._current(recorded_at_s)
        generation.newest_s = max(generation.newest_s, recorded_at_s)
        generation.entries[key] = value

    def replace(self, key: bytes, value: Value) -> None:
        """Replace the value of a key without changing its age."""
        for generation in self._generations:
            if key in generation.entries:
                generation.entries[key] = value

    def remove(self, key: bytes) -> None:
        """Remove a key if it is in the index."""
        for generation in self._generations:
            generation.entries.pop(key, None)

    def expire(self, now_s: float) -> None:
        """Drop the generations whose newest entry is older than `retention_s`."""
        oldest_kept_s = now_s - self.retention_s
        while self._generations and self._generations[0].newest_s < oldest_kept_s:
            self._generations.popleft()

    def __len__(self) -> int:
        return sum(len(generation.entries) for generation in self._generations)

    def _current(self, recorded_at_s: float) -> _Generation:
        span_s = self.retention_s / GENERATION_COUNT
        if (
            not self._generations
            or recorded_at_s >= self._generations[-1].started_s + span_s
        ):
            self._generations.append(_Generation(recorded_at_s, recorded_at_s))
        return self._generations[-1]
