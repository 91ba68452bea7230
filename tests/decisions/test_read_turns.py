"""Turns of readers whose connections always have data."""

from sorrelhoist.decisions.read_turns import TURN_S, ReadTurns


def test_readers_share_one_turn_of_the_loop():
    # Each of many faulty connections would otherwise add a whole turn to the delay.
    turns = ReadTurns()
    readers = [turns.reader() for _ in range(10)]
    for reader in readers:
        assert not reader.is_over(now_s=1.0)
        assert reader.is_over(now_s=1.0 + 2 * TURN_S)
        reader.rest_s()
    assert turns.share_s * len(readers) <= TURN_S * 1.001
    assert not readers[0].is_over(now_s=2.0)
    assert readers[0].is_over(now_s=2.0 + TURN_S / 5)


def test_a_reader_that_waits_for_data_takes_no_share():
    turns = ReadTurns()
    first, second = turns.reader(), turns.reader()
    for reader in (first, second):
        reader.rest_s()
    assert turns.share_s == TURN_S / 2
    first.waited()
    assert turns.share_s == TURN_S
    assert not first.is_over(now_s=5.0)
    assert not first.is_over(now_s=5.0 + TURN_S / 2)


def test_a_reader_that_is_gone_takes_no_share():
    turns = ReadTurns()
    turns.reader().rest_s()
    reader = turns.reader()
    reader.rest_s()
    assert turns.share_s == TURN_S
