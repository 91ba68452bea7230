"""Append-only logs and rate limits of the stand-in platform."""

from collections import deque
from itertools import islice

import attrs

FIRST_OFFSET = 1


@attrs.frozen
class Record:
    """One record of a log."""

    offset: int
    appended_at_s: float
    value: str


@attrs.define
class Log:
    """One topic: offsets without gaps, the oldest records dropped by age."""

    records: "deque[Record]" = attrs.field(factory=deque)
    next_offset: int = FIRST_OFFSET

    @property
    def first_offset(self) -> int:
        """The oldest that is kept, or `next_offset` when there is none."""
        return self.records[0].offset if self.records else self.next_offset

    def append(self, values: list[str], now_s: float) -> int:
        """Append records and return the first one's offset."""
        first_offset = self.next_offset
        for value in values:
            self.records.append(Record(self.next_offset, now_s, value))
            self.next_offset += 1
        return first_offset

    def expire(self, oldest_s: float) -> None:
        """Drop the records that were appended before a time."""
        while self.records and self.records[0].appended_at_s < oldest_s:
            self.records.popleft()

    def read(self, from_offset: int, limit: int) -> list[Record]:
        """Return records from an offset on; the offset must be kept."""
        skip = max(from_offset - self.first_offset, 0)
        return list(islice(self.records, skip, skip + limit))


@attrs.define
class RateLimit:
    """A token bucket.

    Parameters
    ----------
    per_s : float
        How fast it refills; 0 for no limit.
    burst : float
        What it holds at most.
    """

    per_s: float
    burst: float
    _level: float = attrs.field(init=False)
    _filled_at_s: float = 0.0

    def __attrs_post_init__(self) -> None:
        self._level = self.burst

    def take(self, now_s: float) -> float:
        """Take one, or return how long to wait for it, in seconds."""
        if not self.per_s:
            return 0.0
        elapsed_s = now_s - self._filled_at_s
        self._level = min(self.burst, self._level + elapsed_s * self.per_s)
        self._filled_at_s = now_s
        if self._level < 1.0:
            return (1.0 - self._level) / self.per_s
        self._level -= 1.0
        return 0.0


@attrs.frozen
class Host:
    """One host of the platform's list; `state` is ``live`` or ``leaving``."""

    host: str
    address: str
    peer_port: int
    failure_domain: str
    role: str
    state: str


@attrs.frozen
class _Change:
    time_s: float
    host: str
    entry: Host | None


@attrs.define
class LaggingHosts:
    """The list of hosts, as it was some time ago."""

    _changes: "deque[_Change]" = attrs.field(factory=deque)
    _seen: dict[str, Host] = attrs.field(factory=dict)

    def change(self, host: str, entry: Host | None, now_s: float) -> None:
        """Set a host's entry, or remove it with None."""
        self._changes.append(_Change(now_s, host, entry))

    def listed(self, until_s: float) -> list[Host]:
        """Return the list with the changes made up to a time."""
        while self._changes and self._changes[0].time_s <= until_s:
            change = self._changes.popleft()
            self._seen.pop(change.host, None)
            if change.entry is not None:
                self._seen[change.host] = change.entry
        return list(self._seen.values())
