"""What a connection of a caller waits for, and when it has waited too long.

The load pattern is callers that open connections and send nothing, or a request byte by
byte: each holds a descriptor, of which a process has few.
"""

import enum

import attrs

from .routes import CallerLimits

IDLE_TIMEOUT_FACTOR = 1.25
"""Idle connections are kept open for this multiple of the limit that callers know."""


@attrs.frozen
class Idle:
    """No byte of a request has been received since ``since_s``."""

    since_s: float


@attrs.frozen
class ReadingHead:
    """The first byte of a head was received at ``since_s``; it is not complete."""

    since_s: float


@attrs.frozen
class ReadingBody:
    """The last byte of an incomplete body was received at ``since_s``."""

    since_s: float


@attrs.frozen
class Answering:
    """A request is served; it has a deadline of its own."""


@attrs.frozen
class Answered:
    """The answer was complete at ``since_s``; the caller hasn't taken all of it."""

    since_s: float


@attrs.frozen
class Closing:
    """What the caller still sends is discarded until ``due_s`` at the latest."""

    due_s: float


Phase = Idle | ReadingHead | ReadingBody | Answering | Answered | Closing


class Overdue(enum.Enum):
    """What a connection has waited for in vain."""

    REQUEST = "a request"
    HEAD = "the rest of the request's head"
    BODY = "the rest of the request's body"
    CLOSE = "the end of the connection"


def find_overdue(phase: Phase, limits: CallerLimits, now_s: float) -> Overdue | None:
    """Return what a connection has waited for too long, or None.

    Examples
    --------
    >>> limits = CallerLimits(header_timeout_s=2.0, idle_timeout_s=4.0)
    >>> find_overdue(ReadingHead(0.0), limits, now_s=1.9)
    >>> find_overdue(ReadingHead(0.0), limits, now_s=2.1)
    <Overdue.HEAD: "the rest of the request's head">
    >>> find_overdue(Idle(0.0), limits, now_s=4.5)
    """
    idle_s = limits.idle_timeout_s * IDLE_TIMEOUT_FACTOR
    match phase:
        case Idle(since_s) | Answered(since_s) if now_s - since_s > idle_s:
            return Overdue.REQUEST
        case ReadingHead(since_s=since_s) if now_s - since_s > limits.header_timeout_s:
            return Overdue.HEAD
        case ReadingBody(since_s=since_s) if now_s - since_s > idle_s:
            return Overdue.BODY
        case Closing(due_s=due_s) if now_s > due_s:
            return Overdue.CLOSE
        case _:
            return None
