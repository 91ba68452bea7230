"""Rendezvous hashing is order-independent, even, and stable when candidates leave."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from sorrelhoist.decisions import rendezvous

NAMES = st.lists(st.text(max_size=8), unique=True, max_size=8)
KEYS = st.text(max_size=8) | st.binary(max_size=8)


@given(KEYS, NAMES, st.randoms())
def test_fuzz_ranking_ignores_input_order_and_first_is_the_best(key, names, rng):
    shuffled = rng.sample(names, len(names))
    assert rendezvous.ranked(key, names) == rendezvous.ranked(key, shuffled)
    best = (rendezvous.ranked(key, names) or [None])[0]
    assert rendezvous.first(key, shuffled) == best


@given(KEYS, NAMES)
def test_fuzz_removing_a_candidate_keeps_the_order_of_the_others(key, names):
    ranking = rendezvous.ranked(key, names)
    for name in names:
        rest = [other for other in names if other != name]
        kept = [other for other in ranking if other != name]
        assert rendezvous.ranked(key, rest) == kept


def test_keys_are_distributed_evenly():
    names = [f"endpoint-{i}" for i in range(10)]
    counts = Counter(rendezvous.first(f"key-{i}", names) for i in range(10_000))
    assert all(850 < counts[name] < 1150 for name in names)
