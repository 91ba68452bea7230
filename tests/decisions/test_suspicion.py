"""Poison requests are condemned, concurrent ones aren't, duplicates count once."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sorrelhoist.decisions.suspicion import SuspicionTable
from sorrelhoist.decisions.suspicion_evidence import SuspicionOptions, death_id
from sorrelhoist.messages.gen import ttypes

GAP_S = 100.0
POISON, CONCURRENT = 7, 8


def table_after(*deaths, **options):
    """Return a table with each death recorded, `GAP_S` apart."""
    table = SuspicionTable(SuspicionOptions(**options))
    for number, running in enumerate(deaths):
        table.endpoint_died(f"endpoint-{number}", "boot", running, number * GAP_S)
    return table


@pytest.mark.parametrize(
    "deaths, suspected, condemned",
    [
        ([], False, False),
        ([[POISON]], True, False),
        ([[POISON], [POISON]], True, True),
        ([[POISON, POISON], [POISON]], True, True),
        ([[POISON, CONCURRENT]], True, False),
        ([[POISON, CONCURRENT], [POISON]], True, False),
        ([[POISON, CONCURRENT], [POISON], [POISON]], True, True),
        ([[POISON, CONCURRENT]] * 5, True, False),
        ([[CONCURRENT], [CONCURRENT]], False, False),
    ],
)
def test_deaths_determine_suspected_and_condemned(deaths, suspected, condemned):
    table, now_s = table_after(*deaths), len(deaths) * GAP_S
    assert table.is_suspected(POISON, now_s) is suspected
    assert table.is_condemned(POISON, now_s) is condemned


def test_repeated_report_of_a_death_counts_once():
    table = SuspicionTable()
    for now_s in (1.0, 2.0, 3.0):
        table.endpoint_died("endpoint", "boot", [POISON], now_s)
    assert not table.is_condemned(POISON, 4.0)
    table.endpoint_died("endpoint", "other-boot", [POISON], 5.0)
    assert table.is_condemned(POISON, 5.0)


def test_entry_that_knows_one_of_two_running_requests_does_not_condemn():
    table = SuspicionTable()
    for number in range(3):
        table.endpoint_died(
            f"e{number}", "boot", [POISON], number * GAP_S, running_requests=2
        )
    assert not table.is_condemned(POISON, 3 * GAP_S)


def test_completion_clears_evidence_locally_and_through_gossip():
    here, there = table_after([POISON], [POISON]), table_after([POISON], [POISON])
    here.completed(POISON, 150.0)
    assert not here.is_suspected(POISON, 150.0)
    here.merge(there.for_gossip(160.0), 160.0)
    assert not here.is_suspected(POISON, 160.0)
    there.merge(here.for_gossip(160.0), 160.0)
    assert not there.is_suspected(POISON, 160.0)
    there.endpoint_died("endpoint-9", "boot", [POISON], 400.0)
    assert there.is_suspected(POISON, 400.0)
    assert not there.is_condemned(POISON, 400.0)


def test_evidence_from_gossip_keeps_its_original_expiry():
    here = table_after([POISON], [POISON], lifetime_s=1000.0)
    there = SuspicionTable(SuspicionOptions(lifetime_s=1000.0))
    there.merge(here.for_gossip(900.0), 900.0)
    for table in (here, there):
        assert table.is_condemned(POISON, 999.0)
        assert not table.is_condemned(POISON, 1000.0)
        assert not table.is_suspected(POISON, 1100.5)
        assert table.for_gossip(1100.5) == []
        assert len(table) == 0


@pytest.mark.parametrize("others, condemned", [(2, True), (3, False)])
def test_correlated_deaths_do_not_condemn(others, condemned):
    table = SuspicionTable()
    for start_s in (0.0, GAP_S):
        table.endpoint_died(f"alone-{start_s}", "boot", [POISON], start_s)
        for number in range(others):
            name = f"other-{start_s}-{number}"
            table.endpoint_died(name, "boot", [100 + number], start_s + number)
    assert table.is_condemned(POISON, 2 * GAP_S) is condemned


def test_eviction_bounds_the_size_and_keeps_solo_deaths():
    table = SuspicionTable(SuspicionOptions(max_items=10))
    table.endpoint_died("e", "1", [POISON], 0.0)
    table.endpoint_died("e", "2", [POISON], GAP_S)
    for number in range(50):
        running = [1000 + 2 * number, 1001 + 2 * number]
        table.endpoint_died("e", f"shared-{number}", running, 200.0 + number)
        assert len(table) <= 10
    assert table.is_condemned(POISON, 300.0)


FINGERPRINTS = st.integers(0, 4)
STEPS = st.lists(
    st.one_of(
        st.tuples(
            st.just("die"),
            st.integers(0, 2),
            st.integers(0, 5),
            st.sets(FINGERPRINTS, min_size=1, max_size=3),
        ),
        st.tuples(st.just("complete"), st.integers(0, 2), FINGERPRINTS),
        st.tuples(st.just("tell"), st.integers(0, 2), st.integers(0, 2)),
    ),
    max_size=30,
)


@given(STEPS, st.randoms())
def test_fuzz_tables_agree_with_the_union_of_all_evidence(steps, rng):
    options = SuspicionOptions(lifetime_s=1e6, correlated_failure_deaths=100)
    tables = [SuspicionTable(options) for _ in range(3)]
    running, cleared, late = {}, set(), []
    for number, step in enumerate(steps):
        now_s = number * GAP_S
        table = tables[step[1]]
        match step:
            case ("die", _, death, fingerprints):
                table.endpoint_died("endpoint", str(death), fingerprints, now_s)
                for fingerprint in fingerprints:
                    key = (fingerprint, death)
                    running[key] = max(running.get(key, 0), len(fingerprints))
            case ("complete", _, fingerprint):
                held = {item["death_id"] for item in table.dump(now_s)
                        if item["fingerprint"] == fingerprint}  # fmt: skip
                cleared |= {(fingerprint, death) for death in held}
                table.completed(fingerprint, now_s)
            case ("tell", _, other):
                late.append((tables[other], table.for_gossip(now_s, 3)))
    rng.shuffle(late)
    now_s = len(steps) * GAP_S
    everything = [table.for_gossip(now_s, 1000) for table in tables]
    for table, heard in late + [(t, e) for t in tables for e in everything * 2]:
        table.merge(heard, now_s)
    _check(tables, running, cleared, now_s)


def _check(tables, running, cleared, now_s):
    for fingerprint in range(5):
        open_counts = [
            count
            for (name, death), count in running.items()
            if name == fingerprint
            and (name, death_id("endpoint", str(death))) not in cleared
        ]
        for table in tables:
            assert table.is_suspected(fingerprint, now_s) is bool(open_counts)
            condemned = open_counts.count(1) >= 2
            assert table.is_condemned(fingerprint, now_s) is condemned


@given(st.integers(0, 10_000))
def test_fuzz_poison_requests_are_condemned_and_harmless_ones_never(seed):
    rng = random.Random(seed)
    tables = [SuspicionTable() for _ in range(3)]
    poison_ids, harmless_ids = [1, 2], list(range(10, 20))
    deaths = dict.fromkeys(poison_ids, 0)
    for number in range(60):
        now_s, entry = number * 30.0, rng.choice(tables)
        wanted = rng.sample(poison_ids + harmless_ids, 4)
        allowed = [f for f in wanted if not entry.is_condemned(f, now_s)]
        suspects = [f for f in allowed if entry.is_suspected(f, now_s)]
        running = suspects[:1] or allowed
        crashing = set(running) & set(poison_ids)
        if crashing:
            entry.endpoint_died("endpoint", str(number), running, now_s)
            for poison_id in crashing:
                deaths[poison_id] += 1
        else:
            for fingerprint in running:
                entry.completed(fingerprint, now_s)
        for table in tables:
            if rng.random() < 0.3:
                table.merge(entry.for_gossip(now_s, 1000), now_s)
    for table in tables:
        assert not any(table.is_condemned(f, 1800.0) for f in harmless_ids)
    assert all(count <= 3 * len(tables) for count in deaths.values())


@given(
    st.lists(
        st.builds(
            ttypes.Suspicion,
            *[st.integers(-(2**63), 2**63 - 1) | st.none()] * 4,
            st.booleans() | st.none(),
        )
    )
)
def test_fuzz_arbitrary_suspicions_are_bounded(suspicions):
    table = SuspicionTable(SuspicionOptions(max_items=5))
    table.merge(suspicions, 1.0)
    assert len(table) <= 5
    assert len(table.for_gossip(1.0)) <= 4
