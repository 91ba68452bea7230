"""A lossy, reordering network of membership tables in virtual time."""

import heapq
import itertools
import random

import attrs

from sorrelhoist.decisions.membership import MembershipTable
from sorrelhoist.decisions.membership_options import (
    MembershipOptions,
    RequestSync,
    SendDatagram,
)
from sorrelhoist.decisions.membership_records import Member
from sorrelhoist.messages import frames

TICK_S = 0.2


def member(index, boot="boot", **values):
    address = f"10.0.{index // 250}.{index % 250 + 1}"
    return Member(
        f"node-{index}", boot, address=address, peer_port=7000, host=f"h{index}",
        role="agent", **values,
    )  # fmt: skip


@attrs.define
class Network:
    """Delivers what tables send; faults are attributes."""

    rng: random.Random
    options: MembershipOptions = MembershipOptions()
    loss: float = 0.0
    duplicates: float = 0.0
    most_delay_s: float = 0.002
    now_s: float = 100.0
    tables: dict = attrs.field(factory=dict)
    paused: set = attrs.field(factory=set)
    sides: dict = attrs.field(factory=dict)
    sent_bytes: int = 0
    sent_datagrams: int = 0
    _queue: list = attrs.field(factory=list)
    _order: object = attrs.field(factory=itertools.count)

    def start(self, index, boot="boot", seeds=(0, 1)):
        me = member(index, boot)
        table = MembershipTable(me, self.options, random.Random(self.rng.random()))
        for seed in seeds:
            table.add_seed(member(seed).address, 7000)
        self.tables[me.peer_address] = table
        self._push(self.rng.random() * TICK_S, me.peer_address, table, None)
        return table

    def stop(self, index):
        del self.tables[member(index).peer_address]

    def table(self, index):
        return self.tables[member(index).peer_address]

    def run(self, duration_s):
        until_s = self.now_s + duration_s
        while self._queue and self._queue[0][0] <= until_s:
            self.now_s, _, to, table, packet = heapq.heappop(self._queue)
            self._step(to, table, packet)
        self.now_s = until_s

    def run_until(self, condition, limit_s):
        start_s = self.now_s
        while not condition():
            assert self.now_s < start_s + limit_s, "no agreement in time"
            self.run(0.5)
        return self.now_s - start_s

    def agreed(self):
        running = {table.me.node_id for table in self.tables.values()}
        return all(
            {m.node_id for m in table.alive()} == running
            for table in self.tables.values()
        )

    def _step(self, to, table, packet):
        if packet is None:
            if self.tables.get(to) is not table:
                return
            if to not in self.paused:
                self._do(to, table.tick(self.now_s))
            self._push(TICK_S, to, table, None)
            return
        sender, data = packet
        receiver = self.tables.get(to)
        if receiver is not None and to not in self.paused:
            body = frames.decode(data).body
            self._do(to, receiver.on_message(body, sender, self.now_s))

    def _do(self, sender, actions):
        for action in actions:
            match action:
                case SendDatagram(to, body):
                    self._send(sender, to, frames.encode(frames.Message(0, body)))
                case RequestSync(to):
                    self._sync(sender, to)

    def _send(self, sender, to, data):
        assert len(data) <= frames.MAX_DATAGRAM_BYTES
        self.sent_bytes += len(data)
        self.sent_datagrams += 1
        copies = 2 if self.rng.random() < self.duplicates else 1
        for _ in range(copies):
            if self.rng.random() >= self.loss and self._reachable(sender, to):
                delay_s = self.rng.random() * self.most_delay_s
                self._push(delay_s, to, None, (sender, data))

    def _sync(self, sender, to):
        other = self.tables.get(to)
        if other is None or to in self.paused or not self._reachable(sender, to):
            return
        table = self.tables[sender]
        request = _copied(table.sync_request())
        reply = _copied(other.sync_reply(request, self.now_s))
        self._do(sender, table.on_message(reply, to, self.now_s))

    def _reachable(self, sender, to):
        return self.sides.get(sender, 0) == self.sides.get(to, 0)

    def _push(self, delay_s, to, table, packet):
        entry = (self.now_s + delay_s, next(self._order), to, table, packet)
        heapq.heappush(self._queue, entry)


def _copied(body):
    return frames.decode(frames.encode(frames.Message(0, body))).body
