"""Encoding and decoding of frames; arbitrary bytes raise only PeerError."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sorrelhoist.exceptions import PeerError
from sorrelhoist.messages import frames
from sorrelhoist.messages.gen import ttypes

PIECE = ttypes.Piece(request_id="r", sequence=3, tokens=["a", "č"])


def test_round_trip_preserves_call_id_and_body():
    message = frames.decode(frames.encode(frames.Message(7, PIECE)))
    assert message.call_id == 7
    assert message.body == PIECE


def test_frame_has_length_prefix():
    data = frames.frame(frames.Message(1, PIECE))
    prefix, body = data[:4], data[4:]
    assert frames.frame_length(prefix) == len(body)


def test_frame_over_the_size_limit_is_rejected():
    with pytest.raises(PeerError):
        frames.frame_length(b"\xff\xff\xff\xff")


def test_envelope_without_body_is_rejected():
    with pytest.raises(PeerError):
        frames.decode(b"\x00")


@given(st.binary(max_size=200))
def test_fuzz_decode_of_any_bytes_raises_only_peer_error(data):
    try:
        frames.decode(data)
    except PeerError:
        pass


@given(st.integers(0, 60), st.integers(0, 255))
def test_fuzz_decode_of_corrupted_envelope_raises_only_peer_error(position, value):
    data = bytearray(frames.encode(frames.Message(7, PIECE)))
    data[position % len(data)] = value
    try:
        frames.decode(bytes(data))
    except PeerError:
        pass
