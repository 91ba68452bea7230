"""Tests of the arrivals of a replay, and that a replay is reproducible."""

import json
import random

from click.testing import CliRunner

from sorrelhoist.bench.experiments.placement import main, worth
from sorrelhoist.bench.experiments.virtual_gateways import COSTS, GatewayFleet
from sorrelhoist.bench.experiments.virtual_prompts import (
    arrivals_from_log,
    draw_arrivals,
)


def sent(request_id, tokens, at_s, waited_ms=0):
    fields = {
        "event": "sent",
        "request_id": request_id,
        "prompt_tokens": tokens,
        "waited_ms": waited_ms,
    }
    return f"  {at_s} edge-1 {json.dumps(fields)}"


def test_arrivals_from_logs_are_deduplicated_and_exclude_the_queue_time():
    lines = [
        "built in 8 s",
        sent("b", 182_000, 3.0, waited_ms=500),
        sent("a", 5_000, 2.0),
        sent("a", 5_000, 2.4),
        sent("call", None, 2.2),
    ]
    found = arrivals_from_log(lines)
    assert [(one.at_s, one.kind.name) for one in found] == [
        (2.0, "quick"),
        (2.5, "long"),
    ]


def test_replay_is_reproducible():
    def replay():
        arrivals = draw_arrivals(random.Random(3), seconds_s=4.0, factor=0.5, burst=2.0)
        return worth(
            GatewayFleet(10, 3, COSTS, seed=1).replay(arrivals, random.Random(2))
        )

    assert replay() == replay()


def test_command_prints_a_line_for_each_kind():
    result = CliRunner().invoke(main, ["--seconds", "3", "--engines", "8"])
    assert result.exit_code == 0, result.output
    assert "quick" in result.output and "worth" in result.output
