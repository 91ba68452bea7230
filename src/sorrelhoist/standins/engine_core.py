"""State of the stand-in engine between two boots, without I/O."""

import json
from collections import ChainMap

import attrs
from returns.result import Failure, Result, Success

from .engine_model import token_text
from .engine_options import EngineOptions
from .engine_stream import Stream, StreamRequest
from .prefix_cache import PrefixCache


@attrs.frozen
class Refusal:
    """Refusal of a request, which had no effect; `kind` names the reason."""

    status: int
    kind: str


@attrs.frozen
class ColdOverload:
    """More requests than a cold engine has capacity for; the engine crashes."""


@attrs.frozen
class Part:
    """KV cache reserved for a prompt that is led by another engine."""

    stream_id: str
    kv_tokens: int


@attrs.frozen
class Export:
    """Exported KV cache of a stream; only the importing engine reads `data`."""

    handle: str
    kv_tokens: int
    data: str


@attrs.frozen
class Import:
    """Imported KV cache, with the part of the prompt that it covers."""

    handle: str
    kv_tokens: int
    digest: str
    prefilled_tokens: int


OUT_OF_MEMORY = Refusal(503, "out_of_memory")
EXISTS = Refusal(409, "exists")


@attrs.define(eq=False)
class EngineCore:
    """State of the engine between two boots.

    Parameters
    ----------
    boot_id : str
        Different for each boot.
    options : EngineOptions
        Capacity, speed and cold start of the engine.
    model, version : str
        The loaded model; empty when none is loaded.
    cold : bool
        Whether the engine is in a cold start.
    cold_since_s : float
        When the cold start began.
    cache : PrefixCache
        The prefix cache of this boot.
    running, ended : dict of str to Stream
        Streams by id; ended ones can still be read for `retain_s`.
    """

    boot_id: str
    options: EngineOptions
    model: str
    version: str
    cold: bool
    cold_since_s: float
    cache: PrefixCache
    role: str = ""
    loads_running: int = 0
    highest_fencing: int = 0
    running: dict[str, Stream] = attrs.field(factory=dict)
    ended: dict[str, Stream] = attrs.field(factory=dict)
    parts: dict[str, Part] = attrs.field(factory=dict)
    imports: dict[str, Import] = attrs.field(factory=dict)
    warm_work_done: int = 0
    _next_rank: int = 0

    @property
    def streams(self) -> "ChainMap[str, Stream]":
        """Running and ended streams by id."""
        return ChainMap(self.running, self.ended)

    @property
    def kv_used_tokens(self) -> int:
        """KV cache held by streams, parts and imports."""
        holders = (self.running, self.parts, self.imports)
        return sum(one.kv_tokens for held in holders for one in held.values())

    @property
    def kv_free_tokens(self) -> int:
        """Free KV cache."""
        return self.options.kv_capacity_tokens - self.kv_used_tokens

    def admit(
        self, request: StreamRequest, crash_on_text: str
    ) -> Result[Stream, Refusal | ColdOverload]:
        """Admit a stream and reserve its KV cache, or refuse it."""
        refusal = self._refusal(request)
        if refusal is not None:
            return Failure(refusal)
        stream = Stream.from_request(request, self._next_rank, crash_on_text)
        imported = self.imports.get(request.import_handle)
        mismatch = _mismatch(stream, request, imported)
        if mismatch is not None:
            return Failure(mismatch)
        imported_tokens = imported.kv_tokens if imported else 0
        if stream.kv_tokens > self.kv_free_tokens + imported_tokens:
            return Failure(OUT_OF_MEMORY)
        if self.cold and len(self.running) >= self.options.cold_running_requests:
            refuses = self.options.cold_refuses
            return Failure(Refusal(503, "cold") if refuses else ColdOverload())
        return Success(self._add_stream(stream, imported))

    def _refusal(self, request: StreamRequest) -> Refusal | None:
        if self.loads_running:
            return Refusal(503, "loading")
        if not self.model or request.model != self.model:
            return Refusal(404, "unknown_model")
        if request.stream_id in self.streams:
            return EXISTS
        if request.import_handle and request.import_handle not in self.imports:
            return Refusal(404, "unknown_import")
        return None

    def _add_stream(self, stream: Stream, imported: Import | None) -> Stream:
        if imported is not None:
            del self.imports[imported.handle]
            stream.computed_tokens = min(
                imported.prefilled_tokens, stream.context_tokens
            )
        self._next_rank += 1
        self.running[stream.stream_id] = stream
        return stream

    def hold_part(self, part: Part) -> Refusal | None:
        """Reserve KV cache for a prompt that is led by another engine."""
        if part.stream_id in self.parts:
            return EXISTS
        if part.kv_tokens > self.kv_free_tokens:
            return OUT_OF_MEMORY
        self.parts[part.stream_id] = part
        return None

    def export(self, stream: Stream) -> Export:
        """Export the KV cache of a running stream, which keeps running."""
        generated_tokens = stream.next_sequence - stream.first_sequence
        data = {
            "digest": stream.digest,
            "prefilled_tokens": stream.computed_tokens + generated_tokens,
        }
        handle = f"{self.boot_id}-{stream.stream_id}"
        return Export(handle, stream.kv_tokens, json.dumps(data))

    def hold_import(self, export: Export) -> Refusal | None:
        """Store an exported KV cache until a stream names its handle."""
        if export.handle in self.imports:
            return EXISTS
        if export.kv_tokens > self.kv_free_tokens:
            return OUT_OF_MEMORY
        try:
            held = Import(export.handle, export.kv_tokens, **json.loads(export.data))
        except (TypeError, ValueError):
            return Refusal(400, "invalid")
        self.imports[held.handle] = held
        return None

    def complete(self, stream: Stream, now_s: float) -> None:
        """End a stream that has generated all its tokens."""
        stream.end("stop", now_s)
        self.ended[stream.stream_id] = self.running.pop(stream.stream_id)
        if self.cold:
            self.warm_work_done += 1

    def cancel(self, stream: Stream, now_s: float) -> None:
        """End a stream, if it is running, and remove it."""
        if not stream.ended:
            stream.end("cancelled", now_s)
        self.running.pop(stream.stream_id, None)
        self.ended.pop(stream.stream_id, None)

    def become_cold(self, now_s: float) -> None:
        """Enter a cold start."""
        self.cold = True
        self.cold_since_s = now_s
        self.warm_work_done = 0

    def load(self, model: str, version: str, now_s: float) -> list[Stream]:
        """Replace the model, clear the KV cache and return the cancelled streams."""
        cut = list(self.running.values())
        for stream in cut:
            self.cancel(stream, now_s)
        self.parts.clear()
        self.imports.clear()
        self.model, self.version = model, version
        self.become_cold(now_s)
        return cut

    def run_housekeeping(self, now_s: float) -> None:
        """End a cold start that is over and discard expired streams."""
        options = self.options
        warm_by_time = options.warm_s and now_s - self.cold_since_s >= options.warm_s
        if self.warm_work_done >= options.warm_work or warm_by_time:
            self.cold = False
        oldest_s = now_s - options.retain_s
        # `ended` is ordered by the time of the end: the oldest stream comes first.
        for stream in list(self.ended.values()):
            if stream.ended_at_s is None or stream.ended_at_s >= oldest_s:
                break
            del self.ended[stream.stream_id]


def _mismatch(
    stream: Stream, request: StreamRequest, imported: Import | None
) -> Refusal | None:
    if imported is not None and imported.digest != stream.digest:
        return Refusal(409, "import_mismatch")
    delivered = enumerate(request.delivered)
    if any(text != token_text(index, stream.digest) for index, text in delivered):
        return Refusal(409, "delivered_mismatch")
    return None
