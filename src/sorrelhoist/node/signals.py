"""Waiting for a signal that requests shutdown."""

import asyncio

from .signal_inbox import SignalInbox


async def wait_for_stop_signal(signals: SignalInbox) -> None:
    """Wait until the process receives SIGTERM or SIGINT, or return if it has.

    SIGHUP is ignored: these processes don't reload their settings.
    """
    stopped = asyncio.Event()

    def received() -> None:
        signals.take()
        if signals.stop_s is not None:
            stopped.set()

    with signals.watched(received):
        await stopped.wait()
