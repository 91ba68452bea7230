"""Logging is rate-limited and never blocks on a slow reader."""

import contextlib
import json
import logging
import os
import threading
import time

import pytest

from sorrelhoist.node.logs import (
    CLOSE_TIMEOUT_S,
    MAX_BUFFERED_BYTES,
    RateLimitedHandler,
)


@pytest.fixture
def pipe():
    read_end, write_end = os.pipe()
    yield read_end, write_end
    os.close(read_end)
    os.close(write_end)


def logger_to(handler):
    handler.setFormatter(logging.Formatter('{"message": "%(message)s"}'))
    logger = logging.Logger("test")
    logger.addHandler(handler)
    return logger


def lines(read_end):
    return os.read(read_end, 1 << 20).decode().splitlines()


def test_lines_over_the_rate_limit_are_dropped_and_counted(pipe):
    handler = RateLimitedHandler(pipe[1], lines_per_s=1.0, burst_lines=5.0)
    logger = logger_to(handler)
    for number in range(50):
        logger.info("line %d", number)
    logger.warning("still told")
    found = [json.loads(line)["message"] for line in lines(pipe[0])]
    assert found[:5] == [f"line {number}" for number in range(5)]
    assert found[5:] == ["lines dropped", "still told"]


def test_logging_does_not_block_when_the_pipe_is_not_read(pipe):
    handler = RateLimitedHandler(pipe[1], lines_per_s=1e9, burst_lines=1e9)
    logger = logger_to(handler)
    started_s = time.monotonic()
    for _ in range(20_000):
        logger.info("x" * 100)
    assert time.monotonic() - started_s < 5.0
    assert len(handler._buffer) < 2 * MAX_BUFFERED_BYTES


def test_buffered_lines_are_written_completely_when_reading_resumes(pipe):
    handler = RateLimitedHandler(pipe[1], lines_per_s=1e9, burst_lines=1e9)
    logger = logger_to(handler)
    for number in range(2_000):
        logger.info("x" * 100 + str(number))
    text = b""
    while handler._buffer:
        text += os.read(pipe[0], 1 << 20)
        handler.flush()
    text += os.read(pipe[0], 1 << 20)
    found = [json.loads(line)["message"] for line in text.decode().splitlines()]
    assert found == ["x" * 100 + str(number) for number in range(2_000)]


def test_the_last_lines_of_a_process_are_written_to_a_slow_reader(pipe):
    # What the pipe didn't take at once was lost, the end of a stop among it.
    handler = RateLimitedHandler(pipe[1], lines_per_s=1e9, burst_lines=1e9)
    logger = logger_to(handler)
    for number in range(2_000):
        logger.info("x" * 100 + str(number))
    assert handler._buffer
    os.set_blocking(pipe[0], False)
    found = []

    def read():
        for _ in range(40):
            time.sleep(0.005)
            with contextlib.suppress(BlockingIOError):
                found.append(os.read(pipe[0], 1 << 16))

    reader = threading.Thread(target=read)
    reader.start()
    handler.flush()
    handler.close()
    reader.join()
    assert len(b"".join(found).splitlines()) == 2_000


def test_the_number_of_lines_that_were_dropped_last_is_written(pipe):
    handler = RateLimitedHandler(pipe[1], lines_per_s=1e-9, burst_lines=1.0)
    logger = logger_to(handler)
    for _ in range(5):
        logger.info("line")
    handler.close()
    found = [json.loads(line)["message"] for line in lines(pipe[0])]
    assert found == ["line", "lines dropped"]


def test_a_reader_that_takes_nothing_delays_the_end_for_a_short_time(pipe):
    handler = RateLimitedHandler(pipe[1], lines_per_s=1e9, burst_lines=1e9)
    logger = logger_to(handler)
    for _ in range(2_000):
        logger.info("x" * 100)
    started_s = time.monotonic()
    handler.close()
    assert CLOSE_TIMEOUT_S <= time.monotonic() - started_s < 1.0
