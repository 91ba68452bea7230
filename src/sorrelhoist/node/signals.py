"""Wait for the signal to stop."""

import asyncio
import signal

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


async def stop_requested() -> None:
    """Return when the process is asked to stop."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, stopped.set)
    try:
        await stopped.wait()
    finally:
        for number in STOP_SIGNALS:
            loop.remove_signal_handler(number)
