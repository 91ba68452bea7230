"""Holding of requests at a gateway that will most likely be able to serve them soon.

The load pattern is a power fault: all gateways start within a second and adopt their
configuration 0.1 to 0.2 s later. Requests that they refuse in between could have been
served sooner than their callers come back. The same holds for a gateway that was
suspended, and at the end of an outage of the store. While an outage lasts, nothing is
held.
"""

import itertools
import math

import attrs

from .peer_configurations import PeerContact
from .report_rate import report_interval_s

STARTUP_S = 2.0
"""Time after the start within which the first configuration is expected: a connection
to the store, its answer, and the answers of peers take 1.65 s at most."""

MAX_FAILED_READS = 1
"""Failed reads in a row up to which the store is expected to answer the next one."""

RENEWAL_S = 0.5
"""Time for which a renewal of the store contact is expected: a few round trips, and the
intervals at which confirmations are checked."""

MIN_HOLD_S = 0.5
OBJECTIVE_SHARE = 0.25
"""Fraction of its objective for which a request is held, or `MIN_HOLD_S` if longer."""

WAIT_SHARE = 1 / 3
"""Fraction of its remaining time for which a request is held at most: the rest is for
its answer, or for another gateway."""

MAX_HELD = 64
"""Number of held requests: with `RELEASE_COUNT` they are placed within 0.16 s."""

MAX_HELD_BYTES = 16 * 2**20
MEMORY_SHARE = 0.05
"""Fraction of the process's memory for the bodies of held requests, where it is known.
"""

RELEASE_INTERVAL_S = 0.01
RELEASE_COUNT = 4
"""Number of requests released per `RELEASE_INTERVAL_S`, so that the endpoints and the
other gateways' views of their load follow."""

SHORT_READ_MS = 120.0
"""Prefill time up to which a prompt is short, and placed without the peers' loads."""

MAX_LOADS_WAIT_S = 0.15
"""Longest wait for the peers' loads: two report intervals of 30 gateways."""


@attrs.frozen
class _Held:
    due_s: float
    until_s: float
    size_bytes: int


def hold_until_s(
    received_s: float, objective_s: float | None, wait_s: float | None, now_s: float
) -> float:
    """Return the time until which a request may be held.

    Parameters
    ----------
    received_s : float
    objective_s : float or None
        None while its route is unknown.
    wait_s : float or None
        Time from its receipt for which its caller waits, if known.
    now_s : float

    Examples
    --------
    >>> hold_until_s(1.0, 8.0, 15.0, now_s=1.0), hold_until_s(1.0, 0.3, 10.0, now_s=1.0)
    (3.0, 1.5)
    >>> hold_until_s(1.0, None, 0.6, now_s=1.0)
    1.2
    """
    hold_s = max(MIN_HOLD_S, OBJECTIVE_SHARE * (objective_s or 0.0))
    left_s = math.inf if wait_s is None else received_s + wait_s - now_s
    return min(received_s + hold_s, now_s + WAIT_SHARE * left_s)


@attrs.define(eq=False, repr=False)
class Startup:
    """Whether a gateway will be able to serve soon, and the requests held until then.

    Parameters
    ----------
    started_s : float
        Start of the process; minus infinity if it isn't starting.
    failed_reads : int
        Reads of the configuration that failed in a row.
    is_complete : bool
        Whether the gateway has once known all that it needs to serve: a later loss of
        contact is an outage.

    Examples
    --------
    >>> startup = Startup(started_s=1.0)
    >>> startup.is_ready_soon(PeerContact.UNKNOWN, now_s=1.5)
    True
    >>> startup.is_ready_soon(PeerContact.LOST, now_s=1.5)
    False
    >>> first = startup.hold(due_s=3.0, until_s=1.8, size_bytes=0, now_s=1.5)
    >>> second = startup.hold(due_s=2.0, until_s=1.9, size_bytes=0, now_s=1.5)
    >>> startup.release(False, PeerContact.UNKNOWN, now_s=1.6)
    []
    >>> startup.release(True, PeerContact.UNKNOWN, now_s=1.7) == [second, first]
    True
    """

    started_s: float = -math.inf
    failed_reads: int = 0
    is_complete: bool = False
    max_bytes: int = MAX_HELD_BYTES
    _expected_s: float = -math.inf
    _serving_s: float | None = None
    _held: dict[int, _Held] = attrs.field(factory=dict)
    _numbers: itertools.count = attrs.field(factory=itertools.count)

    def begin(self, now_s: float, memory_bytes: int | None = None) -> None:
        """Record the start of the process and its memory limit, if one is known."""
        self.started_s = now_s
        if memory_bytes is not None:
            self.max_bytes = min(MAX_HELD_BYTES, int(memory_bytes * MEMORY_SHARE))

    def renewal_expected(self, now_s: float) -> None:
        """Record that the store contact will most likely be renewed at once."""
        self._expected_s = now_s

    def is_starting(self, now_s: float) -> bool:
        """Return whether the process has started within `STARTUP_S`."""
        return now_s < self.started_s + STARTUP_S

    def is_ready_soon(self, others: PeerContact, now_s: float) -> bool:
        """Return whether a gateway that can't serve now will most likely do so soon.

        Parameters
        ----------
        others : PeerContact
            Whether other gateways are in contact with the store.
        now_s : float
        """
        if others is PeerContact.LOST:
            return False
        if now_s < self._expected_s + RENEWAL_S:
            return True
        if self.is_complete or not self.is_starting(now_s):
            return False
        return self.failed_reads <= MAX_FAILED_READS

    def hold(
        self, due_s: float, until_s: float, size_bytes: int, now_s: float
    ) -> int | None:
        """Hold a request; return its number, or None if it must be refused.

        Parameters
        ----------
        due_s : float
            Time after which its objective is missed.
        until_s : float
            Time until which it may be held.
        size_bytes : int
            Size of its body.
        now_s : float
        """
        held_bytes = sum(held.size_bytes for held in self._held.values())
        if (
            until_s <= now_s
            or len(self._held) >= MAX_HELD
            or held_bytes + size_bytes > self.max_bytes
        ):
            return None
        number = next(self._numbers)
        self._held[number] = _Held(due_s, until_s, size_bytes)
        return number

    def drop(self, number: int) -> None:
        """Forget a held request whose caller has gone."""
        self._held.pop(number, None)

    def release(self, is_ready: bool, others: PeerContact, now_s: float) -> list[int]:
        """Return the requests that are held no longer, earliest due time first.

        Parameters
        ----------
        is_ready : bool
            Whether the gateway can serve now: then a few leave at a time. Otherwise
            those whose time is over leave, or all if no renewal is expected any more.
        others : PeerContact
        now_s : float
        """
        ordered = sorted(self._held, key=lambda number: self._held[number].due_s)
        if is_ready:
            free = ordered[:RELEASE_COUNT]
        elif self.is_ready_soon(others, now_s):
            free = []
        else:
            free = ordered
        leaving = [
            number
            for number in ordered
            if number in free or self._held[number].until_s <= now_s
        ]
        for number in leaving:
            del self._held[number]
        return leaving

    def loads_wait_s(
        self, read_ms: float, others: PeerContact, gateways: int, now_s: float
    ) -> float:
        """Return how long a prompt waits for the loads of the peers before placement.

        A gateway that has just started would place it on engines that the others have
        filled.

        Parameters
        ----------
        read_ms : float
            Expected duration of its prefill.
        others : PeerContact
        gateways : int
            Number of live gateways, including this one.
        now_s : float

        Examples
        --------
        >>> startup = Startup(started_s=1.0)
        >>> startup.loads_wait_s(20.0, PeerContact.FRESH, 5, now_s=1.2)
        0.0
        >>> round(startup.loads_wait_s(900.0, PeerContact.FRESH, 5, now_s=1.2), 3)
        0.05
        """
        if read_ms <= SHORT_READ_MS or not self.is_starting(now_s):
            return 0.0
        if others is PeerContact.UNKNOWN:
            return 0.0
        if self._serving_s is None:
            self._serving_s = now_s
        wait_s = min(MAX_LOADS_WAIT_S, 2 * report_interval_s(gateways - 1))
        return max(0.0, self._serving_s + wait_s - now_s)

    @property
    def held_count(self) -> int:
        """Number of held requests."""
        return len(self._held)

    def dump(self, now_s: float) -> dict:
        """Return the state as plain data."""
        return {
            "is_complete": self.is_complete,
            "is_starting": self.is_starting(now_s),
            "failed_reads": self.failed_reads,
            "is_renewal_expected": now_s < self._expected_s + RENEWAL_S,
            "held": [
                attrs.asdict(held) | {"left_s": held.until_s - now_s}
                for held in self._held.values()
            ],
        }
