from hypothesis import given
from hypothesis import strategies as st

from sorrelhoist.decisions.prompts import (
    BLOCK_BYTES,
    MAX_PREFIX_BLOCKS,
    profile_prompt,
)


@given(st.text(max_size=50), st.text(max_size=50))
def test_fuzz_equal_prompts_alone_share_a_fingerprint(one, other):
    prints = [profile_prompt("m", text, 4).fingerprint for text in (one, other)]
    assert (prints[0] == prints[1]) is (one == other)
    assert all(-(2**63) <= value < 2**63 for value in prints)


def test_models_do_not_share_fingerprints_or_prefixes():
    one, other = (profile_prompt(model, "x" * BLOCK_BYTES, 4) for model in "ab")
    assert one.fingerprint != other.fingerprint
    assert one.prefix_hashes != other.prefix_hashes


def test_prefix_hashes_tell_how_long_a_prefix_is_shared():
    head = "a" * (2 * BLOCK_BYTES)
    one, other = (
        profile_prompt("m", head + tail * BLOCK_BYTES, 4).prefix_hashes for tail in "bc"
    )
    assert len(one) == len(other) == 3
    assert one[:2] == other[:2] and one[2] != other[2]


def test_prefix_hashes_are_few():
    prompt = "a" * (BLOCK_BYTES * (MAX_PREFIX_BLOCKS + 5))
    assert len(profile_prompt("m", prompt, 4).prefix_hashes) == MAX_PREFIX_BLOCKS
    assert not profile_prompt("m", "a" * (BLOCK_BYTES - 1), 4).prefix_hashes
