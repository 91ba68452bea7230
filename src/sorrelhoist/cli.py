"""Entry point of the command line; the module of a command is loaded on first use."""

import importlib

import attrs
import click

from .__version__ import __version__


@attrs.frozen
class CommandLocation:
    """Module and attribute that define a command.

    Parameters
    ----------
    module : str
        Name of the module, relative to the package.
    attribute : str
        Name of the `click.Command` in the module.
    """

    module: str
    attribute: str


COMMAND_LOCATIONS = {
    "agent": CommandLocation(".commands.roles", "agent"),
    "apply": CommandLocation(".commands.configuration", "apply_command"),
    "bench": CommandLocation(".bench.commands", "bench"),
    "bench-control": CommandLocation(".bench.commands", "bench_control"),
    "bench-start": CommandLocation(".bench.commands", "bench_start"),
    "bench-throughput": CommandLocation(".bench.commands", "bench_throughput"),
    "diff": CommandLocation(".commands.configuration", "diff_command"),
    "dump": CommandLocation(".commands.configuration", "dump"),
    "entry": CommandLocation(".commands.roles", "entry"),
    "explain": CommandLocation(".commands.explain", "explain"),
    "gateway": CommandLocation(".platform.main", "gateway"),
    "get": CommandLocation(".commands.configuration", "get_command"),
    "standin": CommandLocation(".standins.commands", "standin"),
    "status": CommandLocation(".commands.configuration", "status"),
    "validate": CommandLocation(".commands.configuration", "validate"),
}


class LazyGroup(click.Group):
    """Group that imports a command only when it is used.

    A process then loads the modules of its own role only and uses less memory.
    """

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands."""
        return sorted(COMMAND_LOCATIONS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Import and return a command, or return None if there is none of that name."""
        location = COMMAND_LOCATIONS.get(cmd_name)
        if location is None:
            return None
        module = importlib.import_module(location.module, __package__)
        return getattr(module, location.attribute)


@click.group(cls=LazyGroup)
@click.version_option(__version__)
def main() -> None:
    """Serve prompts of very unlike lengths."""
