"""Loads as the datagrams between gateways carry them."""

from sorrelhoist.decisions.placement.load_tracker import LoadTracker, RequestUse
from sorrelhoist.gateway.peer_exchange import _from_wire, _to_wire


def test_prefill_that_a_peer_adds_to_a_busy_endpoint_counts_in_the_backlog():
    # The cumulative prefill time was lost on the way: a second prefill on the same
    # endpoint seemed to be nearly complete as soon as the first one was.
    sender, receiver = LoadTracker(), LoadTracker()
    for sequence, (placed_s, read_ms) in enumerate([(0.0, 500.0), (0.4, 800.0)], 1):
        use = RequestUse(address="a", read_ms=read_ms)
        sender.place(str(sequence), (use,), placed_s)
        loads = [_to_wire(use, placed_s) for use in sender.own_uses()]
        received = [_from_wire(load, placed_s) for load in loads]
        receiver.peer_reported("peer", 1, sequence, received, placed_s)
        receiver.totals(placed_s)
    assert round(receiver.endpoint_use("a", 0.5).backlog_ms(0.5)) == 800
