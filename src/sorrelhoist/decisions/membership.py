"""Cluster membership and failure detection with a SWIM-style gossip protocol.

Each process probes one other member per interval, so the cost per process doesn't
grow with the fleet. Updates are piggybacked on the probes and on a few extra
datagrams, within a byte budget. See Das, Gupta, Motivala: SWIM, DSN 2002.
"""

import random
from collections.abc import Iterable

import attrs

from ..messages.gen import ttypes
from .membership_options import (
    Action,
    Event,
    MembershipOptions,
    RequestSync,
    SendDatagram,
)
from .membership_probes import Prober
from .membership_receiver import Receiver
from .membership_reconnect import Reconnector
from .membership_records import (
    Address,
    Member,
    MemberState,
    to_wire_state,
)
from .membership_store import MemberStore
from .membership_writer import DatagramWriter, priority_updates_for

MIN_SYNC_SPACING_S = 5.0
LEAVE_FANOUT = 8


class MembershipTable:
    """The local view of the cluster, and the gossip protocol that maintains it.

    Performs no I/O and reads no clock: `tick` and `on_message` return the messages
    to send.

    Parameters
    ----------
    local_member : Member
        The record of this process, with its address and boot id.
    options : MembershipOptions
    rng : random.Random

    Examples
    --------
    >>> local_member = Member("a", "boot", address="127.0.0.1", peer_port=1)
    >>> table = MembershipTable(local_member, MembershipOptions(), random.Random(1))
    >>> [member.node_id for member in table.alive()]
    ['a']
    """

    def __init__(
        self, local_member: Member, options: MembershipOptions, rng: random.Random
    ) -> None:
        self._options = options
        self._rng = rng
        self._store = MemberStore(local_member, options, rng)
        self._prober = Prober(options, rng)
        self._writer = DatagramWriter(self._store, options)
        self._reconnector = Reconnector(
            self._store, self._prober, self._writer, options, rng
        )
        self._receiver = Receiver(
            self._store, self._prober, self._writer, self._reconnector
        )
        self._leaving_hosts: frozenset[str] = frozenset()
        self._last_tick_s: float | None = None
        self._next_probe_s = 0.0
        self._next_sync_s = 0.0
        self._last_sync_s = float("-inf")
        self._alive_cache: tuple[int, tuple[Member, ...]] = (-1, ())

    @property
    def local_member(self) -> Member:
        """The current record of this process."""
        return self._store.local_member

    @property
    def version(self) -> int:
        """Version number of the table, incremented on each change of a record."""
        return self._store.version

    def members(self) -> tuple[Member, ...]:
        """Return all records, including this process and dead members."""
        others = self._store.records.values()
        listed = (m for m in others if not self._store.is_tombstone(m.node_id))
        return (self.local_member, *listed)

    def alive(self) -> tuple[Member, ...]:
        """Return the members that are alive or suspected.

        This process is included until it leaves. The order can change whenever a
        record changes.
        """
        if self._alive_cache[0] != self.version:
            records = self._store.records
            others = tuple(records[node_id] for node_id in self._store.up_ids)
            own = (self.local_member,) if self.local_member.is_up else ()
            self._alive_cache = (self.version, own + others)
        return self._alive_cache[1]

    def get(self, node_id: str) -> Member | None:
        """Return the record with a node id, or None if there is none."""
        return self._store.get(node_id)

    def take_events(self) -> list[Event]:
        """Return the events since the last call, oldest first."""
        return self._store.take_events()

    def add_seed(self, address: str, port: int) -> None:
        """Add a seed address at which another process may listen."""
        self._reconnector.add_seed(Address(address, port))

    def set_seeds(self, seeds: Iterable[Address]) -> None:
        """Replace the seed addresses."""
        self._reconnector.seeds.clear()
        for seed in seeds:
            self.add_seed(seed.address, seed.port)

    def mark_platform_leaving(self, hosts: Iterable[str]) -> None:
        """Replace the set of hosts that the platform reports as leaving."""
        self._leaving_hosts = frozenset(hosts)

    def is_platform_leaving(self, member: Member) -> bool:
        """Return whether the platform reports the member's host as leaving."""
        return member.host in self._leaving_hosts

    def preload(self, members: Iterable[Member], now_s: float) -> None:
        """Merge records from another source without gossiping them."""
        for member in members:
            self._store.merge(member, now_s, synced=True, disseminate=False)

    def update_local_member(self, **changes: object) -> None:
        """Change fields of the local record, such as `models`, and gossip it."""
        local_member = attrs.evolve(self.local_member, **changes)  # type: ignore[arg-type]
        if local_member != self.local_member:
            self._store.set_local_member(
                attrs.evolve(local_member, incarnation=local_member.incarnation + 1)
            )

    def leave(self, now_s: float) -> list[Action]:
        """Leave gracefully: members that learn of it remove this process at once.

        This process keeps probing and answering until it stops, which disseminates
        the update.
        """
        if self.local_member.state is not MemberState.LEFT:
            self._store.set_local_member(
                attrs.evolve(self.local_member, state=MemberState.LEFT)
            )
        return [
            self._writer.send(member, now_s, [to_wire_state(self.local_member)])
            for member in self._store.sample(LEAVE_FANOUT)
        ]

    def tick(self, now_s: float) -> list[Action]:
        """Run the timers: probe, gossip, sync and expire records as due.

        Call it several times per probe interval.

        Parameters
        ----------
        now_s : float

        Returns
        -------
        list of Action
        """
        self._detect_pause(now_s)
        self._store.expire(now_s)
        actions = self._probe_indirectly(now_s)
        if now_s >= self._next_probe_s:
            self._next_probe_s += self._options.probe_interval_s
            self._next_probe_s = max(self._next_probe_s, now_s)
            actions += self._probe(now_s)
            actions += self._notify_suspect(now_s)
            actions += self._gossip(now_s)
        actions += self._reconnector.tick(now_s)
        actions += self._sync_if_due(now_s)
        return actions

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
        return self._receiver.on_message(body, sender, now_s)

    def sync_request(self) -> ttypes.SyncRequest:
        """Return a sync request with the local record and the states of the others."""
        return self._receiver.sync_request()

    def sync_reply(self, request: ttypes.SyncRequest, now_s: float) -> ttypes.SyncReply:
        """Merge a sync request and return the records that are newer here."""
        return self._receiver.sync_reply(request, now_s)

    def dump(self) -> dict[str, object]:
        """Return the table as plain data for the state dump."""
        return {
            "members": [
                {**attrs.asdict(member), "state": member.state.value}
                for member in self.members()
            ],
            "seeds": [
                f"{seed.address}:{seed.port}" for seed in self._reconnector.seeds
            ],
            "platform_leaving": sorted(self._leaving_hosts),
            "queued_updates": len(self._store.updates),
        }

    def _detect_pause(self, now_s: float) -> None:
        last_s = self._last_tick_s
        self._last_tick_s = now_s
        if last_s is None:
            interval_s = self._options.probe_interval_s
            self._next_probe_s = now_s + self._rng.random() * interval_s
            return
        pause_s = now_s - last_s
        if pause_s > self._options.max_pause_s:
            self._prober.current = None
            self._store.handle_pause(pause_s, now_s)

    def _probe(self, now_s: float) -> list[Action]:
        missed = self._prober.finish()
        if missed is not None:
            self._store.suspect(missed, now_s)
        started = self._prober.start(self._store, now_s)
        if started is None:
            return []
        target, sequence = started
        return [
            self._writer.send(target, now_s, priority_updates_for(target), sequence)
        ]

    def _probe_indirectly(self, now_s: float) -> list[Action]:
        if (
            not self._prober.is_indirect_probe_due(now_s)
            or self._prober.current is None
        ):
            return []
        probe = self._prober.current
        target = self._store.get(probe.node_id)
        if target is None:
            return []
        body = ttypes.IndirectPing(
            node_id=self.local_member.node_id,
            sequence=probe.sequence,
            target=ttypes.Member(
                node_id=target.node_id,
                address=target.address,
                peer_port=target.peer_port,
                boot_id=target.boot_id,
                incarnation=target.incarnation,
                state=target.state.value,
            ),
        )
        others = self._store.sample(self._options.indirect_probes, target.node_id)
        return [SendDatagram(other.peer_address, body) for other in others]

    def _notify_suspect(self, now_s: float) -> list[Action]:
        # Ping a suspect again with its suspicion, so that it can refute it: the
        # probe may have failed only because of packet loss.
        suspects = list(self._store.locally_suspected)
        if not suspects:
            return []
        suspect = self._store.records[self._rng.choice(suspects)]
        sequence = self._prober.next_sequence()
        return [
            self._writer.send(suspect, now_s, priority_updates_for(suspect), sequence)
        ]

    def _gossip(self, now_s: float) -> list[Action]:
        actions: list[Action] = []
        for member in self._store.sample(self._options.gossip_fanout):
            updates = self._writer.take_updates(now_s, [])
            if not updates:
                break
            actions.append(
                SendDatagram(member.peer_address, self._writer.ping(updates))
            )
        return actions

    def _sync_if_due(self, now_s: float) -> list[Action]:
        soon = self._store.needs_sync
        spaced = now_s >= self._last_sync_s + MIN_SYNC_SPACING_S
        if not (now_s >= self._next_sync_s or (soon and spaced)):
            return []
        partners = self._store.sample(1)
        if not partners:
            return []
        self._store.needs_sync = False
        self._last_sync_s = now_s
        wait_s = self._options.sync_after_s(self._store.size)
        self._next_sync_s = now_s + wait_s * (0.5 + self._rng.random())
        return [RequestSync(partners[0].peer_address)]
