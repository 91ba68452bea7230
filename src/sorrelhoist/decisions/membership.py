"""A membership table in the manner of SWIM.

Each process probes one other per interval, so the cost per process doesn't grow
with the fleet. Changes ride on the probes and on a few extra datagrams, within a
budget of bytes. See Das, Gupta, Motivala: SWIM, DSN 2002.
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
from .membership_writer import DatagramWriter, lead_of

MIN_SYNC_SPACING_S = 5.0
LEAVE_FANOUT = 8


class MembershipTable:
    """What this process knows of the others, and what to send them.

    Nothing here reads a clock or a socket: `tick` and `on_message` return what
    to send.

    Parameters
    ----------
    self_member : Member
        The record of this process, with its address and boot id.
    options : MembershipOptions
    rng : random.Random

    Examples
    --------
    >>> me = Member("a", "boot", address="127.0.0.1", peer_port=1)
    >>> table = MembershipTable(me, MembershipOptions(), random.Random(1))
    >>> [member.node_id for member in table.alive()]
    ['a']
    """

    def __init__(
        self, self_member: Member, options: MembershipOptions, rng: random.Random
    ) -> None:
        self._options = options
        self._rng = rng
        self._store = MemberStore(self_member, options, rng)
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
        self._cached: tuple[int, tuple[Member, ...]] = (-1, ())

    @property
    def me(self) -> Member:
        """The present record of this process."""
        return self._store.me

    @property
    def version(self) -> int:
        """A number that rises with each change of a record."""
        return self._store.version

    def members(self) -> tuple[Member, ...]:
        """Return all records, this process and the dead included."""
        others = self._store.records.values()
        listed = (m for m in others if not self._store.is_forgotten(m.node_id))
        return (self.me, *listed)

    def alive(self) -> tuple[Member, ...]:
        """Return the members that are alive or only suspected.

        This process is included until it leaves. The order is stable between
        changes only.
        """
        if self._cached[0] != self.version:
            records = self._store.records
            others = tuple(records[node_id] for node_id in self._store.up_ids)
            own = (self.me,) if self.me.is_up else ()
            self._cached = (self.version, own + others)
        return self._cached[1]

    def get(self, node_id: str) -> Member | None:
        """Return the record of a node id, or None."""
        return self._store.get(node_id)

    def take_events(self) -> list[Event]:
        """Return what changed since the last call, oldest first."""
        return self._store.take_events()

    def add_seed(self, address: str, port: int) -> None:
        """Add a hint where another process may listen."""
        self._reconnector.add_seed(Address(address, port))

    def set_seeds(self, seeds: Iterable[Address]) -> None:
        """Replace the hints."""
        self._reconnector.seeds.clear()
        for seed in seeds:
            self.add_seed(seed.address, seed.port)

    def mark_platform_leaving(self, hosts: Iterable[str]) -> None:
        """Replace the hosts that the platform's list shows as leaving."""
        self._leaving_hosts = frozenset(hosts)

    def is_platform_leaving(self, member: Member) -> bool:
        """Whether the platform's list shows the member's host as leaving."""
        return member.host in self._leaving_hosts

    def preload(self, members: Iterable[Member], now_s: float) -> None:
        """Take in records that came from elsewhere, without spreading them."""
        for member in members:
            self._store.merge(member, now_s, synced=True, spread=False)

    def update_me(self, **changes: object) -> None:
        """Change fields of the own record, such as `models`, and spread it."""
        me = attrs.evolve(self.me, **changes)  # type: ignore[arg-type]
        if me != self.me:
            self._store.set_me(attrs.evolve(me, incarnation=me.incarnation + 1))

    def leave(self, now_s: float) -> list[Action]:
        """Leave gracefully: the others drop this process at once.

        It goes on probing and answering until it stops, which spreads the news.
        """
        if self.me.state is not MemberState.LEFT:
            self._store.set_me(attrs.evolve(self.me, state=MemberState.LEFT))
        return [
            self._writer.send(member, now_s, [to_wire_state(self.me)])
            for member in self._store.sample(LEAVE_FANOUT)
        ]

    def tick(self, now_s: float) -> list[Action]:
        """Do what is due.

        Parameters
        ----------
        now_s : float
            Call it several times per probe interval.

        Returns
        -------
        list of Action
        """
        self._note_pause(now_s)
        self._store.expire(now_s)
        actions = self._ask_others(now_s)
        if now_s >= self._next_probe_s:
            self._next_probe_s += self._options.probe_interval_s
            self._next_probe_s = max(self._next_probe_s, now_s)
            actions += self._probe(now_s)
            actions += self._remind(now_s)
            actions += self._spread(now_s)
        actions += self._reconnector.tick(now_s)
        actions += self._sync_one(now_s)
        return actions

    def on_message(self, body: object, sender: Address, now_s: float) -> list[Action]:
        """Take in a message.

        Parameters
        ----------
        body : object
            Any structure; those that don't belong here are ignored.
        sender : Address
            Where it came from.
        now_s : float

        Returns
        -------
        list of Action
        """
        return self._receiver.on_message(body, sender, now_s)

    def sync_request(self) -> ttypes.SyncRequest:
        """Make a request that carries only the states of the others."""
        return self._receiver.sync_request()

    def sync_reply(self, request: ttypes.SyncRequest, now_s: float) -> ttypes.SyncReply:
        """Take in a request and answer with what is newer here."""
        return self._receiver.sync_reply(request, now_s)

    def dump(self) -> dict[str, object]:
        """Return plain data for the state dump."""
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

    def _note_pause(self, now_s: float) -> None:
        last_s = self._last_tick_s
        self._last_tick_s = now_s
        if last_s is None:
            interval_s = self._options.probe_interval_s
            self._next_probe_s = now_s + self._rng.random() * interval_s
            return
        pause_s = now_s - last_s
        if pause_s > self._options.max_pause_s:
            self._prober.current = None
            self._store.note_pause(pause_s, now_s)

    def _probe(self, now_s: float) -> list[Action]:
        missed = self._prober.finish()
        if missed is not None:
            self._store.suspect(missed, now_s)
        started = self._prober.start(self._store, now_s)
        if started is None:
            return []
        target, sequence = started
        return [self._writer.send(target, now_s, lead_of(target), sequence)]

    def _ask_others(self, now_s: float) -> list[Action]:
        if not self._prober.is_late(now_s) or self._prober.current is None:
            return []
        probe = self._prober.current
        target = self._store.get(probe.node_id)
        if target is None:
            return []
        body = ttypes.IndirectPing(
            node_id=self.me.node_id,
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

    def _remind(self, now_s: float) -> list[Action]:
        # Tell a suspect once more that it has to refute, in case it is loss.
        suspects = list(self._store.own_suspects)
        if not suspects:
            return []
        suspect = self._store.records[self._rng.choice(suspects)]
        sequence = self._prober.next_sequence()
        return [self._writer.send(suspect, now_s, lead_of(suspect), sequence)]

    def _spread(self, now_s: float) -> list[Action]:
        actions: list[Action] = []
        for member in self._store.sample(self._options.gossip_fanout):
            updates = self._writer.pull(now_s, [])
            if not updates:
                break
            actions.append(
                SendDatagram(member.peer_address, self._writer.ping(updates))
            )
        return actions

    def _sync_one(self, now_s: float) -> list[Action]:
        soon = self._store.wants_sync
        spaced = now_s >= self._last_sync_s + MIN_SYNC_SPACING_S
        if not (now_s >= self._next_sync_s or (soon and spaced)):
            return []
        partners = self._store.sample(1)
        if not partners:
            return []
        self._store.wants_sync = False
        self._last_sync_s = now_s
        wait_s = self._options.sync_after_s(self._store.size)
        self._next_sync_s = now_s + wait_s * (0.5 + self._rng.random())
        return [RequestSync(partners[0].peer_address)]
