from hypothesis import given
from hypothesis import strategies as st

from sorrelhoist.decisions.prompts import (
    BLOCK_BYTES,
    MAX_PREFIX_BLOCKS,
    profile_prompt,
)


@given(st.text(max_size=50), st.text(max_size=50))
def test_fuzz_only_equal_prompts_share_a_fingerprint(one, other):
    fingerprints = [profile_prompt("m", text, 4).fingerprint for text in (one, other)]
    assert (fingerprints[0] == fingerprints[1]) is (one == other)
    assert all(-(2**63) <= value < 2**63 for value in fingerprints)


def test_different_models_share_no_fingerprint_or_prefix_hash():
    one, other = (profile_prompt(model, "x" * BLOCK_BYTES, 4) for model in "ab")
    assert one.fingerprint != other.fingerprint
    assert one.prefix_hashes != other.prefix_hashes


def test_prefix_hashes_match_for_shared_blocks_only():
    head = "a" * (2 * BLOCK_BYTES)
    one, other = (
        profile_prompt("m", head + tail * BLOCK_BYTES, 4).prefix_hashes for tail in "bc"
    )
    assert len(one) == len(other) == 3
    assert one[:2] == other[:2] and one[2] != other[2]


def test_prefix_hashes_cover_complete_blocks_up_to_the_maximum():
    prompt = "a" * (BLOCK_BYTES * (MAX_PREFIX_BLOCKS + 5))
    assert len(profile_prompt("m", prompt, 4).prefix_hashes) == MAX_PREFIX_BLOCKS
    assert not profile_prompt("m", "a" * (BLOCK_BYTES - 1), 4).prefix_hashes
