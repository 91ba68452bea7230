"""State of the stand-in engine: memory, batch, boot; no input or output.

A `Core` lives from one boot to the next.
"""

import json
from random import Random

import attrs
from returns.result import Failure, Result, Success

from .engine_model import (
    prompt_digest,
    prompt_tokens,
    token_text,
)
from .engine_options import EngineOptions
from .prefix_cache import PrefixCache, block_hashes


@attrs.frozen
class Refusal:
    """Nothing was done, for the reason that `kind` names."""

    status: int
    kind: str


@attrs.frozen
class Overrun:
    """A cold engine was given more than it bears: it dies."""


@attrs.frozen
class Arrival:
    """A stream as asked for."""

    stream_id: str
    model: str
    prompt: str
    output_tokens: int
    priority: int = 0
    delivered: tuple[str, ...] = ()
    group_id: str = ""
    group_size: int = 1
    import_handle: str = ""


@attrs.frozen
class Import:
    """An imported cache and what of it is prefilled."""

    handle: str
    kv_tokens: int
    digest: str
    prefilled_tokens: int


@attrs.define(eq=False)
class Stream:
    """One stream, running or ended.

    Parameters
    ----------
    rank : int
        Order of arrival.
    to_prefill_tokens : int
        Left to prefill.
    next_index : int
        The output token that comes next.
    kv_tokens : int
        Memory held; 0 once it has ended.
    ended_at_s : float, optional
        When it ended.
    finish_reason : str
        ``stop`` or ``cancelled``, once it has ended.
    """

    stream_id: str
    rank: int
    digest: str
    blocks: tuple[int, ...]
    fatal: bool
    context_tokens: int
    to_prefill_tokens: int
    output_tokens: int
    next_index: int
    kv_tokens: int
    priority: int
    group_size: int
    started: bool = False
    in_batch: bool = False
    ended_at_s: float | None = None
    finish_reason: str = ""

    @property
    def ended(self) -> bool:
        """Whether it makes no more tokens."""
        return self.ended_at_s is not None

    @property
    def state(self) -> str:
        """Its state in one word."""
        if self.ended:
            return "ended"
        if self.to_prefill_tokens:
            return "prefill" if self.started else "waiting"
        return "decode"

    def tokens(self, first: int, last: int) -> list[str]:
        """Return the text of tokens `first` up to, not including, `last`."""
        return [token_text(index, self.digest) for index in range(first, last)]


@attrs.frozen
class Step:
    """What the batch does next, and how long that takes."""

    chunks: tuple[tuple[Stream, int], ...]
    decoding: tuple[Stream, ...]
    duration_s: float


@attrs.define(eq=False)
class Core:
    """The engine between two boots.

    Parameters
    ----------
    boot_id : str
        Differs from boot to boot.
    options : EngineOptions
        How the engine is built.
    model, version : str
        Loaded now.
    cold : bool
        Whether it is in a cold start.
    cold_since_s : float
        When the cold start began.
    cache : PrefixCache
        Of this boot.
    """

    boot_id: str
    options: EngineOptions
    model: str
    version: str
    cold: bool
    cold_since_s: float
    cache: PrefixCache
    role: str = ""
    loading: bool = False
    highest_fencing: int = 0
    streams: dict[str, Stream] = attrs.field(factory=dict)
    parts: dict[str, int] = attrs.field(factory=dict)
    imports: dict[str, Import] = attrs.field(factory=dict)
    warm_work_done: int = 0
    _next_rank: int = 0

    @classmethod
    def boot(
        cls, boot_id: str, options: EngineOptions, cold: bool, now_s: float, rng: Random
    ) -> "Core":
        """Start with empty memory."""
        cache = PrefixCache(
            options.prefix_cache_tokens,
            options.cache_event_lag_s,
            options.cache_event_loss,
            rng,
        )
        return cls(boot_id, options, options.model, options.version, cold, now_s, cache)

    @property
    def kv_used_tokens(self) -> int:
        """Memory held by streams, parts and imports."""
        streams = sum(stream.kv_tokens for stream in self.streams.values())
        imports = sum(cache.kv_tokens for cache in self.imports.values())
        return streams + sum(self.parts.values()) + imports

    @property
    def kv_free_tokens(self) -> int:
        """Memory left."""
        return self.options.kv_capacity_tokens - self.kv_used_tokens

    @property
    def running(self) -> list[Stream]:
        """Streams that have not ended, in the order of their arrival."""
        return [stream for stream in self.streams.values() if not stream.ended]

    def admit(
        self, arrival: Arrival, crash_on_text: str
    ) -> Result[Stream, Refusal | Overrun]:
        """Take a stream into memory, or refuse it."""
        imported = self.imports.get(arrival.import_handle)
        digest = prompt_digest(arrival.prompt)
        refusal = self._refusal(arrival, imported, digest)
        if refusal is not None:
            return Failure(refusal)
        stream = self._stream(arrival, digest, crash_on_text)
        held_tokens = 0
        if imported is not None:
            held_tokens = imported.kv_tokens
            stream.to_prefill_tokens -= min(
                imported.prefilled_tokens, stream.to_prefill_tokens
            )
        if stream.kv_tokens > self.kv_free_tokens + held_tokens:
            return Failure(Refusal(503, "out_of_memory"))
        if self.cold and len(self.running) >= self.options.cold_running_requests:
            return Failure(Overrun())
        self.imports.pop(arrival.import_handle, None)
        self.streams[stream.stream_id] = stream
        return Success(stream)

    def _refusal(
        self, arrival: Arrival, imported: Import | None, digest: str
    ) -> Refusal | None:
        if self.loading:
            return Refusal(503, "loading")
        if arrival.model != self.model:
            return Refusal(404, "unknown_model")
        if arrival.stream_id in self.streams:
            return Refusal(409, "exists")
        if arrival.import_handle and imported is None:
            return Refusal(404, "unknown_import")
        if imported is not None and imported.digest != digest:
            return Refusal(409, "import_mismatch")
        delivered = [token_text(i, digest) for i in range(len(arrival.delivered))]
        if delivered != list(arrival.delivered):
            return Refusal(409, "delivered_mismatch")
        return None

    def _stream(self, arrival: Arrival, digest: str, crash_on_text: str) -> Stream:
        tokens = prompt_tokens(arrival.prompt)
        total_tokens = tokens + arrival.output_tokens
        self._next_rank += 1
        return Stream(
            stream_id=arrival.stream_id,
            rank=self._next_rank,
            digest=digest,
            blocks=block_hashes(arrival.prompt),
            fatal=bool(crash_on_text) and crash_on_text in arrival.prompt,
            context_tokens=tokens,
            to_prefill_tokens=tokens + len(arrival.delivered),
            output_tokens=arrival.output_tokens,
            next_index=len(arrival.delivered),
            kv_tokens=-(-total_tokens // arrival.group_size),
            priority=arrival.priority,
            group_size=arrival.group_size,
        )

    def hold_part(self, stream_id: str, kv_tokens: int) -> Refusal | None:
        """Hold memory for a prompt that another engine leads."""
        if stream_id in self.parts:
            return Refusal(409, "exists")
        if kv_tokens > self.kv_free_tokens:
            return Refusal(503, "out_of_memory")
        self.parts[stream_id] = kv_tokens
        return None

    def export(self, stream: Stream) -> str:
        """Return the data that `hold_import` of another engine takes."""
        prefilled_tokens = stream.context_tokens - stream.to_prefill_tokens
        return json.dumps(
            {
                "digest": stream.digest,
                "prefilled_tokens": max(prefilled_tokens, 0) + stream.next_index,
            }
        )

    def hold_import(self, handle: str, kv_tokens: int, data: str) -> Refusal | None:
        """Hold an exported cache until a stream names it."""
        if handle in self.imports:
            return Refusal(409, "exists")
        if kv_tokens > self.kv_free_tokens:
            return Refusal(503, "out_of_memory")
        self.imports[handle] = Import(handle, kv_tokens, **json.loads(data))
        return None

    def end(self, stream: Stream, finish_reason: str, now_s: float) -> None:
        """End a stream and free its memory."""
        stream.kv_tokens = 0
        stream.in_batch = False
        stream.ended_at_s = now_s
        stream.finish_reason = finish_reason

    def cancel(self, stream: Stream, now_s: float) -> None:
        """End a stream, if it runs, and forget it."""
        if not stream.ended:
            self.end(stream, "cancelled", now_s)
        self.streams.pop(stream.stream_id, None)

    def become_cold(self, now_s: float) -> None:
        """Begin a cold start."""
        self.cold = True
        self.cold_since_s = now_s
        self.warm_work_done = 0

    def load(self, model: str, version: str, now_s: float) -> list[Stream]:
        """Replace the model; memory is emptied, and running streams are returned."""
        cut = self.running
        for stream in cut:
            self.cancel(stream, now_s)
        self.parts.clear()
        self.imports.clear()
        self.model, self.version = model, version
        self.become_cold(now_s)
        return cut
