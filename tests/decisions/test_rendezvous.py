"""Rendezvous hashing agrees, spreads and moves little."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from sorrelhoist.decisions import rendezvous

NAMES = st.lists(st.text(max_size=8), unique=True, max_size=8)
KEYS = st.text(max_size=8) | st.binary(max_size=8)


@given(KEYS, NAMES, st.randoms())
def test_fuzz_order_does_not_matter_and_first_is_the_best(key, names, rng):
    shuffled = rng.sample(names, len(names))
    assert rendezvous.ranked(key, names) == rendezvous.ranked(key, shuffled)
    best = (rendezvous.ranked(key, names) or [None])[0]
    assert rendezvous.first(key, shuffled) == best


@given(KEYS, NAMES)
def test_fuzz_without_one_candidate_the_others_keep_their_order(key, names):
    ranking = rendezvous.ranked(key, names)
    for name in names:
        rest = [other for other in names if other != name]
        kept = [other for other in ranking if other != name]
        assert rendezvous.ranked(key, rest) == kept


def test_keys_spread_evenly():
    names = [f"endpoint-{i}" for i in range(10)]
    counts = Counter(rendezvous.first(f"key-{i}", names) for i in range(10_000))
    assert all(850 < counts[name] < 1150 for name in names)
