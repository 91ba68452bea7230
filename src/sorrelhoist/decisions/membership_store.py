"""The records of all members and the rules by which reports change them.

Two rules go beyond the order of the records. A death is believed only of a
member that is under suspicion here, so that each member had the time to refute.
A death that comes with a full sync only makes this process probe the member
itself: after a partition both sides hold each other dead, and must not kill each
other again.
"""

import random
from collections import deque
from itertools import takewhile

import attrs

from .membership_options import (
    Event,
    MemberChanged,
    MemberDown,
    MembershipOptions,
    MemberUp,
    NodeIdConflict,
)
from .membership_records import Member, MemberState
from .membership_updates import UpdateQueue

MAX_VERIFY = 4096
MAX_GUARDS = 8192
MAX_EVENTS = 65536
MAX_CONFLICT_RAISES = 2
AFTER_PAUSE_S = 60.0
UPDATE_BURST_BYTES = 4000.0


@attrs.define
class MemberStore:
    """Records by node id, with their timers.

    Parameters
    ----------
    me : Member
        The record of this process.
    options : MembershipOptions
    rng : random.Random
    """

    me: Member
    options: MembershipOptions
    rng: random.Random
    records: dict[str, Member] = attrs.field(init=False, factory=dict)
    updates: UpdateQueue = attrs.field(init=False)
    to_verify: deque[str] = attrs.field(
        init=False, factory=lambda: deque(maxlen=MAX_VERIFY)
    )
    wants_sync: bool = attrs.field(init=False, default=False)
    version: int = attrs.field(init=False, default=0)
    up_ids: list[str] = attrs.field(init=False, factory=list)
    new_ids: list[str] = attrs.field(init=False, factory=list)
    own_suspects: dict[str, None] = attrs.field(init=False, factory=dict)
    down_since_s: dict[str, float] = attrs.field(init=False, factory=dict)
    _up_index: dict[str, int] = attrs.field(init=False, factory=dict)
    _suspected_until_s: dict[str, float] = attrs.field(init=False, factory=dict)
    _guarded_since_s: dict[str, float] = attrs.field(init=False, factory=dict)
    _events: deque[Event] = attrs.field(
        init=False, factory=lambda: deque(maxlen=MAX_EVENTS)
    )
    _raises: dict[str, int] = attrs.field(init=False, factory=dict)
    _paused_at_s: float | None = attrs.field(init=False, default=None)

    def __attrs_post_init__(self) -> None:
        self.updates = UpdateQueue(self.options.update_bytes_per_s, UPDATE_BURST_BYTES)
        self.updates.push(self.me)

    @property
    def size(self) -> int:
        """Count of members that are up, this process included."""
        return len(self.up_ids) + 1

    def get(self, node_id: str) -> Member | None:
        """Return the record of a node id, that of this process included."""
        if node_id == self.me.node_id:
            return self.me
        return self.records.get(node_id)

    def is_forgotten(self, node_id: str) -> bool:
        """Whether a record only guards against stale updates."""
        return node_id in self._guarded_since_s

    def sample(self, count: int, without: str = "") -> list[Member]:
        """Choose members that are up at random, this process excluded."""
        wanted = min(len(self.up_ids), count + 1)
        chosen = [node_id for node_id in self.rng.sample(self.up_ids, wanted)]
        kept = [node_id for node_id in chosen if node_id != without]
        return [self.records[node_id] for node_id in kept[:count]]

    def take_events(self) -> list[Event]:
        """Return the events since the last call."""
        events = list(self._events)
        self._events.clear()
        return events

    def set_me(self, me: Member) -> None:
        """Replace the own record and spread it."""
        self.me = me
        self.version += 1
        self.updates.push(me)

    def merge(
        self, report: Member, now_s: float, *, synced: bool = False, spread: bool = True
    ) -> None:
        """Take in what another process says of a member.

        Parameters
        ----------
        report : Member
        now_s : float
        synced : bool
            Whether it came with a full sync instead of gossip.
        spread : bool
            Whether to pass it on.
        """
        if report.node_id == self.me.node_id:
            self._merge_me(report, now_s)
            return
        known = self.records.get(report.node_id)
        if known is None:
            self._merge_unknown(report, now_s, spread)
            return
        if report.order <= known.order:
            return
        news = self._judge(known, report, synced)
        if news is not None:
            self._put(news, now_s, spread)

    def suspect(self, node_id: str, now_s: float) -> None:
        """Start the suspicion of a member that didn't answer."""
        known = self.records.get(node_id)
        if known is not None and known.state is MemberState.ALIVE:
            self._put(attrs.evolve(known, state=MemberState.SUSPECT), now_s)
            self.own_suspects[node_id] = None

    def expire(self, now_s: float) -> None:
        """Act on suspicions, deaths and guards whose time is over."""
        for node_id in _due(self._suspected_until_s, now_s):
            known = self.records[node_id]
            self._put(attrs.evolve(known, state=MemberState.DEAD), now_s)
        for node_id in _oldest(self.down_since_s, now_s - self.options.forget_s):
            del self.down_since_s[node_id]
            self._guarded_since_s[node_id] = now_s
            self.version += 1
        guarded_s = now_s - self.options.guard_s
        for node_id in _oldest(self._guarded_since_s, guarded_s):
            self._drop_guard(node_id)
        while len(self._guarded_since_s) > MAX_GUARDS:
            self._drop_guard(next(iter(self._guarded_since_s)))

    def note_pause(self, pause_s: float, now_s: float) -> None:
        """Give suspects the time back in which this process didn't listen."""
        self._paused_at_s = now_s
        for node_id in self._suspected_until_s:
            self._suspected_until_s[node_id] += pause_s
        self.wants_sync = True

    def _judge(self, known: Member, report: Member, synced: bool) -> Member | None:
        # The record to keep, or None to leave it as it is.
        if not report.address and report.is_up and report.boot_id != known.boot_id:
            self.wants_sync = True
            return None
        whole = report if report.address else _with_state(known, report)
        if report.state is not MemberState.DEAD or not known.is_up:
            return whole
        if synced:
            self._verify(known.node_id)
            return None
        if known.state is MemberState.SUSPECT:
            return whole
        return attrs.evolve(whole, state=MemberState.SUSPECT)

    def _merge_unknown(self, report: Member, now_s: float, spread: bool) -> None:
        if len(self.records) >= self.options.max_members:
            return
        if report.is_up and not report.address:
            self.wants_sync = True
            return
        if report.address or not report.is_up:
            self._put(report, now_s, spread and report.is_up)

    def _merge_me(self, report: Member, now_s: float) -> None:
        if report.boot_id == self.me.boot_id:
            if report.order <= self.me.order:
                return
        elif report.incarnation < self.me.incarnation:
            return
        elif self._is_conflict(report, now_s):
            self._events.append(NodeIdConflict(report))
            return
        self.set_me(attrs.evolve(self.me, incarnation=report.incarnation + 1))

    def _is_conflict(self, report: Member, now_s: float) -> bool:
        # A living process elsewhere has raised its incarnation over this one.
        elsewhere = report.address and report.peer_address != self.me.peer_address
        if not report.is_up or not elsewhere:
            return False
        if self._paused_at_s is not None and now_s - self._paused_at_s < AFTER_PAUSE_S:
            return True
        raises = self._raises.get(report.boot_id, 0)
        self._raises[report.boot_id] = raises + 1
        return raises >= MAX_CONFLICT_RAISES

    def _put(self, member: Member, now_s: float, spread: bool = True) -> None:
        node_id = member.node_id
        known = self.records.get(node_id)
        self.records[node_id] = member
        self.version += 1
        self._suspected_until_s.pop(node_id, None)
        self.own_suspects.pop(node_id, None)
        if member.is_up:
            self._put_up(member, now_s)
        else:
            self._put_down(member, now_s)
        self._note_change(known, member)
        if spread:
            self.updates.push(member)

    def _put_up(self, member: Member, now_s: float) -> None:
        node_id = member.node_id
        if node_id not in self._up_index:
            self._up_index[node_id] = len(self.up_ids)
            self.up_ids.append(node_id)
            self.new_ids.append(node_id)
        self.down_since_s.pop(node_id, None)
        self._guarded_since_s.pop(node_id, None)
        if member.state is MemberState.SUSPECT:
            timeout_s = self.options.suspicion_timeout_s(self.size)
            self._suspected_until_s[node_id] = now_s + timeout_s

    def _put_down(self, member: Member, now_s: float) -> None:
        node_id = member.node_id
        index = self._up_index.pop(node_id, None)
        if index is not None:
            last = self.up_ids.pop()
            if last != node_id:
                self.up_ids[index] = last
                self._up_index[last] = index
        if not member.address:
            self._guarded_since_s.setdefault(node_id, now_s)
        elif node_id not in self._guarded_since_s:
            self.down_since_s.setdefault(node_id, now_s)

    def _note_change(self, known: Member | None, member: Member) -> None:
        was_up = known is not None and known.is_up
        if not member.is_up:
            if was_up:
                self._events.append(MemberDown(member))
            return
        restarted = known is not None and known.boot_id != member.boot_id
        if was_up and not restarted:
            self._events.append(MemberChanged(member))
        else:
            self._events.append(MemberUp(member))

    def _verify(self, node_id: str) -> None:
        if node_id not in self.to_verify:
            self.to_verify.append(node_id)

    def _drop_guard(self, node_id: str) -> None:
        del self._guarded_since_s[node_id]
        del self.records[node_id]


def _with_state(known: Member, report: Member) -> Member:
    return attrs.evolve(
        known,
        state=report.state,
        incarnation=report.incarnation,
        boot_id=report.boot_id,
    )


def _due(times_s: dict[str, float], now_s: float) -> list[str]:
    return [node_id for node_id, time_s in times_s.items() if time_s <= now_s]


def _oldest(times_s: dict[str, float], now_s: float) -> list[str]:
    # The same for times that were added in their order.
    due = takewhile(lambda item: item[1] <= now_s, times_s.items())
    return [node_id for node_id, _ in due]
