"""Command that starts a gateway on the users' platform."""

from pathlib import Path

import click

from ..exceptions import SettingsError
from ..gateway.sockets import Sockets
from .settings import load_settings

EXIT_BAD_SETTINGS = 2


@click.command()
@click.option(
    "--settings",
    "path",
    type=click.Path(path_type=Path),
    help="Settings file of the platform; else SORRELHOIST_SETTINGS names it.",
)
@click.option("--check", is_flag=True, help="Check the settings and end.")
@click.pass_obj
def gateway(sockets: Sockets | None, path: Path | None, check: bool) -> None:
    """Forward callers' requests on the users' platform."""
    try:
        settings = load_settings(path)
    except SettingsError as error:
        click.echo(f"error: {error}", err=True)
        raise SystemExit(EXIT_BAD_SETTINGS) from error
    if check:
        click.echo("the settings can be used")
        return
    from .process import run  # Takes long, and nothing above needs it.

    run(settings, sockets or {})
