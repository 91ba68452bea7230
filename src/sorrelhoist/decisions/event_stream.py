"""Splits a byte stream of server-sent events into complete events."""

import attrs

MAX_EVENT_BYTES = 1024 * 1024
"""Far above the size of any event of an engine; longer data without an event, such as
one without a terminator, comments or empty lines, is not an event stream."""

_END = b"\n\n"


@attrs.define(eq=False, repr=False)
class EventSplitter:
    r"""Buffers bytes and returns complete events only.

    A source may fail in the middle of an event. The incomplete event is dropped,
    so that another source can resume after the last complete one.

    Parameters
    ----------
    last_id : str
        Id of the last event so far.
    must_resume : bool
        Whether the first event has to come after that one.
    has_events : bool
        Whether there was any event but comments.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    [b'id: 1\ndata: a\n\n']
    >>> splitter.feed(b"ta: b\n\n"), splitter.last_id
    ([b'id: 2\ndata: b\n\n'], '2')
    """

    last_id: str = ""
    must_resume: bool = False
    has_events: bool = attrs.field(default=False, init=False)
    _buffer: bytearray = attrs.field(factory=bytearray, init=False)
    _idle_bytes: int = attrs.field(default=0, init=False)

    def feed(self, data: bytes) -> list[bytes]:
        """Append bytes to the buffer and return the events that are now complete.

        Raises
        ------
        ValueError
            If `MAX_EVENT_BYTES` came without an event, or the stream isn't resumed.
        """
        # Only what is new is searched: an event may come in a million pieces.
        searched_bytes = max(0, len(self._buffer) - len(_END) + 1)
        self._buffer += data
        self._idle_bytes += len(data)
        whole = []
        if self._buffer.find(_END, searched_bytes) >= 0:
            *events, rest = bytes(self._buffer).split(_END)
            self._buffer = bytearray(rest)
            whole = [event + _END for event in events if event.strip()]
        for event in whole:
            self._process(event)
        if self._idle_bytes > MAX_EVENT_BYTES:
            raise ValueError(f"no event in {MAX_EVENT_BYTES} bytes")
        return whole

    def _process(self, event: bytes) -> None:
        if not is_comment(event):
            self._idle_bytes = len(self._buffer)
            if not self.has_events and self.must_resume:
                if not resumes(event, self.last_id):
                    raise ValueError("the stream wasn't resumed")
            self.has_events = True
        self.last_id = event_id(event) or self.last_id

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
            return value.strip().decode("latin-1")
    return ""


def resumes(event: bytes, last_id: str) -> bool:
    r"""Return whether an event can be the first after another one in a resumed stream.

    An error text has no id, and an endpoint that doesn't resume begins again; so does
    each one after events without an id.

    Examples
    --------
    >>> resumes(b"id: 10\ndata: x\n\n", "9"), resumes(b"id: 9\ndata: x\n\n", "9")
    (True, False)
    >>> resumes(b"HTTP/1.1 500 Error\r\n\r\nid: 10\n\n", "9")
    False
    """
    new_id = event_id(event.replace(b"\r\n", b"\n").partition(_END)[0])
    if new_id.isdecimal() and last_id.isdecimal():
        return int(new_id) > int(last_id)
    return bool(last_id) and new_id not in ("", last_id)
