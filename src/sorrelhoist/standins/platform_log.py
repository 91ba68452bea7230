"""Append-only logs, rate limits and host list of the stand-in platform."""

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
    """Log of one topic: gapless offsets, with the oldest records expired by age."""

    records: "deque[Record]" = attrs.field(factory=deque)
    next_offset: int = FIRST_OFFSET

    @property
    def first_offset(self) -> int:
        """Offset of the oldest record, or `next_offset` when the log is empty."""
        return self.records[0].offset if self.records else self.next_offset

    def append(self, values: list[str], now_s: float) -> int:
        """Append records and return the offset of the first."""
        first_offset = self.next_offset
        for value in values:
            self.records.append(Record(self.next_offset, now_s, value))
            self.next_offset += 1
        return first_offset

    def expire(self, oldest_s: float) -> None:
        """Drop the records that were appended before `oldest_s`."""
        while self.records and self.records[0].appended_at_s < oldest_s:
            self.records.popleft()

    def read(self, from_offset: int, limit: int) -> list[Record]:
        """Return up to `limit` records from an offset that has not expired."""
        skip = max(from_offset - self.first_offset, 0)
        return list(islice(self.records, skip, skip + limit))


@attrs.define
class TokenBucket:
    """Token bucket that limits a rate.

    Parameters
    ----------
    per_s : float
        Refill rate; 0 for no limit.
    burst : float
        Capacity of the bucket.
    """

    per_s: float
    burst: float
    _level: float = attrs.field(init=False)
    _filled_at_s: float = 0.0

    def __attrs_post_init__(self) -> None:
        self._level = self.burst

    def take(self, now_s: float) -> float:
        """Take a token and return 0, or return the seconds until one is available."""
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
    """One host of the host list; `state` is ``live`` or ``leaving``."""

    host: str
    address: str
    peer_port: int
    failure_domain: str
    role: str
    state: str


@attrs.frozen
class _HostChange:
    time_s: float
    host: str
    entry: Host | None


@attrs.define
class LaggingHosts:
    """Host list that shows each change only after a lag."""

    _changes: "deque[_HostChange]" = attrs.field(factory=deque)
    _visible: dict[str, Host] = attrs.field(factory=dict)

    def change(self, host: str, entry: Host | None, now_s: float) -> None:
        """Record a host's new entry, or its removal if `entry` is None."""
        self._changes.append(_HostChange(now_s, host, entry))

    def hosts_at(self, until_s: float) -> list[Host]:
        """Return the hosts with the changes up to `until_s` applied."""
        while self._changes and self._changes[0].time_s <= until_s:
            change = self._changes.popleft()
            self._visible.pop(change.host, None)
            if change.entry is not None:
                self._visible[change.host] = change.entry
        return list(self._visible.values())
