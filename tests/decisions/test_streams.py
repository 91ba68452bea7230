import pytest
from hypothesis import given
from hypothesis import strategies as st

from sorrelhoist.decisions.streams import (
    Delivery,
    Foreign,
    Gap,
    StreamAssembler,
    StreamName,
    read_stream_id,
    sign_stream_id,
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
    "again": (piece(0, 3), Delivery(3, [])),
    "overlapping": (piece(1, 4), Delivery(3, ["d"])),
    "heartbeat": (piece(3, 3), Delivery(3, [])),
    "gap": (piece(4, 6), Gap(3)),
    "of another": (piece(3, 5, "x"), Foreign("x")),
}


@pytest.mark.parametrize("name", CASES)
def test_pieces_are_taken_in_once_and_in_order(name):
    assembler = StreamAssembler("r", TOKENS[:3])
    given_piece, expected = CASES[name]
    assert assembler.accept(given_piece) == expected


@pytest.mark.parametrize(
    ("request_id", "total", "whole"), [("r", 3, True), ("r", 4, False), ("x", 3, False)]
)
def test_only_its_own_end_at_its_own_length_is_whole(request_id, total, whole):
    end = ttypes.StreamEnd(request_id=request_id, total_tokens=total)
    assert StreamAssembler("r", TOKENS[:3]).is_whole(end) is whole


SPANS = st.tuples(st.integers(0, 8), st.integers(0, 8), st.sampled_from("rrx"))


@given(st.lists(SPANS))
def test_fuzz_what_is_delivered_is_a_prefix(spans):
    assembler, delivered = StreamAssembler("r"), []
    for start, stop, request_id in spans:
        match assembler.accept(piece(start, stop, request_id)):
            case Delivery(sequence=sequence, tokens=tokens):
                assert sequence == len(delivered)
                delivered += tokens
            case Gap(sequence=sequence):
                assert sequence == len(delivered) < start
    assert delivered == assembler.tokens == TOKENS[: len(delivered)]


def test_a_signed_id_names_its_stream():
    assert read_stream_id(sign_stream_id(NAME, KEY), KEY).unwrap() == NAME


@given(st.integers(0, 30), st.characters(codec="ascii"))
def test_fuzz_a_changed_id_is_refused(position, character):
    good = sign_stream_id(NAME, KEY)
    changed = good[:position] + character + good[position + 1 :]
    name = read_stream_id(changed, KEY).value_or(None)
    assert name is None or name == NAME


@given(st.text())
def test_fuzz_no_text_is_taken_for_an_id(text):
    assert read_stream_id(text, KEY).value_or(None) is None


def test_an_id_of_another_key_is_refused():
    assert read_stream_id(sign_stream_id(NAME, "o" * 16), KEY).value_or(None) is None
