"""Context managers that run the stand-ins on the current event loop."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Generic, TypeVar

import attrs

from .engine import Engine
from .engine_handlers import engine_application
from .engine_options import EngineOptions
from .plain_service import (
    PlainService,
    PlainServiceOptions,
    plain_service_application,
)
from .platform import Platform, PlatformOptions
from .platform_handlers import platform_application
from .server import RestartableServer

LOOPBACK = "127.0.0.1"

State = TypeVar("State")


@attrs.frozen
class Running(Generic[State]):
    """A running stand-in: its URL, its state for inspection and its server."""

    url: str
    state: State
    server: RestartableServer


@asynccontextmanager
async def running_engine(
    options: EngineOptions | None = None, port: int = 0, address: str = LOOPBACK
) -> AsyncIterator[Running[Engine]]:
    """Run a stand-in engine; port 0 picks a free port."""
    engine = Engine(options or EngineOptions())
    server = RestartableServer(engine_application(engine), port, address)
    engine.start(server)
    try:
        yield Running(server.url, engine, server)
    finally:
        await engine.stop()


@asynccontextmanager
async def running_plain_service(
    options: PlainServiceOptions | None = None, port: int = 0, address: str = LOOPBACK
) -> AsyncIterator[Running[PlainService]]:
    """Run a stand-in plain service; port 0 picks a free port."""
    service = PlainService(options or PlainServiceOptions())
    server = RestartableServer(plain_service_application(service), port, address)
    service.start(server)
    try:
        yield Running(server.url, service, server)
    finally:
        await service.stop()


@asynccontextmanager
async def running_platform(
    options: PlatformOptions | None = None, port: int = 0, address: str = LOOPBACK
) -> AsyncIterator[Running[Platform]]:
    """Run a stand-in platform; port 0 picks a free port."""
    platform = Platform(options or PlatformOptions())
    server = RestartableServer(platform_application(platform), port, address)
    platform.start(server)
    try:
        yield Running(server.url, platform, server)
    finally:
        await platform.stop()
