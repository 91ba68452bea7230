"""Options, actions and events of the membership table."""

import math
from typing import TypeAlias

import attrs

from ..messages.frames import MAX_DATAGRAM_BYTES
from ..messages.gen import ttypes
from .membership_records import Address, Member

HOUR_S = 3600.0
BODY_RESERVE_BYTES = 400
MIN_RETRANSMITS = 4


@attrs.frozen
class MembershipOptions:
    """How the table probes, spreads and forgets.

    Parameters
    ----------
    probe_interval_s : float
        One member is probed per interval.
    ack_timeout_s : float
        After it without an answer, others are asked to probe.
    indirect_probes : int
        How many others are asked.
    suspicion_factor : float
        The suspicion timeout is this times log10 of the members, in intervals.
    retransmit_factor : float
        An update is sent this times log10 of the members, and a few times more.
    gossip_fanout : int
        Members that get pending updates in each interval, beside the probe.
    update_bytes_per_s : float
        Bound on the updates sent, over all datagrams.
    datagram_update_bytes : int
        Bound on the updates in one datagram.
    reconnect_interval_s : float
        How often a dead member or a seed is probed.
    sync_interval_s : float
        Shortest time between two full syncs that this process starts.
    sync_member_s : float
        Time added to that per member.
    forget_s : float
        Dead members are probed and listed for this long.
    guard_s : float
        Forgotten members can't come back by stale updates for this long.
    max_pause_s : float
        A longer time between two ticks means that this process was paused.
    max_members : int
        Records beyond are refused.
    """

    probe_interval_s: float = 1.0
    ack_timeout_s: float = 0.35
    indirect_probes: int = 3
    suspicion_factor: float = 4.0
    retransmit_factor: float = 6.0
    gossip_fanout: int = 2
    update_bytes_per_s: float = 3000.0
    datagram_update_bytes: int = MAX_DATAGRAM_BYTES - BODY_RESERVE_BYTES
    reconnect_interval_s: float = 30.0
    sync_interval_s: float = 30.0
    sync_member_s: float = 0.2
    forget_s: float = 6 * HOUR_S
    guard_s: float = 24 * HOUR_S
    max_pause_s: float = 2.0
    max_members: int = 16384

    def suspicion_timeout_s(self, members: int) -> float:
        """Time that a suspect has to refute, by the count of members."""
        scale = max(1.0, math.log10(members + 1))
        return self.suspicion_factor * scale * self.probe_interval_s

    def retransmits(self, members: int) -> int:
        """How often an update is sent, by the count of members."""
        scale = max(1.0, math.log10(members + 1))
        return MIN_RETRANSMITS + math.ceil(self.retransmit_factor * scale)

    def sync_after_s(self, members: int) -> float:
        """Time between two full syncs, by the count of members."""
        return self.sync_interval_s + self.sync_member_s * members


Datagram: TypeAlias = ttypes.Ping | ttypes.Pong | ttypes.IndirectPing


@attrs.frozen
class SendDatagram:
    """Send a body over UDP."""

    to: Address
    body: Datagram


@attrs.frozen
class RequestSync:
    """Send a `SyncRequest` over TCP and give the reply to the table."""

    to: Address


Action = SendDatagram | RequestSync


@attrs.frozen
class MemberUp:
    """A member joined, came back or was restarted."""

    member: Member


@attrs.frozen
class MemberChanged:
    """A member that stays up is suspected, refuted that, or changed its record."""

    member: Member


@attrs.frozen
class MemberDown:
    """A member died or left; its state says which."""

    member: Member


@attrs.frozen
class NodeIdConflict:
    """Another living process uses the node id of this one."""

    member: Member


Event = MemberUp | MemberChanged | MemberDown | NodeIdConflict
