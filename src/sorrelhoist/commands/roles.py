"""Commands that run a process as an entry or as an agent."""

import asyncio
import signal
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

import click

from ..exceptions import SettingsError
from ..node.logs import configure_logging
from ..node.signal_inbox import SIGNALS, SignalInbox
from ..settings import Settings, load_settings

EXIT_BAD_SETTINGS = 2

settings_option = click.option(
    "--settings",
    "path",
    required=True,
    type=click.Path(path_type=Path),
    help="YAML file with the settings of this process.",
)


def _load(path: Path, role: str) -> Settings:
    try:
        settings = load_settings(path)
        if settings.role != role:
            raise SettingsError(
                f"{path}: role is '{settings.role}'.",
                f"Start it with 'sorrelhoist {settings.role}'.",
            )
    except SettingsError as error:
        click.echo(f"error: {error}", err=True)
        raise SystemExit(EXIT_BAD_SETTINGS) from error
    return settings


def _run(
    settings: Settings,
    role: Callable[[Settings, SignalInbox], Awaitable[None]],
    signals: SignalInbox,
) -> None:
    configure_logging(settings.log_level, settings.node_id, settings.role)

    async def main() -> None:
        await role(settings, signals)

    asyncio.run(main())


@contextmanager
def _recording(early: SignalInbox | None) -> Iterator[SignalInbox]:
    """Record signals; when the context exits, the process ends and ignores them."""
    signals = early or SignalInbox()
    with signals.recording():
        yield signals
        for number in SIGNALS:
            signal.signal(number, signal.SIG_IGN)


@click.command()
@settings_option
@click.pass_obj
def entry(early: SignalInbox | None, path: Path) -> None:
    """Serve callers and operators."""
    with _recording(early) as signals:
        settings = _load(path, "entry")
        # Imported here, so that a process loads the modules of its own role only and
        # uses less memory.
        from ..entry.app import run_entry

        _run(settings, run_entry, signals)


@click.command()
@settings_option
@click.pass_obj
def agent(early: SignalInbox | None, path: Path) -> None:
    """Guard one endpoint."""
    with _recording(early) as signals:
        settings = _load(path, "agent")
        from ..agent.app import run_agent

        _run(settings, run_agent, signals)
