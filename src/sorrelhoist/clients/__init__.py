"""Clients of the outside interfaces: engines, plain services, the platform."""
