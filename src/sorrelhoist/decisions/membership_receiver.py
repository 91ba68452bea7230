"""Handlers for membership messages: merge their updates and compose replies."""

import attrs

from ..messages.gen import ttypes
from .membership_options import Action, SendDatagram
from .membership_probes import Prober
from .membership_reconnect import Reconnector
from .membership_records import (
    Address,
    Member,
    from_wire,
    to_wire,
    to_wire_state,
    to_wire_update,
)
from .membership_store import MemberStore
from .membership_writer import DatagramWriter, priority_updates_for


@attrs.frozen
class Receiver:
    """Dispatches membership messages and applies their updates to the records.

    Parameters
    ----------
    store : MemberStore
    prober : Prober
    writer : DatagramWriter
    reconnector : Reconnector
    """

    store: MemberStore
    prober: Prober
    writer: DatagramWriter
    reconnector: Reconnector

    def on_message(self, body: object, sender: Address, now_s: float) -> list[Action]:
        """Process a received message and return the replies.

        Parameters
        ----------
        body : object
            Any message; those outside the membership protocol are ignored.
        sender : Address
            Source address of the message.
        now_s : float

        Returns
        -------
        list of Action
        """
        match body:
            case ttypes.Ping():
                return self._on_ping(body, sender, now_s)
            case ttypes.Pong():
                return self._on_pong(body, now_s)
            case ttypes.IndirectPing():
                return self._on_indirect_ping(body, sender, now_s)
            case ttypes.SyncReply():
                self.merge_all(body.members, now_s, synced=True)
        return []

    def sync_request(self) -> ttypes.SyncRequest:
        """Return a sync request with the local record and the states of the others."""
        states = [to_wire_state(member) for member in self.store.records.values()]
        return ttypes.SyncRequest(members=[to_wire(self.store.local_member), *states])

    def sync_reply(self, request: ttypes.SyncRequest, now_s: float) -> ttypes.SyncReply:
        """Merge a sync request and return the records that are newer here."""
        self.merge_all(request.members, now_s, synced=True)
        theirs = {wire.node_id: wire for wire in request.members or ()}
        newer = [
            to_wire(member)
            for member in (self.store.local_member, *self.store.records.values())
            if self._is_newer(member, theirs.get(member.node_id))
        ]
        return ttypes.SyncReply(members=newer)

    def _on_ping(
        self, ping: ttypes.Ping, sender: Address, now_s: float
    ) -> list[Action]:
        self.merge_all(ping.updates, now_s)
        if not ping.sequence:
            return []
        known = self.store.get(ping.node_id or "")
        self.store.needs_sync |= known is None
        priority_updates = [] if known is None else priority_updates_for(known)
        priority_updates += [
            to_wire_update(known)
            for wire in ping.updates or ()
            if known is not None and not priority_updates and _is_other_run(wire, known)
        ]
        if known is None or ping.target_node_id != self.store.local_member.node_id:
            priority_updates.append(to_wire(self.store.local_member))
        pong = ttypes.Pong(
            node_id=self.store.local_member.node_id,
            sequence=ping.sequence,
            updates=self.writer.take_updates(now_s, priority_updates),
        )
        return [SendDatagram(sender, pong)]

    def _on_pong(self, pong: ttypes.Pong, now_s: float) -> list[Action]:
        self.merge_all(pong.updates, now_s)
        self.reconnector.answered(pong, now_s)
        relay = self.prober.answered(pong, now_s)
        if relay is None:
            return []
        relayed = ttypes.Pong(node_id=pong.node_id, sequence=relay.sequence, updates=[])
        return [SendDatagram(relay.origin, relayed)]

    def _on_indirect_ping(
        self, ping: ttypes.IndirectPing, sender: Address, now_s: float
    ) -> list[Action]:
        target = from_wire(ping.target) if ping.target is not None else None
        if target is None or not target.address or not target.peer_port:
            return []
        sequence = self.prober.relay(sender, ping, now_s)
        return [self.writer.send(target, now_s, priority_updates_for(target), sequence)]

    def merge_all(
        self, reports: list[ttypes.Member] | None, now_s: float, synced: bool = False
    ) -> None:
        """Merge the updates of one message into the records."""
        up_before = self.store.size
        disseminate = not synced or len(reports or ()) <= up_before
        for wire in reports or ():
            report = from_wire(wire)
            if report is not None:
                self.store.merge(report, now_s, synced=synced, disseminate=disseminate)
        if up_before == 1 and self.store.size > 1:
            self.store.needs_sync = True

    def _is_newer(self, member: Member, wire: ttypes.Member | None) -> bool:
        if wire is None:
            return not self.store.is_tombstone(member.node_id)
        theirs = from_wire(wire)
        if theirs is None:
            return False
        return member.precedence > theirs.precedence or member.boot_id != theirs.boot_id


def _is_other_run(wire: ttypes.Member, known: Member) -> bool:
    return wire.node_id == known.node_id and wire.boot_id != known.boot_id
