"""Command line that runs each stand-in as a process of its own."""

import asyncio
import inspect
import json
import re
import signal
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from typing import Any, TypeVar

import attrs
import click

from .engine_options import EngineOptions
from .plain_service import PlainServiceOptions
from .platform import PlatformOptions
from .testing import LOOPBACK, running_engine, running_plain_service, running_platform

Command = TypeVar("Command", bound=Callable[..., Any])
Runner = Callable[[Any, int, str], AbstractAsyncContextManager[Any]]


@click.group()
def standin() -> None:
    """Run a stand-in for an engine, a plain service or the platform."""


def _options_of(kind: type) -> Callable[[Command], Command]:
    """Add a command-line option for each field of an options class."""
    helps = _parameter_helps(kind)

    def decorate(command: Command) -> Command:
        for field in reversed(attrs.fields(kind)):
            name = field.name.replace("_", "-")
            flag = f"--{name}/--no-{name}" if field.type is bool else f"--{name}"
            command = click.option(
                flag,
                type=field.type,
                default=field.default,
                show_default=True,
                help=helps.get(field.name),
            )(command)
        command = click.option("--address", default=LOOPBACK, show_default=True)(
            command
        )
        return click.option("--port", type=int, default=0, show_default=True)(command)

    return decorate


def _parameter_helps(kind: type) -> dict[str, str]:
    """Return the parameter descriptions in a class's doc string, by name."""
    section = (inspect.getdoc(kind) or "").partition("----------\n")[2]
    entries = re.findall(r"^(\w[^\n]*?) : [^\n]*\n((?:    [^\n]*\n?)+)", section, re.M)
    return {
        name: " ".join(text.split())
        for names, text in entries
        for name in names.split(", ")
    }


async def _serve(runner: Runner, options: Any, port: int, address: str) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    async with runner(options, port, address) as running:
        click.echo(json.dumps({"listening": running.server.port}))
        await stopped.wait()


@standin.command()
@_options_of(EngineOptions)
def engine(port: int, address: str, **options: Any) -> None:
    """Run the stand-in for a model engine."""
    asyncio.run(_serve(running_engine, EngineOptions(**options), port, address))


@standin.command()
@_options_of(PlainServiceOptions)
def plain_service(port: int, address: str, **options: Any) -> None:
    """Run the stand-in for a plain service."""
    chosen = PlainServiceOptions(**options)
    asyncio.run(_serve(running_plain_service, chosen, port, address))


@standin.command()
@_options_of(PlatformOptions)
def platform(port: int, address: str, **options: Any) -> None:
    """Run the stand-in for the platform."""
    asyncio.run(_serve(running_platform, PlatformOptions(**options), port, address))
