"""Experiments behind the choices in the design."""
