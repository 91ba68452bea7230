"""Measured pauses of streams, and the prefills that were placed beside them.

The load pattern is streams on an endpoint that prefills prompts of several gateways: a
pass of the engine, and so the pause between two events, is longer by each prefill that
falls into it.
"""

from collections.abc import Iterable

import attrs

from ..routes import EngineCosts
from .load_tracker import EndpointUse
from .pauses import decode_pass_ms, max_pass_prefill_ms
from .prefill_history import PlacedPrefill

MS_PER_S = 1000


@attrs.define(kw_only=True)
class StreamPauses:
    """Measures the pauses of one stream.

    Parameters
    ----------
    target_s : float
        Target of its route.

    Examples
    --------
    >>> pauses = StreamPauses(target_s=0.25)
    >>> pauses.relayed(1, now_s=1.0), pauses.relayed(1, now_s=1.25)
    (None, 0.25)
    >>> pauses.is_over_target(0.25), pauses.is_over_target(0.3)
    (False, True)
    """

    target_s: float
    events: int = 0
    last_event_s: float | None = None

    def relayed(self, events: int, now_s: float) -> float | None:
        """Record events that arrived together; return the pause before them, in s."""
        pause_s = None if self.last_event_s is None else now_s - self.last_event_s
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
