"""Storage of member records, and conflict resolution between reported versions.

Two rules apply beyond the precedence of the records. A report of death is accepted
only for a member that is already suspected here, so that each member has had time to
refute; otherwise the member becomes a suspect. A report of death in a full sync only
makes this process probe the member itself: after a partition heals, each side still
has the other as dead, and accepting that would make live members dead again.
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

MAX_PENDING_VERIFICATIONS = 4096
MAX_TOMBSTONES = 8192
MAX_EVENTS = 65536
MAX_INCARNATION_RAISES = 2
# Processes whose raises are counted; the one that raised longest ago is dropped first.
MAX_TRACKED_BOOTS = 256
PAUSE_CONFLICT_WINDOW_S = 60.0
UPDATE_BURST_BYTES = 4000.0


@attrs.define
class MemberStore:
    """Member records by node id, with their timers and pending updates.

    Parameters
    ----------
    local_member : Member
        The record of this process.
    options : MembershipOptions
    rng : random.Random
    """

    local_member: Member
    options: MembershipOptions
    rng: random.Random
    records: dict[str, Member] = attrs.field(init=False, factory=dict)
    updates: UpdateQueue = attrs.field(init=False)
    to_verify: deque[str] = attrs.field(
        init=False, factory=lambda: deque(maxlen=MAX_PENDING_VERIFICATIONS)
    )
    needs_sync: bool = attrs.field(init=False, default=False)
    version: int = attrs.field(init=False, default=0)
    up_ids: list[str] = attrs.field(init=False, factory=list)
    new_ids: list[str] = attrs.field(init=False, factory=list)
    locally_suspected: dict[str, None] = attrs.field(init=False, factory=dict)
    down_since_s: dict[str, float] = attrs.field(init=False, factory=dict)
    _up_index: dict[str, int] = attrs.field(init=False, factory=dict)
    _suspected_until_s: dict[str, float] = attrs.field(init=False, factory=dict)
    _tombstoned_since_s: dict[str, float] = attrs.field(init=False, factory=dict)
    _events: deque[Event] = attrs.field(
        init=False, factory=lambda: deque(maxlen=MAX_EVENTS)
    )
    _incarnation_raises: dict[str, int] = attrs.field(init=False, factory=dict)
    _paused_at_s: float | None = attrs.field(init=False, default=None)

    def __attrs_post_init__(self) -> None:
        self.updates = UpdateQueue(self.options.update_bytes_per_s, UPDATE_BURST_BYTES)
        self.updates.push(self.local_member)

    @property
    def size(self) -> int:
        """Number of members that are up, including this process."""
        return len(self.up_ids) + 1

    def get(self, node_id: str) -> Member | None:
        """Return the record with a node id, which may be that of this process."""
        if node_id == self.local_member.node_id:
            return self.local_member
        return self.records.get(node_id)

    def is_tombstone(self, node_id: str) -> bool:
        """Return whether a record is kept only to reject stale updates."""
        return node_id in self._tombstoned_since_s

    def sample(self, count: int, without: str = "") -> list[Member]:
        """Choose random members that are up, excluding this process."""
        wanted = min(len(self.up_ids), count + 1)
        chosen = [node_id for node_id in self.rng.sample(self.up_ids, wanted)]
        kept = [node_id for node_id in chosen if node_id != without]
        return [self.records[node_id] for node_id in kept[:count]]

    def take_events(self) -> list[Event]:
        """Return the events since the last call."""
        events = list(self._events)
        self._events.clear()
        return events

    def set_local_member(self, local_member: Member) -> None:
        """Replace the local record and gossip it."""
        self.local_member = local_member
        self.version += 1
        self.updates.push(local_member)

    def merge(
        self,
        report: Member,
        now_s: float,
        *,
        synced: bool = False,
        disseminate: bool = True,
    ) -> None:
        """Merge a record that another process reported.

        Parameters
        ----------
        report : Member
        now_s : float
        synced : bool
            Whether the report came in a full sync instead of gossip.
        disseminate : bool
            Whether to gossip the accepted record to other members.
        """
        if report.node_id == self.local_member.node_id:
            self._merge_local(report, now_s)
            return
        known = self.records.get(report.node_id)
        if known is None:
            self._merge_unknown(report, now_s, disseminate)
            return
        if report.precedence <= known.precedence:
            return
        accepted = self._resolve(known, report, synced)
        if accepted is not None:
            self._put(accepted, now_s, disseminate)

    def suspect(self, node_id: str, now_s: float) -> None:
        """Mark a member that didn't answer a probe as suspected."""
        known = self.records.get(node_id)
        if known is not None and known.state is MemberState.ALIVE:
            self._put(attrs.evolve(known, state=MemberState.SUSPECT), now_s)
            self.locally_suspected[node_id] = None

    def expire(self, now_s: float) -> None:
        """Apply the timeouts of suspects, dead members and tombstones.

        Suspects that didn't refute in time become dead, dead members become
        tombstones, and old tombstones are deleted.
        """
        for node_id in _expired(self._suspected_until_s, now_s):
            known = self.records[node_id]
            self._put(attrs.evolve(known, state=MemberState.DEAD), now_s)
        for node_id in _expired_prefix(
            self.down_since_s, now_s - self.options.dead_retention_s
        ):
            del self.down_since_s[node_id]
            self._tombstoned_since_s[node_id] = now_s
            self.version += 1
        tombstone_cutoff_s = now_s - self.options.tombstone_retention_s
        for node_id in _expired_prefix(self._tombstoned_since_s, tombstone_cutoff_s):
            self._drop_tombstone(node_id)
        while len(self._tombstoned_since_s) > MAX_TOMBSTONES:
            self._drop_tombstone(next(iter(self._tombstoned_since_s)))

    def handle_pause(self, pause_s: float, now_s: float) -> None:
        """Extend suspicion timeouts by a pause in which no refutation was received."""
        self._paused_at_s = now_s
        for node_id in self._suspected_until_s:
            self._suspected_until_s[node_id] += pause_s
        self.needs_sync = True

    def _resolve(self, known: Member, report: Member, synced: bool) -> Member | None:
        # Returns the record to store, or None to keep the known one.
        if not report.address and report.is_up and report.boot_id != known.boot_id:
            self.needs_sync = True
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

    def _merge_unknown(self, report: Member, now_s: float, disseminate: bool) -> None:
        if len(self.records) >= self.options.max_members:
            return
        if report.is_up and not report.address:
            self.needs_sync = True
            return
        if report.address or not report.is_up:
            self._put(report, now_s, disseminate and report.is_up)

    def _merge_local(self, report: Member, now_s: float) -> None:
        if report.boot_id == self.local_member.boot_id:
            if report.precedence <= self.local_member.precedence:
                return
        elif report.incarnation < self.local_member.incarnation:
            return
        elif self._is_conflict(report, now_s):
            self._events.append(NodeIdConflict(report))
            return
        self.set_local_member(
            attrs.evolve(self.local_member, incarnation=report.incarnation + 1)
        )

    def _is_conflict(self, report: Member, now_s: float) -> bool:
        # Whether a live process at another address uses this node id and has raised
        # its incarnation above the local one: repeatedly, or soon after a pause of
        # this process.
        elsewhere = (
            report.address and report.peer_address != self.local_member.peer_address
        )
        if not report.is_up or not elsewhere:
            return False
        if (
            self._paused_at_s is not None
            and now_s - self._paused_at_s < PAUSE_CONFLICT_WINDOW_S
        ):
            return True
        raises = self._incarnation_raises.pop(report.boot_id, 0)
        self._incarnation_raises[report.boot_id] = raises + 1
        while len(self._incarnation_raises) > MAX_TRACKED_BOOTS:
            del self._incarnation_raises[next(iter(self._incarnation_raises))]
        return raises >= MAX_INCARNATION_RAISES

    def _put(self, member: Member, now_s: float, disseminate: bool = True) -> None:
        node_id = member.node_id
        known = self.records.get(node_id)
        self.records[node_id] = member
        self.version += 1
        self._suspected_until_s.pop(node_id, None)
        self.locally_suspected.pop(node_id, None)
        if member.is_up:
            self._put_up(member, now_s)
        else:
            self._put_down(member, now_s)
        self._record_event(known, member)
        if disseminate:
            self.updates.push(member)

    def _put_up(self, member: Member, now_s: float) -> None:
        node_id = member.node_id
        if node_id not in self._up_index:
            self._up_index[node_id] = len(self.up_ids)
            self.up_ids.append(node_id)
            self.new_ids.append(node_id)
        self.down_since_s.pop(node_id, None)
        self._tombstoned_since_s.pop(node_id, None)
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
            self._tombstoned_since_s.setdefault(node_id, now_s)
        elif node_id not in self._tombstoned_since_s:
            self.down_since_s.setdefault(node_id, now_s)

    def _record_event(self, known: Member | None, member: Member) -> None:
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

    def _drop_tombstone(self, node_id: str) -> None:
        del self._tombstoned_since_s[node_id]
        del self.records[node_id]


def _with_state(known: Member, report: Member) -> Member:
    return attrs.evolve(
        known,
        state=report.state,
        incarnation=report.incarnation,
        boot_id=report.boot_id,
    )


def _expired(times_s: dict[str, float], now_s: float) -> list[str]:
    return [node_id for node_id, time_s in times_s.items() if time_s <= now_s]


def _expired_prefix(times_s: dict[str, float], now_s: float) -> list[str]:
    # As `_expired`, for a dict whose times ascend in insertion order.
    due = takewhile(lambda item: item[1] <= now_s, times_s.items())
    return [node_id for node_id, _ in due]
