"""Reconnection to members that are considered dead, and to seed addresses.

After a network partition heals, each side considers the other dead; these probes
let the two sides merge again.
"""

import random

import attrs

from ..messages.gen import ttypes
from .membership_options import Action, MembershipOptions, RequestSync, SendDatagram
from .membership_probes import Prober
from .membership_records import Address, MemberState, to_wire
from .membership_store import MemberStore
from .membership_writer import DatagramWriter, priority_updates_for

MAX_SEEDS = 4096


@attrs.define
class Reconnector:
    """Probes one dead member and one seed per reconnect interval.

    Parameters
    ----------
    store : MemberStore
    prober : Prober
    writer : DatagramWriter
    options : MembershipOptions
    rng : random.Random
    """

    store: MemberStore
    prober: Prober
    writer: DatagramWriter
    options: MembershipOptions
    rng: random.Random
    seeds: dict[Address, None] = attrs.field(init=False, factory=dict)
    _next_s: float = attrs.field(init=False, default=0.0)
    _current: tuple[str, int] | None = attrs.field(init=False, default=None)

    def add_seed(self, seed: Address) -> None:
        """Add a seed address; above `MAX_SEEDS` the oldest is dropped."""
        if seed == self.store.local_member.peer_address:
            return
        self.seeds.pop(seed, None)
        self.seeds[seed] = None
        if len(self.seeds) > MAX_SEEDS:
            del self.seeds[next(iter(self.seeds))]

    def tick(self, now_s: float) -> list[Action]:
        """Probe a dead member and a seed when the reconnect interval has passed."""
        if now_s < self._next_s:
            return []
        alone = not self.store.up_ids
        options = self.options
        wait_s = options.probe_interval_s if alone else options.reconnect_interval_s
        self._next_s = now_s + wait_s * (0.5 + self.rng.random())
        actions = self._probe_dead(now_s)
        seeds = self._unknown_seeds()
        if seeds:
            seed = self.rng.choice(seeds)
            updates = self.writer.take_updates(
                now_s, [to_wire(self.store.local_member)]
            )
            ping = self.writer.ping(updates, self.prober.next_sequence())
            actions.append(SendDatagram(seed, ping))
            if alone:
                actions.append(RequestSync(seed))
        return actions

    def _probe_dead(self, now_s: float) -> list[Action]:
        dead = [
            member
            for node_id in self.store.down_since_s
            if (member := self.store.records[node_id]).state is MemberState.DEAD
        ]
        if not dead:
            return []
        target = self.rng.choice(dead)
        sequence = self.prober.next_sequence()
        self._current = (target.node_id, sequence)
        priority_updates = [
            to_wire(self.store.local_member),
            *priority_updates_for(target),
        ]
        return [self.writer.send(target, now_s, priority_updates, sequence)]

    def _unknown_seeds(self) -> list[Address]:
        known = {self.store.records[name].peer_address for name in self.store.up_ids}
        return [seed for seed in self.seeds if seed not in known]

    def answered(self, pong: ttypes.Pong, now_s: float) -> None:
        """Schedule the next probe early after a dead member answered."""
        if self._current != (pong.node_id, pong.sequence):
            return
        self._current = None
        self._next_s = now_s + self.options.probe_interval_s
        self.store.needs_sync = True
