"""Find members again that are held dead, and those that only seeds name.

Two halves of a healed partition meet by this: each holds the other dead.
"""

import random

import attrs

from ..messages.gen import ttypes
from .membership_options import Action, MembershipOptions, RequestSync, SendDatagram
from .membership_probes import Prober
from .membership_records import Address, MemberState, to_wire
from .membership_store import MemberStore
from .membership_writer import DatagramWriter, lead_of

MAX_SEEDS = 4096


@attrs.define
class Reconnector:
    """Probes one dead member and one seed at long intervals.

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
        """Add a hint where another process may listen; the oldest give way."""
        if seed == self.store.me.peer_address:
            return
        self.seeds.pop(seed, None)
        self.seeds[seed] = None
        if len(self.seeds) > MAX_SEEDS:
            del self.seeds[next(iter(self.seeds))]

    def tick(self, now_s: float) -> list[Action]:
        """Probe a dead member and a seed when it is time."""
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
            updates = self.writer.pull(now_s, [to_wire(self.store.me)])
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
        leads = [to_wire(self.store.me), *lead_of(target)]
        return [self.writer.send(target, now_s, leads, sequence)]

    def _unknown_seeds(self) -> list[Address]:
        known = {self.store.records[name].peer_address for name in self.store.up_ids}
        return [seed for seed in self.seeds if seed not in known]

    def answered(self, pong: ttypes.Pong, now_s: float) -> None:
        """Try the next one soon after a dead member answered."""
        if self._current != (pong.node_id, pong.sequence):
            return
        self._current = None
        self._next_s = now_s + self.options.probe_interval_s
        self.store.wants_sync = True
