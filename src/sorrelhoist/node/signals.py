"""Waiting for a signal that requests shutdown."""

import asyncio
import signal

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


async def wait_for_stop_signal() -> None:
    """Wait until the process receives SIGTERM or SIGINT.

    The handlers stay until the loop is closed: a second signal must not end a drain.
    """
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in STOP_SIGNALS:
        loop.add_signal_handler(signum, stopped.set)
    await stopped.wait()
