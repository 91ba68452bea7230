"""Adapter to the users' platform: translates its protocol and makes no decisions."""
