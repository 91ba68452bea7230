"""The command line."""

import importlib

import attrs
import click

from .__version__ import __version__


@attrs.frozen
class CommandPlace:
    """Where a command is defined.

    Parameters
    ----------
    module : str
        Relative to the package.
    attribute : str
    """

    module: str
    attribute: str


COMMAND_PLACES = {
    "agent": CommandPlace(".commands.roles", "agent"),
    "apply": CommandPlace(".commands.configuration", "apply_command"),
    "bench": CommandPlace(".bench.commands", "bench"),
    "bench-control": CommandPlace(".bench.commands", "bench_control"),
    "bench-throughput": CommandPlace(".bench.commands", "bench_throughput"),
    "diff": CommandPlace(".commands.configuration", "diff_command"),
    "dump": CommandPlace(".commands.configuration", "dump"),
    "entry": CommandPlace(".commands.roles", "entry"),
    "explain": CommandPlace(".commands.explain", "explain"),
    "gateway": CommandPlace(".platform.main", "gateway"),
    "get": CommandPlace(".commands.configuration", "get_command"),
    "standin": CommandPlace(".standins.commands", "standin"),
    "status": CommandPlace(".commands.configuration", "status"),
    "validate": CommandPlace(".commands.configuration", "validate"),
}


class LazyGroup(click.Group):
    """A group that imports a command when it is used, to keep each role small."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands."""
        return sorted(COMMAND_PLACES)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Import a command."""
        place = COMMAND_PLACES.get(cmd_name)
        if place is None:
            return None
        module = importlib.import_module(place.module, __package__)
        return getattr(module, place.attribute)


@click.group(cls=LazyGroup)
@click.version_option(__version__)
def main() -> None:
    """Serve prompts of very unlike lengths."""
