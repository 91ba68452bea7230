"""Datagrams of other programs and of faulty builds leave a gateway as it was."""

import asyncio
import math
import random

import pytest
from thrift.Thrift import TType

from sorrelhoist.decisions.store_contact import StoreContact
from sorrelhoist.gateway.peer_exchange import PeerExchange, running
from sorrelhoist.gateway.state import GatewayState
from sorrelhoist.messages.frames import Message, encode
from sorrelhoist.messages.gen import ttypes
from tests.virtual_loop import run_virtual

BODIES = [
    *(ttypes.LoadReport, ttypes.LoadUpdate, ttypes.PermitAsk, ttypes.PermitGrant),
    *(ttypes.MemoryAsk, ttypes.MemoryAnswer, ttypes.FreshnessAsk),
    *(ttypes.FreshnessAnswer, ttypes.DirectoryUpdate),
]
VALUES = {
    TType.BOOL: (False, True),
    TType.I32: (0, 1, -1, 2**31 - 1, -(2**31)),
    TType.I64: (0, 1, -1, 2**63 - 1, -(2**63)),
    TType.DOUBLE: (0.0, -1.0, 1e300, math.nan, math.inf, -math.inf),
    TType.STRING: ("", "a", "g-1", "x" * 300),
}
MISSING_SHARE = 0.25


def odd_value(rng, kind, detail):
    if rng.random() < MISSING_SHARE:
        return None
    if kind == TType.STRUCT:
        return odd_message(rng, detail[0])
    if kind == TType.LIST:
        items = (odd_value(rng, detail[0], detail[1]) for _ in range(2))
        return [item for item in items if item is not None]
    value = rng.choice(VALUES[kind])
    return value.encode() if kind == TType.STRING and detail == "BINARY" else value


def odd_message(rng, cls):
    fields = [field for field in cls.thrift_spec if field is not None]
    return cls(**{field[2]: odd_value(rng, field[1], field[3]) for field in fields})


@pytest.mark.parametrize("seed", range(5))
def test_fuzz_odd_datagrams_end_no_task_and_raise_nothing(seed):
    # A report without the id of its sender ended the exchange of permits.
    rng = random.Random(seed)

    async def main():
        loop = asyncio.get_running_loop()
        errors = []
        loop.set_exception_handler(lambda loop, context: errors.append(context))
        state = GatewayState(
            node_id="g-0", failure_domain="a", contact=StoreContact(5.0)
        )
        exchange = PeerExchange(state, boot_ms=1)
        with (
            running(exchange.run()) as reports,
            running(exchange.permits.run()) as permits,
            running(exchange.freshness.run()) as freshness,
        ):
            for number in range(300):
                body = odd_message(rng, rng.choice(BODIES))
                exchange.datagram_received(encode(Message(0, body)), ("10.0.0.9", 7))
                state.on_permit_wanted()
                if number % 10 == 0:
                    await asyncio.sleep(0.05)
            state.dump(loop.time())
            assert not [one for one in (reports, permits, freshness) if one.done()]
        assert errors == []
        assert {*exchange.peer_ids} <= {"a", "g-1"}

    run_virtual(main())


@pytest.mark.parametrize("data", [b"", b"\x1c" * 60_000, b"\xf9" + b"\x19" * 60_000])
def test_a_datagram_that_is_nested_too_deeply_is_ignored(data):
    state = GatewayState(node_id="g-0", failure_domain="a", contact=StoreContact(5.0))
    PeerExchange(state, boot_ms=1).datagram_received(data, ("10.0.0.9", 7))
