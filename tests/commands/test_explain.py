"""Tests of the explain command, which finds the log lines of one request."""

import json

from click.testing import CliRunner

from sorrelhoist.cli import main

LINES = {
    "edge-2.log": [
        "   2.5000 edge-2 "
        + json.dumps(
            {
                "time": "2026-01-01 00:00:02,500",
                "node_id": "edge-2",
                "message": "refused",
                "outcome": "503",
                "reason": "no endpoint has room",
                "request_id": "r-1",
            }
        )
    ],
    "edge-1.log": [
        json.dumps(
            {
                "time": "2026-01-01 00:00:01,000",
                "node_id": "edge-1",
                "message": "sent",
                "outcome": "sent",
                "endpoint": "i-1",
                "request_id": "r-1",
            }
        ),
        json.dumps({"time": "2026-01-01 00:00:01,100", "request_id": "r-2"}),
        "no json r-1 {",
    ],
}


def explain(tmp_path, request_id):
    for name, lines in LINES.items():
        (tmp_path / name).write_text("\n".join(lines))
    files = [str(tmp_path / name) for name in LINES]
    return CliRunner().invoke(main, ["explain", request_id, *files])


def test_lines_of_a_request_are_merged_from_all_logs_in_time_order(tmp_path):
    found = explain(tmp_path, "r-1")
    assert found.exit_code == 0
    first, second = found.output.splitlines()
    assert "edge-1: sent -> sent (endpoint=i-1)" in first
    assert "edge-2: refused -> 503 (reason=no endpoint has room)" in second


def test_unknown_request_exits_1(tmp_path):
    assert explain(tmp_path, "r-9").exit_code == 1
