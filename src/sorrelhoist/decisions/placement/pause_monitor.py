"""Measured pauses of streams, and the prefills that were placed beside them.

The load pattern is streams on an endpoint that prefills prompts of several gateways: a
pass of the engine, and so the pause between two events, is longer by each prefill that
falls into it.
"""

import math
from collections.abc import Iterable

import attrs

from ..routes import EngineCosts
from .load_tracker import EndpointUse
from .pauses import decode_pass_ms, max_pass_prefill_ms
from .prefill_history import PlacedPrefill

MS_PER_S = 1000

MIN_EVENTS = 8
"""Events of a stream from which its shortest pause is taken for a pass without
prefill."""

MIN_SLOWNESS, MAX_SLOWNESS = 1.25, 4.0
"""Factors below the first are within the error of the cost model; the second bounds
what an error of measurement can do."""

OBSERVATION_WEIGHT = 0.3
"""Weight of one stream in the factor of an endpoint: several must agree."""

DECAY_S = 10.0
"""Time in which a factor without observations falls to a third of its excess over 1, so
that an endpoint that has recovered is used again."""

MAX_LOGGED_PER_S = 20.0
"""Log lines about pauses that one process writes: each takes a sum of all loads, and a
slow endpoint makes every event of all its streams late."""


@attrs.define(eq=False, repr=False)
class PauseLogRate:
    """Limits the log lines about pauses over their target.

    Parameters
    ----------
    skipped : int
        Pauses without a line since the last line.

    Examples
    --------
    >>> rate = PauseLogRate()
    >>> sum(rate.try_log(now_s=0.0) for _ in range(100)), rate.skipped
    (20, 80)
    >>> rate.take_skipped(), rate.skipped, rate.try_log(now_s=1.0)
    (80, 0, True)
    """

    skipped: int = 0
    _lines: float = MAX_LOGGED_PER_S
    _updated_s: float = 0.0

    def try_log(self, now_s: float) -> bool:
        """Return whether a line may be written now, and count it."""
        refilled = (now_s - self._updated_s) * MAX_LOGGED_PER_S
        self._lines = min(MAX_LOGGED_PER_S, self._lines + refilled)
        self._updated_s = now_s
        if self._lines < 1.0:
            self.skipped += 1
            return False
        self._lines -= 1.0
        return True

    def take_skipped(self) -> int:
        """Return the number of skipped pauses, and start a new count."""
        skipped, self.skipped = self.skipped, 0
        return skipped


@attrs.define(eq=False, repr=False, kw_only=True)
class StreamPauses:
    """Measures the pauses of one stream.

    Parameters
    ----------
    target_s : float
        Target of its route.
    events : int
    first_event_s, last_event_s : float or None
    shortest_s, longest_s : float
        Shortest and longest pause so far.

    Examples
    --------
    >>> pauses = StreamPauses(target_s=0.25)
    >>> pauses.relayed(1, now_s=1.0), pauses.relayed(1, now_s=1.25)
    (None, 0.25)
    >>> pauses.stream_s
    0.25
    >>> pauses.is_over_target(0.25), pauses.is_over_target(0.3)
    (False, True)
    """

    target_s: float
    events: int = 0
    first_event_s: float | None = None
    last_event_s: float | None = None
    shortest_s: float = math.inf
    longest_s: float = 0.0

    @property
    def stream_s(self) -> float:
        """Time from the first event to the last."""
        if self.first_event_s is None or self.last_event_s is None:
            return 0.0
        return self.last_event_s - self.first_event_s

    def relayed(self, events: int, now_s: float) -> float | None:
        """Record events that arrived together; return the pause before them, in s."""
        pause_s = None if self.last_event_s is None else now_s - self.last_event_s
        if pause_s is not None:
            self.shortest_s = min(self.shortest_s, pause_s)
            self.longest_s = max(self.longest_s, pause_s)
        if self.first_event_s is None:
            self.first_event_s = now_s
        self.events += events
        self.last_event_s = now_s
        return pause_s

    def is_over_target(self, pause_s: float) -> bool:
        """Return whether a pause makes the stream late."""
        return pause_s > self.target_s


@attrs.frozen(kw_only=True)
class PassEstimate:
    """What is known about the pass of an engine that ended with a late event.

    Parameters
    ----------
    expected_ms : float
        Pass time by the cost model, with the prefills below.
    backlog_ms : float
        Prefill that was queued when the pass began.
    own_ms, peer_ms : float
        Prefill that this gateway and the others placed since then.
    """

    expected_ms: float
    backlog_ms: float
    own_ms: float
    peer_ms: float

    def log_fields(self) -> dict[str, int]:
        """Return the fields of the log line."""
        return {
            "expected_ms": round(self.expected_ms),
            "backlog_ms": round(self.backlog_ms),
            "own_placed_ms": round(self.own_ms),
            "peer_placed_ms": round(self.peer_ms),
        }


def estimate_pass(
    placed: Iterable[PlacedPrefill],
    use: EndpointUse,
    costs: EngineCosts,
    began_s: float,
) -> PassEstimate:
    """Estimate the pass of an engine that began with the last event of a stream.

    Parameters
    ----------
    placed : iterable of PlacedPrefill
        Prefills placed on the endpoint, oldest first.
    use : EndpointUse
        Load of the endpoint.
    costs : EngineCosts
    began_s : float
    """
    own_ms = peer_ms = backlog_ms = 0.0
    updated_s = float("-inf")
    for one in placed:
        if one.placed_s >= began_s:
            own_ms += one.read_ms if one.is_own else 0.0
            peer_ms += 0.0 if one.is_own else one.read_ms
            continue
        elapsed_ms = (one.placed_s - updated_s) * MS_PER_S
        backlog_ms = max(0.0, backlog_ms - elapsed_ms) + one.read_ms
        updated_s = one.placed_s
    backlog_ms = max(0.0, backlog_ms - (began_s - updated_s) * MS_PER_S)
    prefill_ms = min(backlog_ms + own_ms + peer_ms, max_pass_prefill_ms(costs))
    return PassEstimate(
        expected_ms=decode_pass_ms(use.streams, use.kv_tokens, costs) + prefill_ms,
        backlog_ms=backlog_ms,
        own_ms=own_ms,
        peer_ms=peer_ms,
    )


@attrs.define(eq=False, repr=False)
class _Slowness:
    excess: float
    updated_s: float

    def at(self, now_s: float) -> float:
        return self.excess * math.exp(-(now_s - self.updated_s) / DECAY_S)


class PassCorrections:
    """Factors by which the passes of endpoints take longer than by the cost model.

    The shortest pause of a stream is taken for a pass without prefill, so that prefills
    which this gateway doesn't know of aren't taken for a slow engine.

    Examples
    --------
    >>> corrections = PassCorrections()
    >>> for _ in range(10):
    ...     corrections.observe("i-1", measured_ms=100.0, expected_ms=50.0, now_s=1.0)
    >>> round(corrections.slowness("i-1", now_s=1.0), 2)
    1.97
    >>> corrections.slowness("i-1", now_s=60.0), corrections.slowness("i-2", now_s=1.0)
    (1.0, 1.0)
    """

    def __init__(self) -> None:
        self._by_endpoint: dict[str, _Slowness] = {}

    def stream_ended(
        self,
        endpoint_id: str,
        pauses: StreamPauses,
        use: EndpointUse,
        costs: EngineCosts,
        now_s: float,
    ) -> None:
        """Record the shortest pass that a stream saw, if it saw enough of them."""
        if pauses.events < MIN_EVENTS or math.isinf(pauses.shortest_s):
            return
        expected_ms = decode_pass_ms(max(1, use.streams), use.kv_tokens, costs)
        self.observe(endpoint_id, pauses.shortest_s * MS_PER_S, expected_ms, now_s)

    def observe(
        self, endpoint_id: str, measured_ms: float, expected_ms: float, now_s: float
    ) -> None:
        """Record a measured pass time."""
        ratio = min(MAX_SLOWNESS, max(1.0, measured_ms / expected_ms))
        known = self._by_endpoint.get(endpoint_id)
        if known is None:
            if ratio < MIN_SLOWNESS:
                return
            known = self._by_endpoint[endpoint_id] = _Slowness(0.0, now_s)
        excess = known.at(now_s)
        known.excess = excess + (ratio - 1.0 - excess) * OBSERVATION_WEIGHT
        known.updated_s = now_s

    def slowness(self, endpoint_id: str, now_s: float) -> float:
        """Return the factor of an endpoint: 1 unless it is slow."""
        known = self._by_endpoint.get(endpoint_id)
        if known is None:
            return 1.0
        factor = 1.0 + known.at(now_s)
        return factor if factor >= MIN_SLOWNESS else 1.0

    def slow(self, now_s: float) -> dict[str, float]:
        """Return the factors of all slow endpoints, and forget the others."""
        factors = {key: self.slowness(key, now_s) for key in self._by_endpoint}
        for endpoint_id, known in list(self._by_endpoint.items()):
            if known.at(now_s) < (MIN_SLOWNESS - 1.0) * OBSERVATION_WEIGHT:
                del self._by_endpoint[endpoint_id]
        return {key: factor for key, factor in factors.items() if factor > 1.0}
