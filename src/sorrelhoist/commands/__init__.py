"""Subcommands of the command line, one module per group."""
