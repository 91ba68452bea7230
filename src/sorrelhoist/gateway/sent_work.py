"""What was expected of a request when it was sent to an endpoint, for the log."""

import attrs

from ..decisions.placement.demand import Assignment
from ..decisions.placement.load_tracker import EndpointUse, LoadTracker
from ..decisions.placement.pause_monitor import StreamPauses
from ..decisions.work import SizedWork, Work


@attrs.frozen(kw_only=True)
class SentWork:
    """A request at an endpoint, and what was expected of it when it was sent.

    Parameters
    ----------
    sent_s : float
    assignment : Assignment
    use : EndpointUse
        Load of the endpoint, with that of the request.
    work : Work or SizedWork
    likely_s, longest_s : float
        Times of the work as in `WorkTimes`.
    placed_ms : float
        Prefill time that all gateways had placed on the endpoint.
    """

    sent_s: float
    assignment: Assignment
    use: EndpointUse
    work: Work | SizedWork
    likely_s: float
    longest_s: float
    placed_ms: float

    def log_fields(
        self, pauses: StreamPauses | None, now_s: float
    ) -> dict[str, object]:
        """Return what was expected, and what its endpoint has sent since.

        Parameters
        ----------
        pauses : StreamPauses or None
            Events of its stream at the endpoint.
        now_s : float
        """
        fields: dict[str, object] = {
            "endpoint": self.assignment.first.endpoint_id,
            "helpers": len(self.assignment.helpers),
            "sent_ms": _ms(now_s - self.sent_s),
            "expected_ms": round(self.assignment.first_event_ms),
            "likely_ms": _ms(self.likely_s),
            "longest_ms": _ms(self.longest_s),
            "running": self.use.streams,
            "kv_tokens": self.use.kv_tokens,
        }
        if pauses is None or pauses.first_event_s is None:
            return fields
        assert pauses.last_event_s is not None
        return fields | {
            "first_event_ms": _ms(pauses.first_event_s - self.sent_s),
            "events": pauses.events,
            "stream_ms": _ms(pauses.stream_s),
            "longest_pause_ms": _ms(pauses.longest_s),
            "last_event_ms": _ms(now_s - pauses.last_event_s),
        }

    def load_fields(self, loads: LoadTracker, now_s: float) -> dict[str, object]:
        """Return what else its endpoint has now, and what was placed there since.

        Parameters
        ----------
        loads : LoadTracker
            It doesn't count the request any more.
        now_s : float
        """
        address = self.assignment.first.address
        use = loads.endpoint_use(address, now_s)
        return {
            "others_now": use.streams,
            "others_kv_tokens_now": use.kv_tokens,
            "placed_since_ms": round(loads.placed_ms(address) - self.placed_ms),
        }


def _ms(time_s: float) -> int:
    return round(time_s * 1000)
