"""The command line."""

import click

from .__version__ import __version__


@click.group()
@click.version_option(__version__)
def main() -> None:
    """Serve prompts of very unlike lengths."""
