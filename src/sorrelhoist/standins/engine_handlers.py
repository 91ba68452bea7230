"""HTTP interface of the stand-in engine."""

import asyncio
from collections.abc import Iterable
from typing import Any

import attrs
from returns.result import Failure, Success
from tornado.web import Application

from .engine import Engine
from .engine_core import ColdOverload, Export, Part, Refusal
from .engine_options import EngineFaultChange
from .engine_stream import Stream, StreamRequest
from .engine_stream_writer import StreamLineWriter
from .web import JsonHandler


@attrs.frozen
class Order:
    """An order; `action` decides which of the other fields apply."""

    fencing: int
    action: str
    model: str = ""
    version: str = ""
    role: str = ""


@attrs.frozen
class ImportHeld:
    """Answer to an import: the handle and the KV cache that it holds."""

    handle: str
    kv_tokens: int


@attrs.frozen
class OrderResult:
    """Answer to an order: the model and role after it."""

    model: str
    version: str
    role: str


class EngineHandler(JsonHandler):
    """Base of the handlers, which wait while the engine is frozen."""

    def initialize(self, engine: Engine) -> None:
        """Set the engine."""
        self.engine = engine

    async def prepare(self) -> None:
        """Wait until the engine isn't frozen."""
        await self.engine.wait_until_unfrozen()
        self.engine.run_housekeeping()

    def stream_of(self, stream_id: str) -> Stream | None:
        """Return a stream, or None after a 404 answer."""
        stream = self.engine.core.streams.get(stream_id)
        if stream is None:
            self.refuse(404, "unknown_stream")
        return stream

    def answer(self, refusal: Refusal | None, answer: Any = None) -> None:
        """Send the refusal if there is one, else the answer."""
        if refusal is not None:
            self.refuse(refusal.status, refusal.kind)
        else:
            self.reply_with(answer)


class StatusHandler(EngineHandler):
    """``/v1/status``."""

    def get(self) -> None:
        """Return the last status snapshot."""
        self.reply_with(self.engine.report())


class StreamsHandler(EngineHandler):
    """``/v1/streams``."""

    def get(self) -> None:
        """List the streams, parts and imports, with the KV cache of each."""
        core = self.engine.core
        self.reply(
            200,
            boot_id=core.boot_id,
            streams=_listed(
                core.streams.values(), "stream_id", "next_sequence", "state"
            ),
            parts=_listed(core.parts.values(), "stream_id"),
            imports=_listed(core.imports.values(), "handle"),
        )

    async def post(self) -> None:
        """Start a stream and write its lines."""
        request = self.body(StreamRequest)
        match self.engine.admit(request):
            case Success(stream):
                await StreamLineWriter(
                    self, self.engine, stream, len(request.delivered)
                ).run()
            case Failure(Refusal() as refusal):
                self.answer(refusal)
            case Failure(ColdOverload()):
                self.cut()


def _listed(held: Iterable[Any], *names: str) -> list[dict[str, Any]]:
    return [
        {name: getattr(one, name) for name in ("kv_tokens", *names)} for one in held
    ]


class StreamHandler(EngineHandler):
    """``/v1/streams/ID``."""

    async def get(self, stream_id: str) -> None:
        """Write the lines from a sequence number onwards."""
        stream = self.stream_of(stream_id)
        if stream is not None:
            await StreamLineWriter(
                self, self.engine, stream, self.query_int("from", 0)
            ).run()

    def delete(self, stream_id: str) -> None:
        """Cancel the stream."""
        stream = self.stream_of(stream_id)
        if stream is not None:
            cancelled = self.engine.cancel(stream)
            self.reply(200 if cancelled else 202, cancelled=cancelled)


class ExportHandler(EngineHandler):
    """``/v1/streams/ID/export``."""

    def post(self, stream_id: str) -> None:
        """Export the KV cache of a running stream."""
        stream = self.stream_of(stream_id)
        if stream is None:
            return
        if stream.ended:
            self.refuse(409, "ended")
        else:
            self.reply_with(self.engine.core.export(stream))


class HoldsHandler(EngineHandler):
    """``/v1/parts`` and ``/v1/imports``."""

    def post(self, kind: str) -> None:
        """Reserve KV cache for a part, or store an import."""
        core = self.engine.core
        if kind == "parts":
            part = self.body(Part)
            self.answer(core.hold_part(part), part)
        else:
            export = self.body(Export)
            self.answer(
                core.hold_import(export), ImportHeld(export.handle, export.kv_tokens)
            )


class HoldHandler(EngineHandler):
    """``/v1/parts/ID`` and ``/v1/imports/HANDLE``."""

    def delete(self, kind: str, name: str) -> None:
        """Release the KV cache of a part or an import."""
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
        """Execute an order, unless its fencing number is stale."""
        order = self.body(Order)
        if not self._fenced(order.fencing):
            return
        match order.action:
            case "load":
                await self._load(order)
            case "unload":
                self.engine.load("", "")
                self._done()
            case "set_role":
                self.engine.core.role = order.role
                self._done()
            case _:
                self.refuse(400, "unknown_action")

    async def _load(self, order: Order) -> None:
        core = self.engine.core
        core.loads_running += 1
        await asyncio.sleep(self.engine.options.load_s)
        await self.engine.wait_until_unfrozen()
        core.loads_running -= 1
        if core is not self.engine.core:
            self.cut()
        elif self._fenced(order.fencing):
            self.engine.load(order.model, order.version)
            self._done()

    def _done(self) -> None:
        core = self.engine.core
        self.reply_with(OrderResult(core.model, core.version, core.role))

    def _fenced(self, fencing: int) -> bool:
        core = self.engine.core
        if not self.engine.options.fencing:
            return True
        if fencing < core.highest_fencing:
            self.refuse(409, "stale_fencing")
            return False
        core.highest_fencing = fencing
        return True


class CacheEventsHandler(EngineHandler):
    """``/v1/cache-events``."""

    def get(self) -> None:
        """Return the cache events that are readable by now."""
        from_sequence = self.query_int("from", 1)
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
    """``/faults``, which also answers while the engine is frozen."""

    async def prepare(self) -> None:
        """Override the wait, so that a test can end a freeze."""

    def post(self) -> None:
        """Apply a change of faults."""
        faults = self.body(EngineFaultChange)
        self.reply(200)
        self.engine.inject_faults(faults)


def engine_application(engine: Engine) -> Application:
    """Return the web application of an engine."""
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
