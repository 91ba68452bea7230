"""Options, actions and events of the membership protocol."""

import math
from typing import TypeAlias

import attrs

from ..messages.frames import MAX_DATAGRAM_BYTES
from ..messages.gen import ttypes
from .membership_records import Address, Member

HOUR_S = 3600.0
OTHER_FIELDS_RESERVE_BYTES = 400
BASE_RETRANSMITS = 4


@attrs.frozen
class MembershipOptions:
    """Settings for probing, gossip, full syncs and retention of dead members.

    Parameters
    ----------
    probe_interval_s : float
        One member is probed per interval.
    ack_timeout_s : float
        Time to wait for the ack of a probe before sending indirect probes.
    indirect_probes : int
        Number of members that are asked to probe indirectly.
    suspicion_factor : float
        The suspicion timeout, in probe intervals, is this times log10 of the number
        of members.
    retransmit_factor : float
        An update is sent this times log10 of the number of members, plus
        `BASE_RETRANSMITS` times.
    gossip_fanout : int
        Number of members that get pending updates in each interval, in addition to
        the probed one.
    update_bytes_per_s : float
        Rate limit of the updates sent, over all datagrams.
    datagram_update_bytes : int
        Limit on the size of the updates in one datagram.
    reconnect_interval_s : float
        Mean interval between probes of dead members and seeds.
    sync_interval_s : float
        Base interval between full syncs that this process initiates.
    sync_member_s : float
        Time added to `sync_interval_s` per member.
    dead_retention_s : float
        How long dead members are probed and listed before they become tombstones.
    tombstone_retention_s : float
        How long a tombstone is kept, so that stale updates can't bring a removed
        member back.
    max_pause_s : float
        If two ticks are further apart, this process is taken to have been paused.
    max_members : int
        Limit on the number of records; further ones are ignored.
    """

    probe_interval_s: float = 1.0
    ack_timeout_s: float = 0.35
    indirect_probes: int = 3
    suspicion_factor: float = 4.0
    retransmit_factor: float = 6.0
    gossip_fanout: int = 2
    update_bytes_per_s: float = 3000.0
    datagram_update_bytes: int = MAX_DATAGRAM_BYTES - OTHER_FIELDS_RESERVE_BYTES
    reconnect_interval_s: float = 30.0
    sync_interval_s: float = 30.0
    sync_member_s: float = 0.2
    dead_retention_s: float = 6 * HOUR_S
    tombstone_retention_s: float = 24 * HOUR_S
    max_pause_s: float = 2.0
    max_members: int = 16384

    def suspicion_timeout_s(self, members: int) -> float:
        """Return the time a suspect has to refute, given the number of members."""
        scale = max(1.0, math.log10(members + 1))
        return self.suspicion_factor * scale * self.probe_interval_s

    def retransmits(self, members: int) -> int:
        """Return how often an update is sent, given the number of members."""
        scale = max(1.0, math.log10(members + 1))
        return BASE_RETRANSMITS + math.ceil(self.retransmit_factor * scale)

    def sync_after_s(self, members: int) -> float:
        """Return the mean time between full syncs, given the number of members."""
        return self.sync_interval_s + self.sync_member_s * members


Datagram: TypeAlias = ttypes.Ping | ttypes.Pong | ttypes.IndirectPing


@attrs.frozen
class SendDatagram:
    """Send a message over UDP."""

    to: Address
    body: Datagram


@attrs.frozen
class RequestSync:
    """Send a `SyncRequest` over TCP and pass the reply to the table."""

    to: Address


Action = SendDatagram | RequestSync


@attrs.frozen
class MemberUp:
    """A member joined, came back or was restarted."""

    member: Member


@attrs.frozen
class MemberChanged:
    """A member that is up is suspected, refuted the suspicion or changed its record."""

    member: Member


@attrs.frozen
class MemberDown:
    """A member died or left; its state says which."""

    member: Member


@attrs.frozen
class NodeIdConflict:
    """Another live process uses the node id of this one."""

    member: Member


Event = MemberUp | MemberChanged | MemberDown | NodeIdConflict
