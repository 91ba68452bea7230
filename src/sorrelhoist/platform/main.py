"""Command line of a gateway on the users' platform."""

from pathlib import Path

import click

from ..node.signal_inbox import SignalInbox
from .start import check_settings, start


@click.command()
@click.option(
    "--settings",
    "path",
    type=click.Path(path_type=Path),
    help="Settings file of the platform; else SORRELHOIST_SETTINGS names it.",
)
@click.option("--check", is_flag=True, help="Check the settings and end.")
@click.pass_obj
def gateway(signals: SignalInbox | None, path: Path | None, check: bool) -> None:
    """Forward callers' requests on the users' platform."""
    if check:
        check_settings(path)
        click.echo("the settings can be used")
    else:
        start(path, signals)
