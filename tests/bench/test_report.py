import types

import pytest

from sorrelhoist.bench.load_client import Outcome, Sample, classify_outcome
from sorrelhoist.bench.load_phases import DomainChange, LoadRecord, LoadShape
from sorrelhoist.bench.load_plan import Arrival, LoadWorkspace
from sorrelhoist.bench.report import buckets, outcomes, percentiles, slowdown
from sorrelhoist.bench.report_text import runs, save_plot, table_lines, to_plain

WORKSPACE = LoadWorkspace("w", "k", 1.0, 8_000_000)


def sample(number, first_token_s, tokens=1_500, outcome=Outcome.WHOLE):
    arrival = Arrival(number, float(number), WORKSPACE, tokens, 8)
    return Sample(arrival, arrival.at_s, outcome, 200, first_token_s, first_token_s)


def test_percentiles_of_known_times():
    found = percentiles(number / 100 for number in range(1, 101))
    assert found.count == 100
    assert found.median_s == pytest.approx(0.50, rel=0.01)
    assert found.p95_s == pytest.approx(0.95, rel=0.01)
    assert found.p99_s == pytest.approx(0.99, rel=0.01)
    assert percentiles([]).count == 0


@pytest.mark.parametrize(
    ("status", "is_correct", "first_token_s", "expected"),
    [
        (200, True, 0.5, Outcome.WHOLE),
        (200, True, 0.7, Outcome.LATE),
        (200, False, 0.5, Outcome.LOST),
        (429, False, 0.0, Outcome.REFUSED),
        (503, False, 0.0, Outcome.REFUSED),
        (500, False, 0.0, Outcome.LOST),
        (599, False, 0.0, Outcome.LOST),
    ],
)
def test_outcome_follows_from_status_text_and_first_token(
    status, is_correct, first_token_s, expected
):
    response = types.SimpleNamespace(code=status)
    assert classify_outcome(response, is_correct, first_token_s, 0.61) is expected


def test_slowdown_pairs_requests_and_ignores_unanswered_ones():
    alone = [sample(0, 0.1), sample(1, 0.1), sample(2, 0.1), sample(3, 0.1, 9_000)]
    refused = sample(1, 0.0, outcome=Outcome.REFUSED)
    beside = [sample(0, 0.2), refused, sample(2, 0.4), sample(3, 9.0, 9_000)]
    found = slowdown(alone, beside, 4_000)
    assert (found.pairs, found.median) == (2, pytest.approx(3.0))
    assert found.of_p95 == pytest.approx(4.0, rel=0.01)


def test_each_answer_is_counted_in_one_bucket():
    samples = [sample(n, 0.1, tokens) for n, tokens in enumerate((1_000, 4_000, 10**6))]
    assert [b.first_token.count for b in buckets(samples)] == [1, 1, 0, 0, 1]


def test_domain_change_run_is_split_at_its_changes(tmp_path):
    change = [sample(number, 0.1) for number in range(6)]
    change[3] = sample(3, 0.0, outcome=Outcome.REFUSED)
    record = LoadRecord(
        LoadShape(1, 1.0, 6.0, 1_000_000, 9),
        [sample(0, 0.1)],
        [sample(0, 0.2)],
        change,
        DomainChange("c", 2.0, 4.0),
    )
    parts = runs(record)
    assert [len(parts[f"domain {p}"]) for p in ("in", "out", "back")] == [2, 2, 2]
    assert outcomes(parts["domain out"]).refused == 1
    assert to_plain(record)["runs"]["domain out"]["outcomes"]["refused"] == 1
    assert any("c out and back" in line for line in table_lines(record))
    save_plot(record, tmp_path / "plot.png")
    assert (tmp_path / "plot.png").stat().st_size
