"""Model of a network of membership tables in virtual time.

It injects faults: lost, duplicated, delayed and reordered datagrams, partitions and
paused members.
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


class NotConvergedError(AssertionError):
    """The condition did not hold within the limit of virtual time."""


def make_member(index: int, boot_id: str = "boot-0") -> Member:
    """Return the record of a member with fields of typical lengths."""
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
    """Deliver the messages of membership tables, with the faults set as attributes.

    Parameters
    ----------
    rng : random.Random
    options : MembershipOptions
    loss, duplicates : float
        Probabilities that a datagram is lost and that it is duplicated.
    most_delay_s : float
        Longest delay of a datagram. Delays are random, so datagrams are reordered.
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
        """Start a member that knows only the seeds."""
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
        """Stop a member without notice, as in a crash."""
        del self.tables[make_member(index).peer_address]

    def table(self, index: int) -> MembershipTable:
        """Return the table of a running member."""
        return self.tables[make_member(index).peer_address]

    def run(self, duration_s: float) -> None:
        """Run for a virtual duration."""
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
                raise NotConvergedError(
                    f"no convergence after {limit_s} s of virtual time"
                )
            self.run(TICK_S)
        return self.now_s - start_s

    def has_converged(self) -> bool:
        """Return whether each member that is up lists exactly the members that are up.

        A member that has left is not checked: it gets no gossip and learns of changes
        only by its own probes.
        """
        tables = [table for table in self.tables.values() if table.local_member.is_up]
        up_node_ids = {table.local_member.node_id for table in tables}
        return all(_lists_exactly(table, up_node_ids) for table in tables)

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
        """Carry out the actions that a table returned."""
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
            raise ValueError(f"datagram of {len(data)} bytes exceeds the limit")
        self.sent_bytes += len(data)
        self.sent_datagrams += 1
        copies = 2 if self.rng.random() < self.duplicates else 1
        for _ in range(copies):
            if self.rng.random() >= self.loss and self._is_connected(sender, to):
                delay_s = self.rng.random() * self.most_delay_s
                self._push(delay_s, to, _Packet(sender, data))

    def _sync(self, sender: Address, to: Address) -> None:
        other = self.tables.get(to)
        if other is None or to in self.paused or not self._is_connected(sender, to):
            return
        table = self.tables[sender]
        request = self._encode_and_decode(table.sync_request())
        reply = self._encode_and_decode(other.sync_reply(request, self.now_s))
        self.perform(sender, table.on_message(reply, to, self.now_s))

    def _encode_and_decode(self, body: object) -> Any:
        data = frames.encode(frames.Message(0, body))
        self.sync_bytes += len(data)
        return frames.decode(data).body

    def _is_connected(self, sender: Address, to: Address) -> bool:
        return self.sides.get(sender, 0) == self.sides.get(to, 0)

    def _push(self, delay_s: float, to: Address, item: object) -> None:
        entry = (self.now_s + delay_s, next(self._order), to, item)
        heapq.heappush(self._queue, entry)


def _lists_exactly(table: MembershipTable, node_ids: set[str]) -> bool:
    alive = table.alive()
    if len(alive) != len(node_ids):
        return False
    return all(member.node_id in node_ids for member in alive)
