"""Signals of a process, recorded from its start until its end.

This module imports little, so that handlers are installed before the rest of a process
is imported: until then, a signal has its default action.
"""

import signal
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from types import FrameType

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNAL = signal.SIGHUP
SIGNALS = (*STOP_SIGNALS, RELOAD_SIGNAL)

READ_BYTES = 4096


class SignalInbox:
    """Records signals, and passes them on once an event loop runs.

    Parameters
    ----------
    early : list of tuple of (int, float)
        Signals that were recorded before, each with the time on the monotonic clock.
    """

    def __init__(self, early: list[tuple[int, float]] | None = None) -> None:
        self.stop_s: float | None = None
        """Time of the first stop signal that was taken, on the monotonic clock."""
        self._received = early if early is not None else []
        self._is_open = False

    @property
    def is_stop_received(self) -> bool:
        """Whether the process is to end, also if no loop runs yet."""
        return self.stop_s is not None or any(
            number in STOP_SIGNALS for number, _ in self._received
        )

    def take(self) -> list[signal.Signals]:
        """Return the signals since the last call."""
        taken = []
        while self._received:
            number, received_s = self._received.pop(0)
            if number in STOP_SIGNALS and self.stop_s is None:
                self.stop_s = received_s
            taken.append(signal.Signals(number))
        return taken

    @contextmanager
    def recording(self) -> Iterator[None]:
        """Record signals until the context exits; then restore the former handlers."""
        if self._is_open:
            yield
            return
        former = {number: signal.signal(number, self._record) for number in SIGNALS}
        self._is_open = True
        try:
            yield
        finally:
            self._is_open = False
            for number, handler in former.items():
                if signal.getsignal(number) == self._record:
                    signal.signal(number, handler)

    @contextmanager
    def watched(self, received: Callable[[], None]) -> Iterator[None]:
        """Call a function in the running event loop after each signal.

        It is called at once for signals that were recorded before. The loop's own
        handlers aren't used: closing the loop restores the default actions.
        """
        import asyncio
        import socket

        loop = asyncio.get_running_loop()
        reader, writer = socket.socketpair()

        def wake() -> None:
            reader.recv(READ_BYTES)
            received()

        with self.recording(), reader, writer:
            reader.setblocking(False)
            writer.setblocking(False)
            signal.set_wakeup_fd(writer.fileno(), warn_on_full_buffer=False)
            loop.add_reader(reader, wake)
            try:
                received()
                yield
            finally:
                loop.remove_reader(reader)
                current = signal.set_wakeup_fd(-1)
                if current not in (-1, writer.fileno()):
                    signal.set_wakeup_fd(current, warn_on_full_buffer=False)

    def _record(self, number: int, frame: FrameType | None) -> None:
        self._received.append((number, time.monotonic()))
