"""Failure detection: selection of probe targets, and direct and relayed probes."""

import random

import attrs

from ..messages.gen import ttypes
from .membership_options import MembershipOptions
from .membership_records import Address, Member
from .membership_store import MemberStore

MAX_RELAYS = 256
RELAY_TIMEOUT_INTERVALS = 2


@attrs.define
class Probe:
    """A probe in flight."""

    node_id: str
    sequence: int
    ack_deadline_s: float
    indirect_sent: bool = False
    answered: bool = False


@attrs.frozen
class Relay:
    """An indirect probe sent on behalf of another member."""

    origin: Address
    sequence: int
    node_id: str
    until_s: float


@attrs.define
class Prober:
    """Probes the members in round-robin order over a shuffled list.

    Parameters
    ----------
    options : MembershipOptions
    rng : random.Random
    """

    options: MembershipOptions
    rng: random.Random
    current: Probe | None = attrs.field(init=False, default=None)
    _order: list[str] = attrs.field(init=False, factory=list)
    _sequence: int = attrs.field(init=False, default=0)
    _relays: dict[int, Relay] = attrs.field(init=False, factory=dict)

    def next_sequence(self) -> int:
        """Return a new sequence number."""
        self._sequence += 1
        return self._sequence

    def start(self, store: MemberStore, now_s: float) -> tuple[Member, int] | None:
        """Select the next member to probe and record the probe as in flight.

        Returns
        -------
        tuple of Member and int, or None
            The member and the sequence number; None if there is no member to probe.
        """
        target = self._next_target(store)
        if target is None:
            self.current = None
            return None
        sequence = self.next_sequence()
        ack_deadline_s = now_s + self.options.ack_timeout_s
        self.current = Probe(target.node_id, sequence, ack_deadline_s)
        return target, sequence

    def is_indirect_probe_due(self, now_s: float) -> bool:
        """Return whether to send indirect probes now; true at most once per probe."""
        probe = self.current
        if probe is None or probe.answered or probe.indirect_sent:
            return False
        probe.indirect_sent = now_s >= probe.ack_deadline_s
        return probe.indirect_sent

    def finish(self) -> str | None:
        """End the current probe; return its node id if no ack arrived."""
        probe = self.current
        self.current = None
        if probe is None or probe.answered:
            return None
        return probe.node_id

    def relay(self, origin: Address, ping: ttypes.IndirectPing, now_s: float) -> int:
        """Record a probe on behalf of another member; return its sequence number."""
        while self._relays and (
            len(self._relays) >= MAX_RELAYS
            or next(iter(self._relays.values())).until_s <= now_s
        ):
            del self._relays[next(iter(self._relays))]
        sequence = self.next_sequence()
        until_s = now_s + RELAY_TIMEOUT_INTERVALS * self.options.probe_interval_s
        self._relays[sequence] = Relay(
            origin, ping.sequence, ping.target.node_id, until_s
        )
        return sequence

    def answered(self, pong: ttypes.Pong, now_s: float) -> Relay | None:
        """Process an ack; return the relayed probe that it answers, if any."""
        probe = self.current
        if probe is not None and probe.sequence == pong.sequence:
            probe.answered = probe.answered or probe.node_id == pong.node_id
        relay = self._relays.get(pong.sequence)
        if relay is None or relay.node_id != pong.node_id or relay.until_s < now_s:
            return None
        del self._relays[pong.sequence]
        return relay

    def _next_target(self, store: MemberStore) -> Member | None:
        while store.new_ids:
            index = self.rng.randint(0, len(self._order))
            self._order.insert(index, store.new_ids.pop())
        while store.to_verify:
            member = store.get(store.to_verify.popleft())
            if member is not None and member.is_up:
                return member
        if not store.up_ids:
            return None
        while True:
            if not self._order:
                self._order = list(store.up_ids)
                self.rng.shuffle(self._order)
            member = store.get(self._order.pop())
            if member is not None and member.is_up:
                return member
