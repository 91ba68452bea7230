"""Offline experiments on a virtual clock that compare alternative policies."""
