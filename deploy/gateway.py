"""Start a gateway from a checkout, with the dependencies that the build installed.

Neither needs what `site` adds to the path, so the interpreter may start with ``-S``.
"""

import signal
import time

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)

received: list[tuple[int, float]] = []


def record(number, frame):
    """Record a signal: until the gateway runs, its default action would end all."""
    received.append((number, time.monotonic()))


for number in SIGNALS:
    signal.signal(number, record)
# A process inherits the signals that its parent has blocked.
signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)

import logging  # noqa: E402
import os  # noqa: E402
import sys  # noqa: E402
from pathlib import Path  # noqa: E402

CHECKOUT = Path(__file__).resolve().parents[1]
sys.path[:0] = [str(CHECKOUT / "src"), str(CHECKOUT / "target" / "deps")]

from sorrelhoist.node.signal_inbox import SignalInbox  # noqa: E402

try:
    if len(sys.argv) > 1:
        from sorrelhoist.platform.main import gateway

        gateway(obj=SignalInbox(received))
    else:
        # Without arguments the parser isn't imported: callers wait for the start.
        from sorrelhoist.platform.start import start

        start(signals=SignalInbox(received))
finally:
    # The end of the interpreter restores the default action of handlers alone.
    for number in SIGNALS:
        signal.signal(number, signal.SIG_IGN)
# The end of the interpreter takes 0.1 s in which the process may be killed: it frees
# objects one by one.
logging.shutdown()
os._exit(0)
