"""Splitting of streams whose endpoints send bytes that are no events."""

import time

import pytest

from sorrelhoist.decisions.event_stream import MAX_EVENT_BYTES, EventSplitter


@pytest.mark.parametrize("piece", [b"\n", b"\n\n", b": still here\n\n", b"x"])
def test_bytes_without_an_event_are_bounded(piece):
    # Comments and empty lines were dropped for as long as the endpoint sent any.
    splitter = EventSplitter()
    splitter.feed(b"id: 1\ndata: a\n\n")
    block = piece * 10_000
    with pytest.raises(ValueError, match="no event"):
        for _ in range(MAX_EVENT_BYTES // len(block) + 2):
            splitter.feed(block)


def test_comments_between_events_are_not_bounded():
    splitter = EventSplitter()
    for number in range(3 * MAX_EVENT_BYTES // 1000):
        splitter.feed(b": still here\n\n" * 70 + b"id: %d\n\n" % number)
    assert splitter.last_id == str(number)


def test_an_event_in_many_pieces_takes_time_in_proportion_to_its_size():
    # The whole event was copied and searched for each piece of it.
    def feed(pieces):
        splitter, began_s = EventSplitter(), time.process_time()
        for _ in range(pieces):
            splitter.feed(b"abcd")
        events = splitter.feed(b"\n\n")
        assert len(events[0]) == 4 * pieces + 2
        return time.process_time() - began_s

    feed(1_000)
    assert feed(200_000) < 40 * feed(20_000) + 0.1


def test_terminators_in_two_pieces_end_their_events():
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\n") == []
    assert splitter.feed(b"\nid: 2\n\n\nid") == [b"id: 1\n\n", b"id: 2\n\n"]
    assert splitter.feed(b": 3\n\n") == [b"\nid: 3\n\n"]
    assert splitter.last_id == "3"
