"""Load of endpoints in the messages between gateways."""

from sorrelhoist.decisions.placement.load_tracker import EndpointUse, LoadTracker
from sorrelhoist.gateway.peer_exchange import _from_wire, _to_wire

NOW_S = 100.0


def test_a_second_prefill_of_a_peer_is_counted_after_the_first():
    # The cumulative prefill time was dropped on receipt, so that only the first prefill
    # that a peer placed on an endpoint counted: the backlog of a busy endpoint shrank
    # by the time since then, whatever was placed later.
    tracker = LoadTracker()
    for sequence, total_ms in enumerate((500.0, 900.0), start=1):
        sent = EndpointUse(
            address="a", read_ms=total_ms, reading_s=NOW_S, placed_ms=total_ms
        )
        received = _from_wire(_to_wire(sent, NOW_S), NOW_S)
        tracker.peer_reported("peer", 1, sequence, [received], NOW_S + sequence / 10)
    later_s = NOW_S + 0.2
    assert round(tracker.endpoint_use("a", later_s).backlog_ms(later_s)) == 800


def test_the_shortest_pause_target_reaches_peers():
    sent = EndpointUse(address="a", streams=2, tight_streams=1, pause_ms=200.0)
    assert _from_wire(_to_wire(sent, NOW_S), NOW_S).shortest_pause_ms == 200.0
    former = _to_wire(sent, NOW_S)
    former.pause_ms = None
    assert _from_wire(former, NOW_S).shortest_pause_ms == 250.0
