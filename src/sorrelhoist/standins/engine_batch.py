"""Continuous batching of the stand-in engine: plans and applies batch steps."""

import attrs

from .engine_core import EngineCore
from .engine_model import CostModel
from .engine_stream import Stream


@attrs.frozen
class Step:
    """One planned batch step: prefill chunks, decoding streams and duration."""

    chunks: tuple[tuple[Stream, int], ...]
    decoding: tuple[Stream, ...]
    duration_s: float


@attrs.frozen
class StepResult:
    """Result of a batch step.

    Parameters
    ----------
    moved : tuple of Stream
        Streams that have new tokens or have ended.
    fatal : bool
        Whether a poison request crashes the engine.
    """

    moved: tuple[Stream, ...]
    fatal: bool


def _scheduling_key(stream: Stream) -> tuple[int, int]:
    return stream.priority, stream.rank


def plan(core: EngineCore, cost: CostModel, slow_factor: float) -> Step | None:
    """Return the next step, or None when there is nothing to do.

    Each step prefills up to one chunk, lower priority numbers first, and decodes
    one token for each stream whose prefill is complete.
    """
    batch = _fill_batch(core)
    chunks = _plan_chunks(core, batch)
    decoding = tuple(stream for stream in batch if not stream.remaining_prefill_tokens)
    if not chunks and not decoding:
        return None
    work_tokens = sum(tokens / stream.group_size for stream, tokens in chunks)
    duration_s = cost.step_s(work_tokens, len(decoding), core.cold, slow_factor)
    return Step(chunks, decoding, duration_s)


def _fill_batch(core: EngineCore) -> list[Stream]:
    running = list(core.running.values())
    free = core.options.max_running_requests - sum(one.in_batch for one in running)
    waiting = sorted((one for one in running if not one.in_batch), key=_scheduling_key)
    for stream in waiting[: max(free, 0)]:
        stream.in_batch = True
    return sorted((one for one in running if one.in_batch), key=_scheduling_key)


def _plan_chunks(
    core: EngineCore, batch: list[Stream]
) -> tuple[tuple[Stream, int], ...]:
    budget = float(core.options.chunk_tokens)
    chunks = []
    for stream in batch:
        if budget < 1.0:
            break
        if not stream.remaining_prefill_tokens:
            continue
        _start_prefill(core, stream)
        tokens = min(stream.remaining_prefill_tokens, int(budget * stream.group_size))
        chunks.append((stream, tokens))
        budget -= tokens / stream.group_size
    return tuple(chunks)


def _start_prefill(core: EngineCore, stream: Stream) -> None:
    if stream.started:
        return
    stream.started = True
    # The last token is always computed: it produces the first output token.
    hit_tokens = min(core.cache.hit_tokens(stream.blocks), stream.context_tokens - 1)
    stream.computed_tokens = max(stream.computed_tokens, hit_tokens)


def apply(core: EngineCore, step: Step, now_s: float) -> StepResult:
    """Apply a finished step to the state.

    Streams that were cancelled during the step are skipped.
    """
    moved = []
    fatal = False
    for stream, tokens in step.chunks:
        if stream.ended:
            continue
        fatal = fatal or stream.fatal
        stream.computed_tokens += tokens
        if not stream.remaining_prefill_tokens:
            core.cache.store(stream.blocks, now_s)
    for stream in step.decoding:
        if stream.ended:
            continue
        if stream.next_sequence < stream.output_tokens:
            stream.next_sequence += 1
        if stream.next_sequence >= stream.output_tokens:
            core.complete(stream, now_s)
        moved.append(stream)
    return StepResult(tuple(moved), fatal)
