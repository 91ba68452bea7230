"""One gateway grants the memory of an engine."""

import attrs
from hypothesis import given
from hypothesis import strategies as st

from sorrelhoist.decisions.placement.memory_grants import (
    LEASE_S,
    MemoryAsk,
    MemoryLedger,
    granter,
)

LIMIT_TOKENS = 340_000
ASK = MemoryAsk(
    node_id="g", ask_id=1, address="a", tokens=200_000, limit_tokens=LIMIT_TOKENS
)


def test_a_grant_is_counted_until_reports_have_it():
    ledger = MemoryLedger()
    assert ledger.try_grant(ASK, held_tokens=0, now_s=0.0)
    second = attrs.evolve(ASK, node_id="h")
    assert not ledger.try_grant(second, held_tokens=0, now_s=LEASE_S - 0.1)
    # From then on the reports of its holder count.
    assert not ledger.try_grant(second, held_tokens=200_000, now_s=LEASE_S + 0.1)
    assert ledger.try_grant(second, held_tokens=0, now_s=LEASE_S + 0.2)


def test_a_repeated_ask_gets_the_same_answer_and_no_more_memory():
    ledger = MemoryLedger()
    assert ledger.try_grant(ASK, held_tokens=0, now_s=0.0)
    assert ledger.try_grant(ASK, held_tokens=LIMIT_TOKENS, now_s=0.1)
    ledger.release("g", 1, "a")
    assert ledger.try_grant(attrs.evolve(ASK, node_id="h"), 0, now_s=0.2)


def test_engines_are_granted_apart_and_by_one_gateway_each():
    ledger = MemoryLedger()
    assert ledger.try_grant(ASK, held_tokens=0, now_s=0.0)
    assert ledger.try_grant(attrs.evolve(ASK, address="b"), 0, now_s=0.0)
    nodes = [f"g-{number}" for number in range(23)]
    chosen = {granter(f"10.0.0.{number}:80", nodes) for number in range(54)}
    assert len(chosen) > 15
    assert granter("a", nodes) == granter("a", reversed(nodes))
    assert granter("a", []) is None


@given(
    st.lists(
        st.tuples(
            st.integers(1, 400_000),
            st.floats(0.0, 0.5),
            st.booleans(),
            st.integers(0, 3),
        )
    )
)
def test_no_more_than_the_limit_is_granted_within_a_lease(steps):
    ledger, now_s, granted = MemoryLedger(), 0.0, {}
    for ask_id, (tokens, pause_s, is_released, node) in enumerate(steps):
        now_s += pause_s
        ask = attrs.evolve(ASK, node_id=f"g-{node}", ask_id=ask_id, tokens=tokens)
        if ledger.try_grant(ask, held_tokens=0, now_s=now_s):
            granted[ask_id] = (tokens, now_s)
            if is_released:
                ledger.release(ask.node_id, ask_id, "a")
                del granted[ask_id]
        live = [size for size, at_s in granted.values() if now_s < at_s + LEASE_S]
        assert sum(live) <= LIMIT_TOKENS
