"""Splits a byte stream of server-sent events into complete events."""

import attrs

MAX_EVENT_BYTES = 1024 * 1024
"""Far above the size of any event of an engine; longer data without a terminator is not
an event stream."""

_END = b"\n\n"


@attrs.define(eq=False, repr=False)
class EventSplitter:
    r"""Buffers bytes and returns complete events only.

    A source may fail in the middle of an event. The incomplete event is dropped,
    so that another source can resume after the last complete one.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    [b'id: 1\ndata: a\n\n']
    >>> splitter.feed(b"ta: b\n\n"), splitter.last_id
    ([b'id: 2\ndata: b\n\n'], '2')
    """

    last_id: str = ""
    _buffer: bytes = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Append bytes to the buffer and return the events that are now complete.

        Raises
        ------
        ValueError
            If an event grows beyond `MAX_EVENT_BYTES`.
        """
        *events, self._buffer = (self._buffer + data).split(_END)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError(f"an event over {MAX_EVENT_BYTES} bytes")
        whole = [event + _END for event in events if event.strip()]
        for event in whole:
            self.last_id = event_id(event) or self.last_id
        return whole

    @property
    def partial_bytes(self) -> int:
        """Size of the incomplete event in the buffer."""
        return len(self._buffer)

    @property
    def has_partial_event(self) -> bool:
        """Whether the buffer holds an incomplete event."""
        return bool(self._buffer.strip())


def is_comment(event: bytes) -> bool:
    r"""Return whether an event has only comment lines, which say nothing of progress.

    Examples
    --------
    >>> is_comment(b": still here\n\n"), is_comment(b": note\ndata: x\n\n")
    (True, False)
    """
    return event.startswith(b":") and all(
        line.startswith(b":") for line in event.splitlines() if line
    )


def event_id(event: bytes) -> str:
    r"""Return the id of an event, or an empty string.

    Examples
    --------
    >>> event_id(b"id: 12\ndata: x\n\n")
    '12'
    """
    for line in event.split(b"\n"):
        name, _, value = line.partition(b":")
        if name.strip() == b"id":
            return value.strip().decode("ascii", "replace")
    return ""
