"""What is held for one request of a caller."""

import math
from collections.abc import Callable

import attrs

CONNECTION_BYTES = 32 * 1024
"""Charged for each request besides its data: its connections' objects, header fields
and tasks. An estimate: what it misses is part of the measured base of the program."""

MAX_RECEIPT_S = 4.0
"""Time after which a caller counts as slow to send its body: 4 MB take 3.4 s on a link
of 10 Mbit/s."""


@attrs.define(eq=False, repr=False, kw_only=True)
class MemoryAccount:
    """Bytes held for one request, from the receipt of its headers to its end.

    Parameters
    ----------
    on_change : callable
        Called with the change of `held_bytes` after each change.
    opened_s : float
    due_s : float
        Time at which the request ends at the latest.
    request_id : str
        Empty while the body is being received.
    request_bytes : int
        Size of the body: as declared, or received if that is more.
    answer_bytes : int
        Read from the endpoint and not to be passed on yet: an incomplete plain answer
        or event.
    unread_bytes : int
        Passed on and not yet taken by the caller's connection.
    unread_since_s : float or None
        Time since which the caller has had unread data all along.
    is_receiving : bool
        Whether the body is still being received.
    """

    on_change: Callable[[int], None]
    opened_s: float
    due_s: float = math.inf
    request_id: str = ""
    request_bytes: int = 0
    answer_bytes: int = 0
    unread_bytes: int = 0
    unread_since_s: float | None = None
    is_receiving: bool = True

    @property
    def held_bytes(self) -> int:
        """All that is held for the request."""
        return (
            CONNECTION_BYTES
            + self.request_bytes
            + self.answer_bytes
            + self.unread_bytes
        )

    def is_slow_to_send(self, now_s: float) -> bool:
        """Return whether the caller takes long to send the body."""
        return self.is_receiving and now_s - self.opened_s > MAX_RECEIPT_S

    def cuttable_bytes(self, now_s: float) -> int:
        """Return what is held because the caller or the endpoint is not at its end."""
        size_bytes = self.answer_bytes + self.unread_bytes
        if self.is_slow_to_send(now_s):
            size_bytes += self.request_bytes
        return size_bytes

    def hold_request(self, size_bytes: int) -> None:
        """Record the size of the body received so far."""
        added, self.request_bytes = size_bytes - self.request_bytes, size_bytes
        self.on_change(added)

    def hold_answer(self, size_bytes: int) -> None:
        """Record the size of the incomplete part of the answer."""
        added, self.answer_bytes = size_bytes - self.answer_bytes, size_bytes
        if added:
            self.on_change(added)

    def hold_unread(self, size_bytes: int, now_s: float) -> None:
        """Record how much the caller has yet to read."""
        added, self.unread_bytes = size_bytes - self.unread_bytes, size_bytes
        if not size_bytes:
            self.unread_since_s = None
        elif self.unread_since_s is None:
            self.unread_since_s = now_s
        self.on_change(added)

    def dump(self, now_s: float) -> dict:
        """Return the account as plain data."""
        since_s = self.unread_since_s
        return {
            "request_id": self.request_id,
            "age_s": round(now_s - self.opened_s, 3),
            "request_bytes": self.request_bytes,
            "answer_bytes": self.answer_bytes,
            "unread_bytes": self.unread_bytes,
            "unread_s": None if since_s is None else round(now_s - since_s, 3),
            "is_receiving": self.is_receiving,
        }
