"""Arrivals of the replay, and that a replay repeats."""

import json
import random

from click.testing import CliRunner

from sorrelhoist.bench.experiments.placement import main, worth
from sorrelhoist.bench.experiments.virtual_gateways import COSTS, World
from sorrelhoist.bench.experiments.virtual_prompts import drawn, recorded


def sent(request_id, tokens, at_s, waited_ms=0):
    fields = {
        "event": "sent",
        "request_id": request_id,
        "prompt_tokens": tokens,
        "waited_ms": waited_ms,
    }
    return f"  {at_s} edge-1 {json.dumps(fields)}"


def test_arrivals_are_taken_from_logs_once_each_and_without_the_wait():
    lines = [
        "built in 8 s",
        sent("b", 182_000, 3.0, waited_ms=500),
        sent("a", 5_000, 2.0),
        sent("a", 5_000, 2.4),
        sent("call", None, 2.2),
    ]
    found = recorded(lines)
    assert [(one.at_s, one.kind.name) for one in found] == [
        (2.0, "quick"),
        (2.5, "long"),
    ]


def test_a_replay_repeats_exactly():
    def play():
        arrivals = drawn(random.Random(3), seconds_s=4.0, factor=0.5, burst=2.0)
        return worth(World(10, 3, COSTS, seed=1).play(arrivals, random.Random(2)))

    assert play() == play()


def test_the_command_prints_a_line_for_each_kind():
    result = CliRunner().invoke(main, ["--seconds", "3", "--engines", "8"])
    assert result.exit_code == 0, result.output
    assert "quick" in result.output and "worth" in result.output
