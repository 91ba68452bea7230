"""Composition of membership datagrams within the byte budgets."""

import attrs

from ..messages.gen import ttypes
from .membership_options import MembershipOptions, SendDatagram
from .membership_records import Member, MemberState, to_wire_state, wire_bytes
from .membership_store import MemberStore


@attrs.frozen
class DatagramWriter:
    """Builds pings and piggybacks pending updates on them.

    Parameters
    ----------
    store : MemberStore
    options : MembershipOptions
    """

    store: MemberStore
    options: MembershipOptions

    def send(
        self,
        member: Member,
        now_s: float,
        priority_updates: list[ttypes.Member],
        sequence: int = 0,
    ) -> SendDatagram:
        """Return a ping to a member; with sequence number 0 it isn't answered."""
        ping = self.ping(
            self.take_updates(now_s, priority_updates), sequence, member.node_id
        )
        return SendDatagram(member.peer_address, ping)

    def ping(
        self, updates: list[ttypes.Member], sequence: int = 0, target: str = ""
    ) -> ttypes.Ping:
        """Build a ping that carries the updates."""
        return ttypes.Ping(
            node_id=self.store.local_member.node_id,
            sequence=sequence,
            updates=updates,
            target_node_id=target,
        )

    def take_updates(
        self, now_s: float, priority_updates: list[ttypes.Member]
    ) -> list[ttypes.Member]:
        """Return the priority updates and as many pending updates as still fit."""
        priority_bytes = sum(wire_bytes(update) for update in priority_updates)
        left_bytes = self.options.datagram_update_bytes - priority_bytes
        retransmits = self.options.retransmits(self.store.size)
        return priority_updates + self.store.updates.take_updates(
            left_bytes, retransmits, now_s
        )


def priority_updates_for(target: Member) -> list[ttypes.Member]:
    """Return what goes first to a target that isn't alive: its state, to refute it."""
    return [] if target.state is MemberState.ALIVE else [to_wire_state(target)]
