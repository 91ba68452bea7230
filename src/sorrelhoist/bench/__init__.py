"""Benchmarks: load generator, control-plane cost, demo and policy experiments."""
