"""Load of local placements and of peers' reports, which count until they expire."""

import pytest

from sorrelhoist.decisions.placement.load_tracker import (
    PEER_REPORT_TTL_S,
    EndpointUse,
    LoadTracker,
    RequestUse,
)


def use(streams=1, read_ms=100.0, reading_s=1.0, address="a"):
    return EndpointUse(
        address=address, streams=streams, read_ms=read_ms, reading_s=reading_s
    )


def report(tracker, sequence=1, boot_ms=1, now_s=1.0, uses=None):
    uses = [use()] if uses is None else uses
    return tracker.peer_reported("peer", boot_ms, sequence, uses, now_s)


def test_load_reported_by_a_peer_is_added_to_local_placements():
    tracker = LoadTracker()
    tracker.place(
        "r", (RequestUse(address="a", read_ms=50.0, is_tight=True),), now_s=1.0
    )
    report(tracker)
    total = tracker.endpoint_use("a", now_s=1.0)
    assert (total.streams, total.tight_streams, total.read_ms) == (2, 1, 150.0)


def test_a_report_that_arrives_out_of_order_is_ignored():
    tracker = LoadTracker()
    assert report(tracker, sequence=5, uses=[])
    assert not report(tracker, sequence=4)
    assert tracker.endpoint_use("a", now_s=1.0).streams == 0


def test_reports_of_a_restarted_peer_are_accepted():
    tracker = LoadTracker()
    report(tracker, sequence=500)
    assert report(tracker, sequence=1, boot_ms=2, uses=[])
    assert tracker.endpoint_use("a", now_s=1.0).streams == 0


@pytest.mark.parametrize("method", ("peer_reported", "peer_updated"))
def test_a_peer_whose_clock_was_set_back_in_a_restart_is_heard_again(method):
    tracker = LoadTracker()
    tracker.peer_reported("g2", 10_000, 9, [EndpointUse(address="a", streams=3)], 0.0)
    hear = getattr(tracker, method)
    after = [EndpointUse(address="a", streams=1)]
    # Until the report expires, one of before the restart may still be on its way.
    assert not hear("g2", 5_000, 1, after, 1.0)
    assert hear("g2", 5_000, 2, after, 2.5)
    assert tracker.endpoint_use("a", 2.5).streams == 1
    hear("g2", 5_000, 1, [EndpointUse(address="a", streams=7)], 2.6)
    assert tracker.endpoint_use("a", 2.6).streams == 1


def test_the_report_of_a_silent_peer_expires():
    tracker = LoadTracker()
    report(tracker)
    assert tracker.endpoint_use("a", now_s=1.0 + PEER_REPORT_TTL_S).streams == 0
    assert tracker.peers(now_s=1.0 + PEER_REPORT_TTL_S) == []


def test_backlog_shrinks_with_time_but_not_to_zero():
    tracker = LoadTracker()
    tracker.place("r", (RequestUse(address="a", read_ms=1000.0),), now_s=0.0)
    assert tracker.endpoint_use("a", 0.4).backlog_ms(0.4) == 600.0
    assert tracker.endpoint_use("a", 9.0).backlog_ms(9.0) == 100.0


def test_helpers_are_released_after_prefill_except_for_their_kv_cache():
    tracker = LoadTracker()
    uses = (
        RequestUse(address="a", read_ms=10.0),
        RequestUse(address="b", read_ms=10.0, is_stream=False),
        RequestUse(address="c", read_ms=10.0, is_stream=False, kv_tokens=500),
    )
    tracker.place("r", uses, now_s=0.0)
    tracker.prefill_completed("r")
    addresses = {one.address: one.kv_tokens for one in tracker.own_uses()}
    assert addresses == {"a": 0, "c": 500}
    tracker.release("r")
    assert tracker.own_uses() == []


def test_time_spent_on_a_completed_prefill_is_not_credited_to_an_older_one():
    # Engines prefill the newest part first, so the older one has been queued since.
    tracker = LoadTracker()
    tracker.place("old", (RequestUse(address="a", read_ms=1000.0),), now_s=0.0)
    tracker.place("new", (RequestUse(address="a", read_ms=300.0),), now_s=0.1)
    tracker.prefill_completed("new")
    assert round(tracker.endpoint_use("a", 0.4).backlog_ms(0.4)) == 900


def test_prefill_placed_by_a_peer_is_counted_once():
    tracker = LoadTracker()
    placed = EndpointUse(address="a", read_ms=500.0, reading_s=0.0, placed_ms=500.0)
    report(tracker, sequence=1, uses=[placed], now_s=0.0)
    report(tracker, sequence=2, uses=[placed], now_s=0.1)
    assert round(tracker.endpoint_use("a", 0.2).backlog_ms(0.2)) == 300
    more = EndpointUse(address="a", read_ms=700.0, reading_s=0.0, placed_ms=700.0)
    report(tracker, sequence=3, uses=[more], now_s=0.2)
    assert round(tracker.endpoint_use("a", 0.2).backlog_ms(0.2)) == 500


def test_the_cumulative_count_of_a_restarted_peer_starts_from_zero():
    tracker = LoadTracker()
    placed = EndpointUse(address="a", read_ms=500.0, placed_ms=9000.0)
    report(tracker, sequence=1, uses=[placed], now_s=0.0)
    again = EndpointUse(address="a", read_ms=200.0, placed_ms=200.0)
    report(tracker, sequence=1, boot_ms=2, uses=[again], now_s=9.0)
    assert round(tracker.endpoint_use("a", 9.0).backlog_ms(9.0)) == 200


def test_slack_is_the_time_until_the_first_prefill_is_late():
    tracker = LoadTracker()
    tracker.place("r", (RequestUse(address="a", read_ms=400.0, due_s=1.0),), now_s=0.0)
    tracker.place("s", (RequestUse(address="a", read_ms=100.0, due_s=3.0),), now_s=0.0)
    assert round(tracker.endpoint_use("a", 0.1).slack_ms(0.1)) == 500
    tracker.prefill_completed("r")
    assert round(tracker.endpoint_use("a", 0.1).slack_ms(0.1)) == 2800
    assert EndpointUse(address="a").slack_ms(0.1) == float("inf")


# Updates between two reports


def update(tracker, sequence, *uses, boot_ms=1, now_s=1.0):
    return tracker.peer_updated("peer", boot_ms, sequence, uses, now_s)


def read_ms(tracker, address):
    return tracker.endpoint_use(address, now_s=1.0).read_ms


def test_updates_in_any_order_end_in_the_newest_load_of_each_endpoint():
    tracker = LoadTracker()
    report(tracker, sequence=1)
    assert update(tracker, 4, use(read_ms=400.0))
    assert update(tracker, 2, use(read_ms=200.0), use(read_ms=30.0, address="b"))
    # A report that was sent between them replaces only what is older.
    report(tracker, sequence=3, uses=[use(read_ms=300.0)])
    assert (read_ms(tracker, "a"), read_ms(tracker, "b")) == (400.0, 0.0)
    assert not update(tracker, 2, use(read_ms=30.0, address="b"))
    # The report after a lost update has the load of all endpoints.
    report(tracker, sequence=6, uses=[use(read_ms=600.0, address="b")])
    assert (read_ms(tracker, "a"), read_ms(tracker, "b")) == (0.0, 600.0)


def test_prefill_in_an_update_and_in_the_next_report_is_counted_once():
    tracker = LoadTracker()
    placed = EndpointUse(address="a", read_ms=500.0, reading_s=1.0, placed_ms=500.0)
    update(tracker, 1, placed)
    report(tracker, sequence=2, uses=[placed], now_s=1.1)
    assert round(tracker.endpoint_use("a", 1.2).backlog_ms(1.2)) == 300


def test_an_update_of_a_restarted_peer_replaces_its_load_from_before():
    tracker = LoadTracker()
    report(tracker, sequence=500)
    assert update(tracker, 1, use(address="b"), boot_ms=2)
    assert not update(tracker, 501, use(read_ms=900.0), boot_ms=1)
    assert (read_ms(tracker, "a"), read_ms(tracker, "b")) == (0.0, 100.0)


def test_a_peer_without_updates_is_counted_until_one_is_heard():
    tracker = LoadTracker()
    report(tracker, sequence=1)
    assert tracker.peers_without_updates(1.0) == 1
    update(tracker, 2)
    report(tracker, sequence=3)
    assert tracker.peers_without_updates(1.0) == 0
    report(tracker, sequence=1, boot_ms=2)
    assert tracker.peers_without_updates(1.0) == 1
