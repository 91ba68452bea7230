"""A network of membership tables in one process and in virtual time.

It loses, duplicates, delays and reorders datagrams, cuts itself into sides and
pauses members, as told.
"""

import heapq
import itertools
import random
from collections.abc import Callable, Iterator, Sequence
from typing import Any

import attrs

from ...decisions.membership import MembershipTable
from ...decisions.membership_options import (
    Action,
    Datagram,
    MembershipOptions,
    RequestSync,
    SendDatagram,
)
from ...decisions.membership_records import Address, Member
from ...messages import frames
from ...messages.gen import ttypes

TICK_S = 0.2
PEER_PORT = 7000
HOSTS_PER_NET = 250
DIGEST = ttypes.Digest(1, "0" * 64)


class DisagreementError(AssertionError):
    """The members didn't agree within the limit of virtual time."""


def make_member(index: int, boot_id: str = "boot-0") -> Member:
    """Make the record of a member with fields of usual lengths."""
    net, host = divmod(index, HOSTS_PER_NET)
    return Member(
        node_id=f"node-{index}",
        boot_id=boot_id,
        role="agent",
        address=f"10.0.{net}.{host + 1}",
        peer_port=PEER_PORT,
        http_port=8080,
        host=f"host-{index}",
        failure_domain=f"praha-{'abc'[index % 3]}",
        region="cz-central",
        endpoint=f"praha-{index}",
        models=("clown-large",),
    )


@attrs.frozen
class _Packet:
    sender: Address
    data: bytes


@attrs.define
class VirtualNetwork:
    """Delivers what the tables send; the faults are attributes.

    Parameters
    ----------
    rng : random.Random
    options : MembershipOptions
    loss, duplicates : float
        Shares of the datagrams.
    most_delay_s : float
        Datagrams take a random time up to it, and so overtake each other.
    now_s : float
        Virtual time.
    """

    rng: random.Random
    options: MembershipOptions = MembershipOptions()
    loss: float = 0.0
    duplicates: float = 0.0
    most_delay_s: float = 0.002
    now_s: float = 100.0
    tables: dict[Address, MembershipTable] = attrs.field(factory=dict)
    paused: set[Address] = attrs.field(factory=set)
    sides: dict[Address, int] = attrs.field(factory=dict)
    sent_datagrams: int = attrs.field(init=False, default=0)
    sent_bytes: int = attrs.field(init=False, default=0)
    sync_bytes: int = attrs.field(init=False, default=0)
    _queue: list[tuple[float, int, Address, Any]] = attrs.field(
        init=False, factory=list
    )
    _order: Iterator[int] = attrs.field(init=False, factory=itertools.count)

    def start(
        self, index: int, boot_id: str = "boot-0", seeds: Sequence[int] = (0, 1)
    ) -> MembershipTable:
        """Start a member that knows the seeds only."""
        local_member = make_member(index, boot_id)
        table = MembershipTable(
            local_member, self.options, random.Random(self.rng.random())
        )
        for seed in seeds:
            table.add_seed(make_member(seed).address, PEER_PORT)
        self.tables[local_member.peer_address] = table
        self._push(self.rng.random() * TICK_S, local_member.peer_address, table)
        return table

    def stop(self, index: int) -> None:
        """Let a member die."""
        del self.tables[make_member(index).peer_address]

    def table(self, index: int) -> MembershipTable:
        """Return the table of a running member."""
        return self.tables[make_member(index).peer_address]

    def run(self, duration_s: float) -> None:
        """Let virtual time pass."""
        until_s = self.now_s + duration_s
        while self._queue and self._queue[0][0] <= until_s:
            self.now_s, _, to, item = heapq.heappop(self._queue)
            if isinstance(item, _Packet):
                self._deliver(to, item)
            else:
                self._tick(to, item)
        self.now_s = until_s

    def run_until(self, condition: Callable[[], bool], limit_s: float) -> float:
        """Run until a condition holds; return the virtual seconds it took."""
        start_s = self.now_s
        while not condition():
            if self.now_s >= start_s + limit_s:
                raise DisagreementError(f"no agreement after {limit_s} s")
            self.run(TICK_S)
        return self.now_s - start_s

    def agreed(self) -> bool:
        """Whether each member that stays lists exactly those that run and stay.

        One that has left gets no gossip, so it learns by its own probes only.
        """
        tables = [table for table in self.tables.values() if table.local_member.is_up]
        staying = {table.local_member.node_id for table in tables}
        return all(_lists(table, staying) for table in tables)

    def _tick(self, to: Address, table: MembershipTable) -> None:
        if self.tables.get(to) is not table:
            return
        if to not in self.paused:
            self.perform(to, table.tick(self.now_s))
        self._push(TICK_S, to, table)

    def _deliver(self, to: Address, packet: _Packet) -> None:
        table = self.tables.get(to)
        if table is not None and to not in self.paused:
            body = frames.decode(packet.data).body
            self.perform(to, table.on_message(body, packet.sender, self.now_s))

    def perform(self, sender: Address, actions: Sequence[Action]) -> None:
        """Do what a table asked for."""
        for action in actions:
            match action:
                case SendDatagram(to, body):
                    self._send(sender, to, body)
                case RequestSync(to):
                    self._sync(sender, to)

    def _send(self, sender: Address, to: Address, body: Datagram) -> None:
        if not isinstance(body, ttypes.IndirectPing):
            body.digest = DIGEST
        data = frames.encode(frames.Message(0, body))
        if len(data) > frames.MAX_DATAGRAM_BYTES:
            raise ValueError(f"A datagram has {len(data)} bytes.")
        self.sent_bytes += len(data)
        self.sent_datagrams += 1
        copies = 2 if self.rng.random() < self.duplicates else 1
        for _ in range(copies):
            if self.rng.random() >= self.loss and self._is_joined(sender, to):
                delay_s = self.rng.random() * self.most_delay_s
                self._push(delay_s, to, _Packet(sender, data))

    def _sync(self, sender: Address, to: Address) -> None:
        other = self.tables.get(to)
        if other is None or to in self.paused or not self._is_joined(sender, to):
            return
        table = self.tables[sender]
        request = self._copied(table.sync_request())
        reply = self._copied(other.sync_reply(request, self.now_s))
        self.perform(sender, table.on_message(reply, to, self.now_s))

    def _copied(self, body: object) -> Any:
        data = frames.encode(frames.Message(0, body))
        self.sync_bytes += len(data)
        return frames.decode(data).body

    def _is_joined(self, sender: Address, to: Address) -> bool:
        return self.sides.get(sender, 0) == self.sides.get(to, 0)

    def _push(self, delay_s: float, to: Address, item: object) -> None:
        entry = (self.now_s + delay_s, next(self._order), to, item)
        heapq.heappush(self._queue, entry)


def _lists(table: MembershipTable, node_ids: set[str]) -> bool:
    alive = table.alive()
    if len(alive) != len(node_ids):
        return False
    return all(member.node_id in node_ids for member in alive)
