"""Tests that the experiments are reproducible and support the chosen policies."""

import json

import pytest
from click.testing import CliRunner

from sorrelhoist.bench.experiments import cold_start, lanes, retry_after
from sorrelhoist.bench.experiments.tables import mean, percentile, show


def test_slow_start_has_fewer_crashes_and_more_throughput_than_no_cap(monkeypatch):
    monkeypatch.setattr(cold_start, "DURATION_S", 60.0)
    learning, *_, uncapped = cold_start.POLICIES
    slow = cold_start.measure(learning, 1, 1)
    none = cold_start.measure(uncapped, 1, 1)
    assert slow["deaths_per_run"] < none["deaths_per_run"]
    assert slow["done_per_s"] > none["done_per_s"]


def test_bounded_lane_halves_the_p99_slowdown_of_short_requests(monkeypatch):
    monkeypatch.setattr(lanes, "DURATION_S", 100.0)
    bounded, _, none = [lanes.measure(policy, 1, 1) for policy in lanes.POLICIES]
    assert bounded["short_slowdown_p99"] < none["short_slowdown_p99"] / 2


def test_backlog_based_retry_after_causes_fewer_refusals(monkeypatch):
    monkeypatch.setattr(retry_after, "CALM_S", 40.0)
    informed = retry_after.measure("informed", 1, 1)
    constant = retry_after.measure("constant 1 s", 1, 1)
    assert informed["refusals_per_request"] < constant["refusals_per_request"]


def test_same_seed_gives_the_same_json_output(monkeypatch):
    monkeypatch.setattr(lanes, "DURATION_S", 20.0)
    runs = [
        CliRunner().invoke(lanes.main, ["--runs", "1", "--json"]).output
        for _ in range(2)
    ]
    assert runs[0] == runs[1]
    assert {row["policy"] for row in json.loads(runs[0])} == {
        policy.name for policy in lanes.POLICIES
    }


@pytest.mark.parametrize("values, half", [([], "nan"), ([3.0, 1.0, 2.0], "2.0")])
def test_percentile_and_mean(values, half):
    assert str(percentile(values, 0.5)) == str(mean(values)) == half


def test_table_shows_missing_values_as_dashes(capsys):
    show([{"a": None, "b": 1.5}, {"a": 12, "b": float("nan")}], as_json=False)
    assert capsys.readouterr().out.split() == ["a", "b", "-", "1.50", "12", "-"]
