"""Reading one topic of a large store."""

import asyncio

import attrs
import pytest

from sorrelhoist.exceptions import PlatformError
from sorrelhoist.platform import topic_poller
from sorrelhoist.platform.store import KeyedRecord, Records, StorePosition
from sorrelhoist.platform.topic_poller import TopicPoller
from tests.virtual_loop import run_virtual

ANSWER_S = 0.01


@attrs.define(eq=False, slots=False)
class LogStore:
    """A topic whose keys are written in turn, 100 times a second."""

    keys: int = 200
    answer_records: int = 50
    calls: list = attrs.field(factory=list)

    def _end(self):
        return self.keys + int(asyncio.get_running_loop().time() * 100)

    def _records(self, offsets):
        return tuple(KeyedRecord(f"k{offset % self.keys}", b"v") for offset in offsets)

    async def newest(self, topic, partial):
        self.calls.append("newest")
        await asyncio.sleep(ANSWER_S)
        end = self._end()
        return Records(self._records(range(end - self.keys, end)), StorePosition(end))

    async def read(self, topic, position, wait_s=0.0):
        self.calls.append("read")
        await asyncio.sleep(ANSWER_S)
        end = min(self._end(), position.offset + self.answer_records)
        return Records(
            self._records(range(position.offset, end)),
            StorePosition(end),
            end == self._end(),
        )


@attrs.define(eq=False)
class Reader:
    """A poller, and when it took its state for that of the store."""

    store: LogStore
    is_confirmed: bool = False
    completed_s: list = attrs.field(factory=list)
    poller: TopicPoller = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.poller = TopicPoller(
            self.store,
            "topic",
            lambda record: None,
            lambda batch, is_restored: None,
            self.completed,
            is_confirmed=lambda: self.is_confirmed,
            interval_s=1.0,
            max_gap_s=2.5,
        )

    def completed(self, sent_s):
        # What was written up to 20 ms before the read was sent is there.
        assert self.poller.position is None or (
            self.store._end() - self.poller.position.offset <= 5
        )
        self.completed_s.append(sent_s)


@pytest.fixture
def virtual_boot_time(monkeypatch):
    monkeypatch.setattr(
        topic_poller, "boot_time_s", lambda: asyncio.get_running_loop().time()
    )


def run_reader(reader, *steps):
    async def main():
        task = asyncio.ensure_future(reader.poller.run())
        for duration_s, is_confirmed in steps:
            reader.is_confirmed = is_confirmed
            await asyncio.sleep(duration_s)
        task.cancel()

    run_virtual(main())


def test_the_state_is_not_current_before_all_records_were_read(virtual_boot_time):
    # 100 records a second, 50 in an answer: one answer a second would never catch up.
    reader = Reader(LogStore())
    run_reader(reader, (4.0, False))
    assert len(reader.completed_s) >= 3
    assert reader.store.calls.count("read") >= 6


def test_after_a_long_confirmation_the_newest_records_are_read(virtual_boot_time):
    # 1,000 records were written meanwhile, by 200 endpoints.
    reader = Reader(LogStore())
    run_reader(reader, (0.5, False), (10.0, True), (0.5, False))
    assert reader.store.calls == ["newest", "newest"]


@pytest.mark.parametrize("outage_s, known_after_s", [(0.5, 0.0), (6.0, 6.0)])
def test_a_read_is_as_old_as_its_first_page(virtual_boot_time, outage_s, known_after_s):
    # The first page was read before an outage, the last one after it.
    store = LogStore()
    newest, begun_s = store.newest, []

    async def newest_in_two(topic, partial):
        now_s = asyncio.get_running_loop().time()
        if not begun_s:
            begun_s.append(now_s)
            partial.records.append(KeyedRecord("k0", b"v"))
        if now_s < begun_s[0] + outage_s:
            raise PlatformError("no answer")
        partial.clear()
        return await newest(topic, partial)

    store.newest = newest_in_two
    reader = Reader(store)
    run_reader(reader, (outage_s + 2.0, False))
    first_s = reader.completed_s[0] - begun_s[0]
    assert known_after_s <= first_s <= known_after_s + 1.0


def test_after_a_short_confirmation_the_records_since_then_are_read(virtual_boot_time):
    reader = Reader(LogStore())
    run_reader(reader, (0.5, False), (1.5, True), (0.3, False))
    assert reader.store.calls[:2] == ["newest", "read"]
    assert "newest" not in reader.store.calls[1:]
