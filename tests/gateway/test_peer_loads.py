"""Loads as the datagrams between gateways carry them."""

import asyncio

import pytest

from sorrelhoist.decisions.placement.load_tracker import LoadTracker, RequestUse
from sorrelhoist.gateway.peer_exchange import _from_wire, _to_wire
from sorrelhoist.messages.frames import Message, encode
from sorrelhoist.messages.gen import ttypes
from tests.gateway.virtual_fleet import virtual_fleet
from tests.virtual_loop import run_virtual


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


@pytest.mark.parametrize("gateways, expected_ms", [(5, 300), (30, 700)])
def test_the_sum_of_prefill_counts_where_reports_are_slow(gateways, expected_ms):
    # With reports each 25 ms the sum made placement on small fleets differ from before.
    async def main():
        loop = asyncio.get_running_loop()
        with virtual_fleet(gateways, [None]) as fleet:
            receiver = fleet.gateways[0]
            sender = LoadTracker()
            for sequence, read_ms in enumerate([500.0, 400.0], 1):
                use = RequestUse(address="e", read_ms=read_ms)
                sender.place(str(sequence), (use,), loop.time())
                loads = [_to_wire(use, loop.time()) for use in sender.own_uses()]
                report = ttypes.LoadReport("peer", 1, sequence, loads)
                receiver.received(encode(Message(0, report)), ("peer", 9))
                receiver.state.loads.totals(loop.time())
                await asyncio.sleep(0.1)
            use = receiver.state.loads.endpoint_use("e", loop.time())
            return use.backlog_ms(loop.time())

    assert run_virtual(main()) == pytest.approx(expected_ms, abs=2)
