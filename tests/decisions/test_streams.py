"""Token streams are delivered once and in order; stream ids are authenticated."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sorrelhoist.decisions.streams import (
    Delivery,
    Gap,
    RequestMismatch,
    StreamAssembler,
    StreamName,
    sign_stream_id,
    verify_stream_id,
)
from sorrelhoist.messages.gen import ttypes

KEY = "k" * 16
NAME = StreamName("agent-1", "r-1", "desk")
TOKENS = list("abcdefgh")


def piece(start, stop, request_id="r"):
    return ttypes.Piece(
        request_id=request_id, sequence=start, tokens=TOKENS[start:stop]
    )


CASES = {
    "next": (piece(3, 5), Delivery(3, ["d", "e"])),
    "duplicate": (piece(0, 3), Delivery(3, [])),
    "overlapping": (piece(1, 4), Delivery(3, ["d"])),
    "heartbeat": (piece(3, 3), Delivery(3, [])),
    "gap": (piece(4, 6), Gap(3)),
    "of another request": (piece(3, 5, "x"), RequestMismatch("x")),
}


@pytest.mark.parametrize("name", CASES)
def test_tokens_are_delivered_once_and_in_order(name):
    assembler = StreamAssembler("r", TOKENS[:3])
    given_piece, expected = CASES[name]
    assert assembler.accept(given_piece) == expected


@pytest.mark.parametrize(
    ("request_id", "total", "whole"), [("r", 3, True), ("r", 4, False), ("x", 3, False)]
)
def test_stream_is_complete_only_at_the_end_of_its_request_and_length(
    request_id, total, whole
):
    end = ttypes.StreamEnd(request_id=request_id, total_tokens=total)
    assert StreamAssembler("r", TOKENS[:3]).is_complete(end) is whole


SPANS = st.tuples(st.integers(0, 8), st.integers(0, 8), st.sampled_from("rrx"))


@given(st.lists(SPANS))
def test_fuzz_delivered_tokens_are_a_prefix(spans):
    assembler, delivered = StreamAssembler("r"), []
    for start, stop, request_id in spans:
        match assembler.accept(piece(start, stop, request_id)):
            case Delivery(sequence=sequence, tokens=tokens):
                assert sequence == len(delivered)
                delivered += tokens
            case Gap(sequence=sequence):
                assert sequence == len(delivered) < start
    assert delivered == assembler.tokens == TOKENS[: len(delivered)]


def test_signed_id_round_trips():
    assert verify_stream_id(sign_stream_id(NAME, KEY), KEY).unwrap() == NAME


@given(st.integers(0, 30), st.characters(codec="ascii"))
def test_fuzz_tampered_id_is_refused(position, character):
    good = sign_stream_id(NAME, KEY)
    changed = good[:position] + character + good[position + 1 :]
    name = verify_stream_id(changed, KEY).value_or(None)
    assert name is None or name == NAME


@given(st.text())
def test_fuzz_arbitrary_text_is_refused(text):
    assert verify_stream_id(text, KEY).value_or(None) is None


def test_id_signed_with_another_key_is_refused():
    assert verify_stream_id(sign_stream_id(NAME, "o" * 16), KEY).value_or(None) is None
