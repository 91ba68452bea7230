"""The command line."""

import click

from .__version__ import __version__
from .bench.commands import COMMANDS as BENCH_COMMANDS
from .commands.configuration import COMMANDS
from .commands.roles import agent, entry
from .standins.commands import standin


@click.group()
@click.version_option(__version__)
def main() -> None:
    """Serve prompts of very unlike lengths."""


for command in (agent, entry, standin, *BENCH_COMMANDS, *COMMANDS):
    main.add_command(command)
