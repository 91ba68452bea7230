"""JSON lines for logs, bounded in volume and never in the way of the work."""

import logging
import os
import sys
import time

from pythonjsonlogger.json import JsonFormatter

_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"

LINES_PER_S = 300.0
"""Lines of one process over a longer time: six lines for each of 50 requests a
second, which is over what a small host serves."""

BURST_LINES = 1500.0
"""Lines that may come at once: five seconds of the above."""

MAX_UNWRITTEN_BYTES = 256 * 1024
"""Kept for a reader that is slow; several hundred lines."""


class BoundedHandler(logging.Handler):
    """Writes lines to a descriptor that must not block.

    Lines over the bound, or that the reader doesn't take, are dropped and counted;
    a line of its own says how many. Warnings and errors pass the first bound.

    Parameters
    ----------
    descriptor : int
    lines_per_s, burst_lines : float
    """

    def __init__(
        self,
        descriptor: int,
        lines_per_s: float = LINES_PER_S,
        burst_lines: float = BURST_LINES,
    ) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._burst_lines = burst_lines
        self._allowance = burst_lines
        self._updated_s = time.monotonic()
        self._unwritten = bytearray()
        self._dropped_lines = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or count it as dropped."""
        if not self._is_allowed(record.levelno, time.monotonic()):
            self._dropped_lines += 1
            return
        try:
            if self._dropped_lines:
                self._report_dropped(record)
            self._write(record)
        except Exception:  # logging must not end the work that it tells of
            self.handleError(record)

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self._unwritten:
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return
            except OSError:  # nobody reads any more
                self._unwritten.clear()
                return
            del self._unwritten[:written]

    def _is_allowed(self, level: int, now_s: float) -> bool:
        elapsed_s = now_s - self._updated_s
        self._updated_s = now_s
        self._allowance = min(
            self._burst_lines, self._allowance + elapsed_s * self._lines_per_s
        )
        if self._allowance < 1.0 and level < logging.WARNING:
            return False
        self._allowance = max(0.0, self._allowance - 1.0)
        return True

    def _report_dropped(self, record: logging.LogRecord) -> None:
        note = logging.LogRecord(
            __name__, logging.WARNING, __file__, 0, "lines dropped", (), None
        )
        note.event = "lines_dropped"
        note.count = self._dropped_lines
        self._dropped_lines = 0
        self._write(note)

    def _write(self, record: logging.LogRecord) -> None:
        if len(self._unwritten) > MAX_UNWRITTEN_BYTES:
            self.flush()
        if len(self._unwritten) > MAX_UNWRITTEN_BYTES:
            self._dropped_lines += 1
            return
        self._unwritten += self.format(record).encode() + b"\n"
        self.flush()


def configure_logging(level: str, node_id: str, role: str) -> None:
    """Write all logs of this process to standard output as JSON lines.

    Parameters
    ----------
    level : str
        Lowest level that is written.
    node_id, role : str
        Added to each line.
    """
    handler = BoundedHandler(sys.stdout.fileno())
    handler.setFormatter(
        JsonFormatter(
            _FORMAT,
            rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
            static_fields={"node_id": node_id, "role": role},
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    logging.getLogger("tornado.access").setLevel(logging.WARNING)
