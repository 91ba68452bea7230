"""Tests that the engine model schedules work as the users' engines do."""

from sorrelhoist.bench.experiments.split_prefill_engine import (
    DecodeStream,
    PrefillPart,
    SplitPrefillEngine,
)
from sorrelhoist.bench.experiments.virtual_fleet import Clock
from sorrelhoist.bench.experiments.virtual_gateways import COSTS


class Log:
    def __init__(self):
        self.clock = Clock()
        self.engine = SplitPrefillEngine(self.clock, COSTS)
        self.done = {}

    def part(self, name, left_ms=100.0):
        return PrefillPart(
            left_ms, 13.0, lambda: self.done.update({name: self.clock.now_s})
        )

    def run(self, seconds_s=5.0):
        self.clock.run_until(lambda: False, seconds_s)
        return list(self.done)


def test_newest_peer_part_is_prefilled_first_and_own_prompt_last():
    log = Log()
    log.engine.prefill(log.part("own"))
    log.engine.prefill_for_peer(log.part("old"))
    log.engine.prefill_for_peer(log.part("new"))
    assert log.run() == ["new", "old", "own"]


def test_prefill_delays_concurrent_decode_streams():
    log = Log()
    events = []
    log.engine.decode(DecodeStream(2, lambda left: events.append(log.clock.now_s)))
    log.run()
    alone_s = events[0]
    beside = Log()
    beside.engine.decode(
        DecodeStream(2, lambda left: events.append(beside.clock.now_s))
    )
    beside.engine.prefill_for_peer(beside.part("part", left_ms=120.0))
    beside.run()
    assert abs(events[2] - alone_s - 0.12) < 0.001


def test_running_prompts_are_limited_to_engine_capacity():
    log = Log()
    for number in range(COSTS.max_running + 1):
        log.engine.prefill(log.part(number))
    assert log.engine.running == COSTS.max_running
    assert len(log.run()) == COSTS.max_running + 1


def test_discarded_part_is_not_prefilled():
    log = Log()
    part = log.part("left")
    log.engine.prefill(part)
    log.engine.discard(part)
    assert log.run() == []
