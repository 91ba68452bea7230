"""Imports between which the event loop runs."""

import asyncio
import importlib
from collections.abc import Iterable


async def import_gradually(names: Iterable[str], pause_s: float = 0.0) -> None:
    """Import modules one at a time.

    Parameters
    ----------
    names : iterable of str
        Each after the modules that it imports itself: an import blocks the event loop.
    pause_s : float
        Time for other work after each of them.
    """
    for name in names:
        importlib.import_module(name)
        await asyncio.sleep(pause_s)
