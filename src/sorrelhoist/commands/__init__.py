"""The operators' commands, one module per group."""
