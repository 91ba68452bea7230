"""Waiting for a signal that requests shutdown."""

import asyncio
import signal

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


async def wait_for_stop_signal() -> None:
    """Wait until the process receives SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in STOP_SIGNALS:
        loop.add_signal_handler(signum, stopped.set)
    try:
        await stopped.wait()
    finally:
        for signum in STOP_SIGNALS:
            loop.remove_signal_handler(signum)
