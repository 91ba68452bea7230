"""Stale views: what is placed elsewhere counts here, for as long as it is known."""

from sorrelhoist.decisions.load_book import (
    PEER_LIFETIME_S,
    EndpointUse,
    LoadBook,
    Use,
)


def use(streams=1, read_ms=100.0, reading_s=1.0, address="a"):
    return EndpointUse(
        address=address, streams=streams, read_ms=read_ms, reading_s=reading_s
    )


def report(book, sequence=1, boot_ms=1, now_s=1.0, uses=None):
    uses = [use()] if uses is None else uses
    return book.peer_reported("peer", boot_ms, sequence, uses, now_s)


def test_what_a_peer_placed_counts_with_the_own_placements():
    book = LoadBook()
    book.place("r", (Use(address="a", read_ms=50.0, is_tight=True),), now_s=1.0)
    report(book)
    total = book.of("a", now_s=1.0)
    assert (total.streams, total.tight_streams, total.read_ms) == (2, 1, 150.0)


def test_a_report_that_overtook_another_is_not_undone():
    book = LoadBook()
    assert report(book, sequence=5, uses=[])
    assert not report(book, sequence=4)
    assert book.of("a", now_s=1.0).streams == 0


def test_a_peer_that_starts_again_is_heard():
    book = LoadBook()
    report(book, sequence=500)
    assert report(book, sequence=1, boot_ms=2, uses=[])
    assert book.of("a", now_s=1.0).streams == 0


def test_a_peer_that_is_silent_counts_no_more():
    book = LoadBook()
    report(book)
    assert book.of("a", now_s=1.0 + PEER_LIFETIME_S).streams == 0
    assert book.peers(now_s=1.0 + PEER_LIFETIME_S) == []


def test_reads_shrink_with_time_but_not_to_nothing():
    book = LoadBook()
    book.place("r", (Use(address="a", read_ms=1000.0),), now_s=0.0)
    assert book.of("a", 0.4).backlog_ms(0.4) == 600.0
    assert book.of("a", 9.0).backlog_ms(9.0) == 100.0


def test_helpers_are_free_when_the_prompt_is_read_but_for_their_memory():
    book = LoadBook()
    uses = (
        Use(address="a", read_ms=10.0),
        Use(address="b", read_ms=10.0, is_stream=False),
        Use(address="c", read_ms=10.0, is_stream=False, kv_tokens=500),
    )
    book.place("r", uses, now_s=0.0)
    book.read_ended("r")
    addresses = {one.address: one.kv_tokens for one in book.own_uses()}
    assert addresses == {"a": 0, "c": 500}
    book.release("r")
    assert book.own_uses() == []


def test_time_spent_on_a_read_that_ended_is_not_counted_for_an_older_one():
    # Engines read the newest part first: the older one has waited since.
    book = LoadBook()
    book.place("old", (Use(address="a", read_ms=1000.0),), now_s=0.0)
    book.place("new", (Use(address="a", read_ms=300.0),), now_s=0.1)
    book.read_ended("new")
    assert round(book.of("a", 0.4).backlog_ms(0.4)) == 900


def test_reading_that_a_peer_placed_is_ahead_once():
    book = LoadBook()
    placed = EndpointUse(address="a", read_ms=500.0, reading_s=0.0, placed_ms=500.0)
    report(book, sequence=1, uses=[placed], now_s=0.0)
    report(book, sequence=2, uses=[placed], now_s=0.1)
    assert round(book.of("a", 0.2).backlog_ms(0.2)) == 300
    more = EndpointUse(address="a", read_ms=700.0, reading_s=0.0, placed_ms=700.0)
    report(book, sequence=3, uses=[more], now_s=0.2)
    assert round(book.of("a", 0.2).backlog_ms(0.2)) == 500


def test_a_peer_that_starts_again_counts_from_nothing():
    book = LoadBook()
    placed = EndpointUse(address="a", read_ms=500.0, placed_ms=9000.0)
    report(book, sequence=1, uses=[placed], now_s=0.0)
    again = EndpointUse(address="a", read_ms=200.0, placed_ms=200.0)
    report(book, sequence=1, boot_ms=2, uses=[again], now_s=9.0)
    assert round(book.of("a", 9.0).backlog_ms(9.0)) == 200


def test_slack_is_the_time_until_the_first_read_is_late():
    book = LoadBook()
    book.place("r", (Use(address="a", read_ms=400.0, due_s=1.0),), now_s=0.0)
    book.place("s", (Use(address="a", read_ms=100.0, due_s=3.0),), now_s=0.0)
    assert round(book.of("a", 0.1).slack_ms(0.1)) == 500
    book.read_ended("r")
    assert round(book.of("a", 0.1).slack_ms(0.1)) == 2800
    assert EndpointUse(address="a").slack_ms(0.1) == float("inf")
