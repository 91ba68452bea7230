"""KV cache, batch and prefix cache of the stand-in engine against simple oracles."""

from random import Random

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from returns.result import Success

from sorrelhoist.standins import engine_batch
from sorrelhoist.standins.engine_core import ColdOverload, EngineCore, Part
from sorrelhoist.standins.engine_model import CostModel
from sorrelhoist.standins.engine_options import EngineOptions
from sorrelhoist.standins.engine_stream import StreamRequest
from sorrelhoist.standins.prefix_cache import BLOCK_TOKENS, PrefixCache, block_hashes

COST = CostModel(prefill_tokens_per_s=1000.0, decode_step_s=0.01, decode_growth=0.1)
OPTIONS = EngineOptions(
    model="m",
    kv_capacity_tokens=1000,
    chunk_tokens=100,
    max_running_requests=3,
    prefix_cache_tokens=0,
    cold_running_requests=2,
    warm_work=2,
    retain_s=5.0,
)


def core_of(options=OPTIONS, cold=False):
    cache = PrefixCache(options.prefix_cache_tokens, 0.0, 0.0, Random(0))
    return EngineCore("boot", options, "m", "3", cold, 0.0, cache)


def admit(core, stream_id, prompt_tokens, output_tokens=1, **more):
    prompt = "x" * (prompt_tokens * 4)
    return core.admit(StreamRequest(stream_id, "m", prompt, output_tokens, **more), "")


def step(core, now_s=0.0, slow_factor=1.0):
    planned = engine_batch.plan(core, COST, slow_factor)
    if planned is not None:
        engine_batch.apply(core, planned, now_s)
    return planned


def ids(planned):
    chunks = {stream.stream_id: tokens for stream, tokens in planned.chunks}
    return chunks, [stream.stream_id for stream in planned.decoding]


def test_short_prompt_of_higher_priority_is_prefilled_first_in_the_next_chunk():
    core = core_of()
    admit(core, "long", 300, priority=1)
    assert ids(step(core)) == ({"long": 100}, [])
    admit(core, "short", 30, priority=0)
    assert ids(step(core)) == ({"short": 30, "long": 70}, [])
    assert ids(step(core)) == ({"long": 100}, ["short"])


def test_prefill_rate_scales_with_group_size():
    core = core_of()
    admit(core, "a", 300, group_size=3)
    planned = step(core)
    assert ids(planned) == ({"a": 300}, [])
    assert planned.duration_s == pytest.approx(0.1)


@pytest.mark.parametrize(
    ("cold", "slow_factor", "duration_s"),
    [(False, 1.0, 0.1), (True, 1.0, 0.3), (False, 5.0, 0.5)],
)
def test_cold_and_slow_steps_take_longer(cold, slow_factor, duration_s):
    core = core_of(cold=cold)
    admit(core, "a", 300)
    planned = step(core, slow_factor=slow_factor)
    assert planned.duration_s == pytest.approx(duration_s)


def test_decode_step_duration_grows_with_the_batch():
    core = core_of()
    for name in "abcd":
        admit(core, name, 1, output_tokens=9)
    step(core)
    planned = step(core)
    # The fourth stream waits: the batch has three slots.
    assert ids(planned) == ({}, ["a", "b", "c"])
    assert planned.duration_s == pytest.approx(0.012)


def test_stream_cancelled_during_a_step_stays_cancelled():
    core = core_of()
    admit(core, "a", 10)
    step(core)
    planned = engine_batch.plan(core, COST, 1.0)
    core.cancel(core.streams["a"], 0.0)
    assert engine_batch.apply(core, planned, 0.0).moved == ()
    assert not core.streams


def test_cached_prefix_is_not_prefilled_except_for_its_last_token():
    core = core_of(attrs.evolve(OPTIONS, prefix_cache_tokens=512, chunk_tokens=1000))
    for name, computed_tokens in (("a", 512), ("b", 1)):
        admit(core, name, 512)
        assert ids(step(core)) == ({name: computed_tokens}, [])
        step(core)


def test_prefix_whose_first_block_was_evicted_is_a_cache_miss():
    cache = PrefixCache(2 * BLOCK_TOKENS, 0.0, 0.0, Random(0))
    hashes = block_hashes("a" * (2 * BLOCK_TOKENS * 4))
    cache.store(hashes, 0.0)
    assert cache.hit_tokens(hashes) == 2 * BLOCK_TOKENS
    cache.store(block_hashes("b" * (BLOCK_TOKENS * 4)), 0.0)
    assert cache.hit_tokens(hashes[1:]) == BLOCK_TOKENS
    assert cache.hit_tokens(hashes) == 0


def test_cold_engine_crashes_above_its_capacity():
    core = core_of(cold=True)
    admit(core, "a", 1)
    admit(core, "b", 1)
    assert isinstance(admit(core, "c", 1).failure(), ColdOverload)


def test_cold_start_ends_after_warm_time():
    core = core_of(attrs.evolve(OPTIONS, warm_s=10.0), cold=True)
    core.run_housekeeping(9.9)
    assert core.cold
    core.run_housekeeping(10.0)
    assert not core.cold


class CoreMachine(RuleBasedStateMachine):
    """The KV cache used matches its holders; streams generate all their tokens."""

    def __init__(self):
        super().__init__()
        self.core = core_of()
        self.now_s = 0.0
        self.held = {}
        self.wanted = {}

    def _free_tokens(self):
        return OPTIONS.kv_capacity_tokens - sum(self.held.values())

    @rule(
        name=st.sampled_from("abcdefgh"),
        prompt_tokens=st.integers(0, 400),
        output_tokens=st.integers(0, 8),
        priority=st.integers(0, 1),
        group_size=st.integers(1, 3),
    )
    def admit(self, name, prompt_tokens, output_tokens, priority, group_size):
        tokens = -(-(prompt_tokens + output_tokens) // group_size)
        fits = tokens <= self._free_tokens() and name not in self.core.streams
        result = admit(
            self.core,
            name,
            prompt_tokens,
            output_tokens,
            priority=priority,
            group_size=group_size,
        )
        assert isinstance(result, Success) == fits
        if fits:
            self.held["stream", name] = tokens
            self.wanted[name] = output_tokens

    @rule(name=st.sampled_from("ab"), tokens=st.integers(0, 600))
    def hold_part(self, name, tokens):
        fits = tokens <= self._free_tokens() and ("part", name) not in self.held
        assert (self.core.hold_part(Part(name, tokens)) is None) == fits
        if fits:
            self.held["part", name] = tokens

    @rule(name=st.sampled_from("ab"))
    def free_part(self, name):
        part = self.core.parts.pop(name, None)
        assert (part is not None) == (self.held.pop(("part", name), None) is not None)

    @rule(name=st.sampled_from("abcdefgh"))
    def cancel(self, name):
        if name in self.core.streams:
            self.core.cancel(self.core.streams[name], self.now_s)
            self.held.pop(("stream", name), None)

    @rule()
    def step(self):
        running = dict(self.core.running)
        planned = step(self.core, self.now_s)
        assert (planned is None) == (not running)
        if planned is not None:
            work = sum(tokens / one.group_size for one, tokens in planned.chunks)
            assert work <= OPTIONS.chunk_tokens
        for name, stream in running.items():
            if stream.ended:
                assert stream.next_sequence == self.wanted[name]
                del self.held["stream", name]

    @rule(elapsed_s=st.floats(0, 4))
    def run_housekeeping(self, elapsed_s):
        self.now_s += elapsed_s
        ended = dict(self.core.ended)
        self.core.run_housekeeping(self.now_s)
        kept = {n for n, one in ended.items() if one.ended_at_s >= self.now_s - 5.0}
        assert set(self.core.ended) == kept

    @rule()
    def run_to_completion(self):
        while self.core.running:
            self.step()

    @invariant()
    def used_kv_cache_matches_holders(self):
        assert self.core.kv_used_tokens == sum(self.held.values())
        assert 0 <= self.core.kv_free_tokens
        assert sum(one.in_batch for one in self.core.running.values()) <= 3


TestFuzzCore = CoreMachine.TestCase


@given(st.lists(st.tuples(st.integers(0, 3), st.integers(1, 6)), max_size=20))
def test_fuzz_prefix_cache_holds_at_most_its_capacity(stores):
    cache = PrefixCache(5 * BLOCK_TOKENS, 1.0, 0.3, Random(1))
    stored = set()
    for now_s, (letter, blocks) in enumerate(stores):
        hashes = block_hashes("abcd"[letter] * (blocks * BLOCK_TOKENS * 4 + 3))
        assert len(hashes) == blocks
        cache.store(hashes, float(now_s))
        stored |= set(hashes)
        held = [one for one in stored if cache.hit_tokens((one,))]
        assert len(held) <= 5
        assert cache.hit_tokens(hashes) <= 5 * BLOCK_TOKENS
        events = cache.events(1, float(now_s))
        assert all(event.time_s <= now_s - 1.0 for event in events)
        sequences = [event.sequence for event in events]
        assert sequences == sorted(set(sequences))
