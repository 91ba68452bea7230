"""Lifecycle state charts in YAML, run by `sismic`."""
