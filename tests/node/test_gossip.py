"""Gossip over real UDP on the loopback interface, and invalid datagrams."""

import asyncio
import random

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from sorrelhoist.decisions.membership import MembershipTable
from sorrelhoist.decisions.membership_options import MemberDown, MembershipOptions
from sorrelhoist.decisions.membership_records import Address, Member
from sorrelhoist.messages import frames
from sorrelhoist.messages.gen import ttypes
from sorrelhoist.node.gossip import Gossip, GossipHooks, running_gossip

HOST = "127.0.0.1"


def free_port():
    import socket

    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


@attrs.define
class InProcessPeers:
    """Replaces the TCP calls between the members by direct function calls."""

    gossips: dict = attrs.field(factory=dict)

    async def call(self, address, port, body, timeout_s):
        return self.gossips[Address(address, port)].handle_sync(body)


async def next_matching(queue, condition):
    while True:
        item = await queue.get()
        if condition(item):
            return item


def test_members_join_exchange_digests_and_suspicions_and_leave():
    asyncio.run(_join_and_leave())


async def _join_and_leave():
    peers = InProcessPeers()
    events, digests, suspicions = asyncio.Queue(), asyncio.Queue(), asyncio.Queue()
    joined = asyncio.Queue()
    first = Member("a", "1", address=HOST, peer_port=free_port())
    second = Member("b", "1", address=HOST, peer_port=free_port())
    hooks = GossipHooks(
        on_event=events.put_nowait,
        on_digest=lambda digest, member: digests.put_nowait((digest, member)),
        on_suspicions=suspicions.put_nowait,
    )
    second_hooks = GossipHooks(
        on_event=joined.put_nowait,
        digest=lambda: ttypes.Digest(7, "d" * 64),
        suspicions=lambda: [ttypes.Suspicion(fingerprint=9)],
    )
    options = MembershipOptions(probe_interval_s=0.2, ack_timeout_s=0.1)
    seeds = [first.peer_address]
    async with running_gossip(first, peers.call, hooks=hooks, options=options) as one:
        peers.gossips[first.peer_address] = one
        async with running_gossip(
            second, peers.call, seeds=seeds, hooks=second_hooks, options=options
        ) as two:
            peers.gossips[second.peer_address] = two
            await joined.get()
            digest, member = await digests.get()
            assert digest.configuration_offset == 7
            assert member.node_id == "b"
            assert (await suspicions.get())[0].fingerprint == 9
            assert one.counters.received_bytes > 0
        down = await next_matching(events, lambda event: isinstance(event, MemberDown))
        assert down.member.state.value == "left"


def gossip_without_transport():
    member = Member("a", "1", address=HOST, peer_port=7000)
    table = MembershipTable(member, MembershipOptions(), random.Random(1))
    return Gossip(table, InProcessPeers().call, clock=lambda: 5.0)


@given(st.binary(max_size=300))
def test_fuzz_datagram_with_any_content_is_counted_and_does_not_raise(data):
    gossip = gossip_without_transport()
    gossip.datagram_received(data, (HOST, 7001))
    assert gossip.counters.received_datagrams == 1


@given(st.lists(st.tuples(st.integers(0, 400), st.integers(0, 255)), max_size=6))
def test_fuzz_valid_ping_is_accepted_after_a_corrupted_one(corruptions):
    gossip = gossip_without_transport()
    update = ttypes.Member(
        node_id="b", boot_id="1", incarnation=3, state="alive", address=HOST,
        peer_port=7001, models=["m"],
    )  # fmt: skip
    ping = ttypes.Ping("b", 3, [update], ttypes.Digest(1, "x"), [], "a")
    data = bytearray(frames.encode(frames.Message(0, ping)))
    for position, value in corruptions:
        data[position % len(data)] = value
    gossip.datagram_received(bytes(data), (HOST, 7001))
    failures = gossip.counters.refused_datagrams
    gossip.datagram_received(frames.encode(frames.Message(0, ping)), (HOST, 7001))
    assert gossip.counters.refused_datagrams == failures
    assert gossip.table.get("b") is not None


@pytest.mark.parametrize("count", [1, 8])
def test_datagram_does_not_exceed_the_size_limit(count):
    gossip = gossip_without_transport()
    many = [ttypes.Suspicion(i, 1, 1, 1, False) for i in range(count * 50)]
    gossip._hooks = GossipHooks(suspicions=lambda: many)
    updates = [ttypes.Member(node_id="x" * 200) for _ in range(count)]
    body = ttypes.Ping("a", 1, updates, None, [], "b")
    assert len(gossip._encode(body)) <= frames.MAX_DATAGRAM_BYTES
