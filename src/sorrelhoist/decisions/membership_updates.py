"""Queue of membership updates to piggyback on datagrams, within a byte budget."""

import heapq

import attrs

from ..messages.gen import ttypes
from .membership_records import Member, to_wire_update, wire_bytes

MAX_UPDATES_PER_DATAGRAM = 40


@attrs.define
class _Update:
    wire: ttypes.Member
    size_bytes: int
    sequence: int
    sends: int = 0


@attrs.define
class UpdateQueue:
    """Pending updates, one per member, dequeued least transmitted first.

    A token bucket bounds the bytes sent, and each update is dropped after a given
    number of transmissions.

    Parameters
    ----------
    bytes_per_s : float
        Refill rate of the token bucket.
    burst_bytes : float
        Capacity of the token bucket.
    """

    bytes_per_s: float
    burst_bytes: float
    _updates: dict[str, _Update] = attrs.field(init=False, factory=dict)
    _sequence: int = attrs.field(init=False, default=0)
    _budget_bytes: float = attrs.field(init=False)
    _refilled_s: float | None = attrs.field(init=False, default=None)

    def __attrs_post_init__(self) -> None:
        self._budget_bytes = self.burst_bytes

    def __len__(self) -> int:
        return len(self._updates)

    def push(self, member: Member) -> None:
        """Queue an update; it replaces a pending one for the same member."""
        wire = to_wire_update(member)
        self._sequence += 1
        self._updates[member.node_id] = _Update(wire, wire_bytes(wire), self._sequence)

    def take_updates(
        self, max_bytes: int, retransmits: int, now_s: float
    ) -> list[ttypes.Member]:
        """Return the updates for one datagram and count their transmission.

        Parameters
        ----------
        max_bytes : int
            Limit for this datagram.
        retransmits : int
            Number of transmissions after which an update is dropped.
        now_s : float

        Returns
        -------
        list of ttypes.Member
        """
        if not self._updates:
            return []
        self._refill(now_s)
        left_bytes = min(max_bytes, self._budget_bytes)
        taken: list[ttypes.Member] = []
        for node_id, update in self._least_sent():
            if update.size_bytes > left_bytes:
                break
            left_bytes -= update.size_bytes
            self._budget_bytes -= update.size_bytes
            taken.append(update.wire)
            update.sends += 1
            if update.sends >= retransmits:
                del self._updates[node_id]
        return taken

    def _least_sent(self) -> list[tuple[str, _Update]]:
        # Among updates sent equally often, the newest goes first.
        return heapq.nsmallest(
            MAX_UPDATES_PER_DATAGRAM,
            self._updates.items(),
            key=lambda item: (item[1].sends, -item[1].sequence),
        )

    def _refill(self, now_s: float) -> None:
        last_s = now_s if self._refilled_s is None else self._refilled_s
        refill_bytes = (now_s - last_s) * self.bytes_per_s
        self._budget_bytes = min(
            self.burst_bytes, self._budget_bytes + max(0.0, refill_bytes)
        )
        self._refilled_s = now_s
