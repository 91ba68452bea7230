"""Engines without streams that long prompts can count on, by recent demand.

The load pattern switches between many long prompts and many short ones. Without a
share, the short prompts of one phase have spread over all engines when the next begins,
and long prefills find only engines where they may place small parts.
"""

import math

import attrs

HALF_LIFE_S = 2.0
"""Half-life of the demand: a fifth of a phase of the load."""

UNUSED_RETURN_S = 1.0
"""Time without a long prompt after which all engines are given back."""

MAX_SHARE = 0.75
"""Largest share of the engines for long prompts."""


@attrs.define
class _DecayingDemand:
    """Prefill time offered per second, as a decaying average."""

    total_ms: float = 0.0
    updated_s: float = 0.0

    def add(self, read_ms: float, now_s: float) -> None:
        self.total_ms = self._at(now_s) + read_ms
        self.updated_s = now_s

    def _at(self, now_s: float) -> float:
        return self.total_ms * 0.5 ** ((now_s - self.updated_s) / HALF_LIFE_S)

    def per_s(self, now_s: float) -> float:
        return self._at(now_s) * math.log(2) / HALF_LIFE_S


@attrs.define
class PhaseShare:
    """Share of the engines that short prompts leave to long ones while they can.

    Short prompts use the other engines first. They still get any engine if no other has
    room, so that none idles while a request waits that could use it.

    Examples
    --------
    >>> share = PhaseShare()
    >>> for tenth in range(30):
    ...     share.offered(is_long=True, read_ms=2000.0, now_s=tenth / 10)
    >>> share.reserved_engines(60, now_s=3.0)
    12
    >>> share.reserved_engines(60, now_s=4.0)
    0
    """

    _long: _DecayingDemand = attrs.field(factory=_DecayingDemand)
    _short: _DecayingDemand = attrs.field(factory=_DecayingDemand)
    _long_s: float = float("-inf")

    def offered(self, is_long: bool, read_ms: float, now_s: float) -> None:
        """Record a prompt that arrived here or was reported."""
        (self._long if is_long else self._short).add(read_ms, now_s)
        if is_long:
            self._long_s = now_s

    def reserved_engines(self, engines: int, now_s: float) -> int:
        """Return the number of engines that short prompts use last.

        It is what the recent long prompts need, and no more than their part of the
        whole demand if that exceeds the engines.
        """
        unused_s = now_s - self._long_s
        if unused_s >= UNUSED_RETURN_S:
            return 0
        long_ms, short_ms = self._long.per_s(now_s), self._short.per_s(now_s)
        wanted = long_ms / 1000
        if long_ms + short_ms > engines * 1000:
            wanted = engines * long_ms / (long_ms + short_ms)
        returned = 1 - unused_s / UNUSED_RETURN_S
        return min(math.ceil(wanted * returned), int(engines * MAX_SHARE))
