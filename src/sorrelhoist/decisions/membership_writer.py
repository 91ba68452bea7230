"""Compose the datagrams of the membership table within its budgets."""

import attrs

from ..messages.gen import ttypes
from .membership_options import MembershipOptions, SendDatagram
from .membership_records import Member, MemberState, to_wire_state, wire_bytes
from .membership_store import MemberStore


@attrs.frozen
class DatagramWriter:
    """Puts pending updates on every datagram.

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
        leads: list[ttypes.Member],
        sequence: int = 0,
    ) -> SendDatagram:
        """Ping a member; without a sequence number it doesn't answer."""
        ping = self.ping(self.pull(now_s, leads), sequence, member.node_id)
        return SendDatagram(member.peer_address, ping)

    def ping(
        self, updates: list[ttypes.Member], sequence: int = 0, target: str = ""
    ) -> ttypes.Ping:
        """Make a ping with these updates."""
        return ttypes.Ping(
            node_id=self.store.me.node_id,
            sequence=sequence,
            updates=updates,
            target_node_id=target,
        )

    def pull(self, now_s: float, leads: list[ttypes.Member]) -> list[ttypes.Member]:
        """Return the leads and what pending updates fit beside them."""
        lead_bytes = sum(wire_bytes(lead) for lead in leads)
        left_bytes = self.options.datagram_update_bytes - lead_bytes
        retransmits = self.options.retransmits(self.store.size)
        return leads + self.store.updates.pull(left_bytes, retransmits, now_s)


def lead_of(target: Member) -> list[ttypes.Member]:
    """What is said of the target goes first, so that it can refute."""
    return [] if target.state is MemberState.ALIVE else [to_wire_state(target)]
