"""The engine of the replay takes work as the users' engines do."""

from sorrelhoist.bench.experiments.reading_engine import Part, ReadingEngine, Writer
from sorrelhoist.bench.experiments.virtual_fleet import Clock
from sorrelhoist.bench.experiments.virtual_gateways import COSTS


class Log:
    def __init__(self):
        self.clock = Clock()
        self.engine = ReadingEngine(self.clock, COSTS)
        self.done = {}

    def part(self, name, left_ms=100.0):
        return Part(left_ms, 13.0, lambda: self.done.update({name: self.clock.now_s}))

    def run(self, seconds_s=5.0):
        self.clock.run_until(lambda: False, seconds_s)
        return list(self.done)


def test_the_newest_part_for_another_engine_goes_first_and_own_reads_last():
    log = Log()
    log.engine.read(log.part("own"))
    log.engine.help(log.part("old"))
    log.engine.help(log.part("new"))
    assert log.run() == ["new", "old", "own"]


def test_reading_slows_the_streams_beside_it():
    log = Log()
    events = []
    log.engine.write(Writer(2, lambda left: events.append(log.clock.now_s)))
    log.run()
    alone_s = events[0]
    beside = Log()
    beside.engine.write(Writer(2, lambda left: events.append(beside.clock.now_s)))
    beside.engine.help(beside.part("part", left_ms=120.0))
    beside.run()
    assert abs(events[2] - alone_s - 0.12) < 0.001


def test_no_more_prompts_run_than_the_engine_takes():
    log = Log()
    for number in range(COSTS.max_running + 1):
        log.engine.read(log.part(number))
    assert log.engine.running == COSTS.max_running
    assert len(log.run()) == COSTS.max_running + 1


def test_what_its_caller_left_is_not_read():
    log = Log()
    part = log.part("left")
    log.engine.read(part)
    log.engine.forget(part)
    assert log.run() == []
