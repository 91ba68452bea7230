"""Logging as JSON lines: rate-limited, and never blocking the event loop."""

import logging
import os
import select
import sys
import time

from pythonjsonlogger.json import JsonFormatter

_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"

MAX_LINES_PER_S = 300.0
"""Sustained log rate of one process: six lines for each of 50 requests per second,
which is more than a small host serves."""

MAX_BURST_LINES = 1500.0
"""Lines that may be written at once: five seconds at `MAX_LINES_PER_S`."""

MAX_BUFFERED_BYTES = 256 * 1024
"""Limit of the buffer for a slow reader; several hundred lines."""

CLOSE_TIMEOUT_S = 0.1
"""Longest wait at the end of a process for a slow reader to take the last lines."""

MS_PER_S = 1000


class RateLimitedHandler(logging.Handler):
    """Write log lines to a file descriptor, rate-limited and without blocking.

    A token bucket limits the rate. Lines over the limit, and lines that don't fit in
    the buffer because the reader is slow, are dropped and counted; a separate line
    reports how many. Warnings and errors are exempt from the rate limit.

    Parameters
    ----------
    descriptor : int
        Set to non-blocking mode.
    lines_per_s, burst_lines : float
        Refill rate and capacity of the token bucket.
    """

    def __init__(
        self,
        descriptor: int,
        lines_per_s: float = MAX_LINES_PER_S,
        burst_lines: float = MAX_BURST_LINES,
    ) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._burst_lines = burst_lines
        self._available_lines = burst_lines
        self._updated_s = time.monotonic()
        self._buffer = bytearray()
        self._dropped_lines = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record as one line, or count it as dropped."""
        if not self._is_allowed(record.levelno, time.monotonic()):
            self._dropped_lines += 1
            return
        try:
            if self._dropped_lines:
                self._write_dropped_count()
            self._write(record)
        except Exception:  # a logging error must not fail the caller
            self.handleError(record)

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts without blocking."""
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:  # the other end is closed: nobody reads any more
                self._buffer.clear()
                return
            del self._buffer[:written]

    def close(self) -> None:
        """Write what is left, if the reader takes it soon: no later call will."""
        if self._dropped_lines:
            self._write_dropped_count()
        reader = select.poll()
        reader.register(self._descriptor, select.POLLOUT)
        end_s = time.monotonic() + CLOSE_TIMEOUT_S
        self.flush()
        while self._buffer and (left_s := end_s - time.monotonic()) > 0:
            reader.poll(left_s * MS_PER_S)
            self.flush()
        super().close()

    def _is_allowed(self, level: int, now_s: float) -> bool:
        elapsed_s = now_s - self._updated_s
        self._updated_s = now_s
        self._available_lines = min(
            self._burst_lines, self._available_lines + elapsed_s * self._lines_per_s
        )
        if self._available_lines < 1.0 and level < logging.WARNING:
            return False
        self._available_lines = max(0.0, self._available_lines - 1.0)
        return True

    def _write_dropped_count(self) -> None:
        report = logging.LogRecord(
            __name__, logging.WARNING, __file__, 0, "lines dropped", (), None
        )
        report.event = "lines_dropped"
        report.count = self._dropped_lines
        self._dropped_lines = 0
        self._write(report)

    def _write(self, record: logging.LogRecord) -> None:
        if len(self._buffer) > MAX_BUFFERED_BYTES:
            self.flush()
        if len(self._buffer) > MAX_BUFFERED_BYTES:
            self._dropped_lines += 1
            return
        self._buffer += self.format(record).encode() + b"\n"
        self.flush()


def configure_logging(level: str, node_id: str, role: str) -> None:
    """Write all logs of this process to standard output, if any, as JSON lines.

    Parameters
    ----------
    level : str
        Minimum level of the records that are written.
    node_id, role : str
        Added to each line.
    """
    if sys.stdout is None:  # started with a closed descriptor
        handler: logging.Handler = logging.NullHandler()
    else:
        handler = RateLimitedHandler(sys.stdout.fileno())
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
