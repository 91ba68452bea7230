"""The stand-in engine's HTTP interface."""

import asyncio
import json
from typing import Any

from returns.result import Failure, Success
from tornado.iostream import StreamClosedError
from tornado.web import Application

from .engine import Engine, apply_faults
from .engine_core import Arrival, Overrun, Refusal, Stream
from .web import JsonHandler

MAX_LINE_TOKENS = 256


class EngineHandler(JsonHandler):
    """A handler that stands still while the engine is frozen."""

    def initialize(self, engine: Engine) -> None:
        """Take the engine."""
        self.engine = engine

    async def prepare(self) -> None:
        """Wait until the engine isn't frozen."""
        await self.engine.thawed()

    def stream_of(self, stream_id: str) -> Stream | None:
        """Return a stream, or answer that it is unknown."""
        stream = self.engine.core.streams.get(stream_id)
        if stream is None:
            self.refuse(404, "unknown_stream")
        return stream

    def answer(self, refusal: Refusal | None, **fields: Any) -> None:
        """Answer with a refusal, or with fields."""
        if refusal is not None:
            self.refuse(refusal.status, refusal.kind)
        else:
            self.reply(200, **fields)


class StatusHandler(EngineHandler):
    """``/v1/status``."""

    def get(self) -> None:
        """Return the lagging report."""
        self.reply(200, **self.engine.report())


class Feed:
    """Writes one stream's lines to one reader."""

    def __init__(self, handler: EngineHandler, stream: Stream, position: int) -> None:
        self.handler = handler
        self.engine = handler.engine
        self.core = handler.engine.core
        self.stream = stream
        self.position = position
        self.held: bytes | None = None

    async def run(self) -> None:
        """Write until the end; a reader that has gone stops it."""
        try:
            while not await self._advance():
                pass
        except StreamClosedError:
            return

    async def _advance(self) -> bool:
        await self.engine.thawed()
        if self.engine.core is not self.core:
            self.handler.cut()
            return True
        last = min(self.stream.next_index, self.position + MAX_LINE_TOKENS)
        if self.position < last:
            return await self._write_tokens(last)
        if self.stream.ended:
            await self._write_end()
            return True
        await self.engine.moved(self.stream)
        return False

    async def _write_tokens(self, last: int) -> bool:
        tokens = self.stream.tokens(self.position, last)
        line = _line(sequence=self.position, tokens=tokens)
        self.position = last
        faults = self.engine.faults
        if faults.reorder_lines > 0 and self.held is None:
            faults.reorder_lines -= 1
            self.held = line
            return False
        if faults.duplicate_lines > 0:
            faults.duplicate_lines -= 1
            line += line
        await self._write(line + (self.held or b""))
        self.held = None
        if faults.drop_streams > 0:
            faults.drop_streams -= 1
            self.handler.cut()
            return True
        return False

    async def _write_end(self) -> None:
        end = _line(
            end=True,
            total_tokens=self.stream.next_index,
            finish_reason=self.stream.finish_reason,
        )
        await self._write((self.held or b"") + end)
        self.handler.finish()

    async def _write(self, data: bytes) -> None:
        self.handler.write(data)
        await self.handler.flush()


def _line(**fields: Any) -> bytes:
    return json.dumps(fields).encode() + b"\n"


class StreamsHandler(EngineHandler):
    """``/v1/streams``."""

    def get(self) -> None:
        """List all that holds memory."""
        core = self.engine.core
        streams = [
            {
                "stream_id": one.stream_id,
                "kv_tokens": one.kv_tokens,
                "next_sequence": one.next_index,
                "state": one.state,
            }
            for one in core.streams.values()
        ]
        parts = [
            {"stream_id": stream_id, "kv_tokens": kv_tokens}
            for stream_id, kv_tokens in core.parts.items()
        ]
        imports = [
            {"handle": one.handle, "kv_tokens": one.kv_tokens}
            for one in core.imports.values()
        ]
        self.reply(
            200, boot_id=core.boot_id, streams=streams, parts=parts, imports=imports
        )

    async def post(self) -> None:
        """Start a stream and write its lines."""
        body = self.body()
        body["delivered"] = tuple(body.get("delivered", ()))
        arrival = Arrival(**body)
        match self.engine.admit(arrival):
            case Success(stream):
                self.set_header("Content-Type", "application/x-ndjson")
                await self.flush()
                await Feed(self, stream, len(arrival.delivered)).run()
            case Failure(Refusal() as refusal):
                self.answer(refusal)
            case Failure(Overrun()):
                self.cut()


class StreamHandler(EngineHandler):
    """``/v1/streams/ID``."""

    async def get(self, stream_id: str) -> None:
        """Write the lines from a sequence number on."""
        stream = self.stream_of(stream_id)
        if stream is not None:
            self.set_header("Content-Type", "application/x-ndjson")
            await self.flush()
            await Feed(self, stream, int(self.get_query_argument("from", "0"))).run()

    def delete(self, stream_id: str) -> None:
        """Cancel it."""
        stream = self.stream_of(stream_id)
        if stream is not None:
            cancelled = self.engine.cancel(stream)
            self.reply(200 if cancelled else 202, cancelled=cancelled)


class ExportHandler(EngineHandler):
    """``/v1/streams/ID/export``."""

    def post(self, stream_id: str) -> None:
        """Export the cache of a running stream."""
        stream = self.stream_of(stream_id)
        if stream is None:
            return
        core = self.engine.core
        if stream.ended:
            self.refuse(409, "ended")
            return
        self.reply(
            200,
            handle=f"{core.boot_id}-{stream_id}",
            kv_tokens=stream.kv_tokens,
            data=core.export(stream),
        )


class HoldsHandler(EngineHandler):
    """``/v1/parts`` and ``/v1/imports``."""

    def post(self, kind: str) -> None:
        """Hold memory."""
        body = self.body()
        core = self.engine.core
        if kind == "parts":
            self.answer(core.hold_part(**body), held=True)
        else:
            self.answer(core.hold_import(**body), held=True)


class HoldHandler(EngineHandler):
    """``/v1/parts/ID`` and ``/v1/imports/HANDLE``."""

    def delete(self, kind: str, name: str) -> None:
        """Free memory."""
        core = self.engine.core
        holds: dict[str, Any] = core.parts if kind == "parts" else core.imports
        if name not in holds:
            self.refuse(404, "unknown")
            return
        del holds[name]
        self.reply(200, cancelled=True)


class OrdersHandler(EngineHandler):
    """``/v1/orders``."""

    async def post(self) -> None:
        """Obey an order."""
        body = self.body()
        fencing = int(body["fencing"])
        core = self.engine.core
        if not self._fenced(fencing):
            return
        match body["action"]:
            case "load":
                core.loading = True
                await asyncio.sleep(self.engine.options.load_s)
                await self.engine.thawed()
                core.loading = False
                if core is not self.engine.core:
                    self.cut()
                    return
                if not self._fenced(fencing):
                    return
                self._load(body["model"], body["version"])
            case "unload":
                self._load("", "")
            case "set_role":
                core.role = body["role"]
            case _:
                self.refuse(400, "unknown_action")
                return
        self.reply(200, model=core.model, version=core.version, role=core.role)

    def _fenced(self, fencing: int) -> bool:
        core = self.engine.core
        if not self.engine.options.fencing:
            return True
        if fencing < core.highest_fencing:
            self.refuse(409, "stale_fencing")
            return False
        core.highest_fencing = fencing
        return True

    def _load(self, model: str, version: str) -> None:
        cut = self.engine.core.load(model, version, self.engine.now_s())
        self.engine.wake(cut)


class CacheEventsHandler(EngineHandler):
    """``/v1/cache-events``."""

    def get(self) -> None:
        """Return the events that can be read by now."""
        from_sequence = int(self.get_query_argument("from", "1"))
        cache = self.engine.core.cache
        events = cache.events(from_sequence, self.engine.now_s())
        last = events[-1].sequence + 1 if events else from_sequence
        self.reply(
            200,
            events=[
                {
                    "sequence": event.sequence,
                    "block_hash": event.block_hash,
                    "stored": event.stored,
                }
                for event in events
            ],
            next=last,
        )


class FaultsHandler(EngineHandler):
    """``/faults``, also while the engine is frozen."""

    async def prepare(self) -> None:
        """Don't wait."""

    def post(self) -> None:
        """Switch faults on or off."""
        faults = self.body()
        self.reply(200)
        apply_faults(self.engine, faults)


def engine_application(engine: Engine) -> Application:
    """Return the routes of an engine."""
    take = {"engine": engine}
    return Application(
        [
            (r"/v1/status", StatusHandler, take),
            (r"/v1/streams", StreamsHandler, take),
            (r"/v1/streams/([^/]+)", StreamHandler, take),
            (r"/v1/streams/([^/]+)/export", ExportHandler, take),
            (r"/v1/(parts|imports)", HoldsHandler, take),
            (r"/v1/(parts|imports)/([^/]+)", HoldHandler, take),
            (r"/v1/orders", OrdersHandler, take),
            (r"/v1/cache-events", CacheEventsHandler, take),
            (r"/faults", FaultsHandler, take),
        ],
        log_function=lambda handler: None,
    )
