"""Load of each endpoint, from local placements and load reports of peers.

Each process reports its placements to its peers within tens of milliseconds. Otherwise
all of them, with stale views, would place a burst on the endpoint last seen idle.
"""

from collections.abc import Iterable, Iterator
from contextlib import contextmanager

import attrs

from .prefill_history import PrefillHistory

PEER_REPORT_TTL_S = 2.0
"""Age at which the report of a peer is ignored and the peer is considered gone: several
report intervals."""

MIN_REMAINING_SHARE = 0.1
"""Fraction of its prefill time that still counts when a prefill takes longer
than estimated."""

ASSUMED_TIGHT_PAUSE_MS, ASSUMED_PAUSE_MS = 250.0, 600.0
"""Pause targets that are assumed of tight and of other streams where none is known: in
reports of a former build, and for routes without a target."""


@attrs.frozen(kw_only=True)
class RequestUse:
    """Resources that one request uses on one endpoint.

    Parameters
    ----------
    address : str
    read_ms : float
        Prefill time of its part of the prompt.
    kv_tokens : int
    is_stream : bool
        Whether it occupies a slot in the decode batch; a helper's part does not.
    is_tight : bool
        Whether its stream has a short pause target.
    pause_ms : float
        Pause target of its stream; infinite if it has none.
    due_s : float
        Time by which its prefill must complete; after it the prefill is late.
    """

    address: str
    read_ms: float = 0.0
    kv_tokens: int = 0
    is_stream: bool = True
    is_tight: bool = False
    pause_ms: float = float("inf")
    due_s: float = float("inf")


@attrs.define(eq=False, repr=False, kw_only=True)
class EndpointUse:
    """Resources that all requests use on one endpoint.

    Parameters
    ----------
    address : str
    streams, tight_streams : int
    kv_tokens : int
    read_ms : float
        Prefill time of all prefills that have not completed.
    reading_s : float
        Start time of the oldest of them.
    helps : int
        Prefills of parts of a prompt that is decoded by another endpoint.
    due_s : float
        Earliest time by which one of the prefills must complete.
    placed_ms : float
        Cumulative prefill time of all prefills ever placed, including completed ones.
    pause_ms : float
        Shortest pause target of the streams; infinite if none is known.
    """

    address: str
    streams: int = 0
    tight_streams: int = 0
    kv_tokens: int = 0
    read_ms: float = 0.0
    reading_s: float = float("inf")
    helps: int = 0
    due_s: float = float("inf")
    placed_ms: float = 0.0
    pause_ms: float = float("inf")

    def add(self, use: RequestUse, placed_s: float, is_prefilling: bool) -> None:
        """Add the use of one request."""
        self.streams += use.is_stream
        self.tight_streams += use.is_stream and use.is_tight
        self.kv_tokens += use.kv_tokens
        if use.is_stream:
            self.pause_ms = min(self.pause_ms, use.pause_ms)
        if is_prefilling:
            self.read_ms += use.read_ms
            self.reading_s = min(self.reading_s, placed_s)
            self.helps += not use.is_stream
            self.due_s = min(self.due_s, use.due_s)

    def join(self, other: "EndpointUse") -> None:
        """Add the load that a peer reported for the same endpoint."""
        if other.streams:
            known_ms = self.shortest_pause_ms if self.streams else float("inf")
            self.pause_ms = min(known_ms, other.shortest_pause_ms)
        self.streams += other.streams
        self.tight_streams += other.tight_streams
        self.kv_tokens += other.kv_tokens
        self.read_ms += other.read_ms
        self.reading_s = min(self.reading_s, other.reading_s)
        self.helps += other.helps
        self.due_s = min(self.due_s, other.due_s)

    @property
    def shortest_pause_ms(self) -> float:
        """Shortest pause target of the streams, or what is assumed if none is known."""
        if self.pause_ms != float("inf"):
            return self.pause_ms
        return ASSUMED_TIGHT_PAUSE_MS if self.tight_streams else ASSUMED_PAUSE_MS

    def slack_ms(self, now_s: float) -> float:
        """Estimate the longest prefill that can run first and make no other late."""
        return (self.due_s - now_s) * 1000 - self.backlog_ms(now_s)

    def backlog_ms(self, now_s: float) -> float:
        """Estimate the prefill time that is still queued."""
        if not self.read_ms:
            return 0.0
        elapsed_ms = (now_s - self.reading_s) * 1000
        return max(self.read_ms - elapsed_ms, self.read_ms * MIN_REMAINING_SHARE)


@attrs.define(eq=False, repr=False)
class _Placement:
    uses: tuple[RequestUse, ...]
    placed_s: float
    is_prefilling: bool = True


@attrs.define(eq=False, repr=False)
class _PeerReport:
    """Last report of a peer, merged with the updates that are newer.

    Parameters
    ----------
    uses : dict
        Load by address.
    sequence, boot_ms : int
    heard_s : float
    updated : dict
        Sequence of the update that the load of an address comes from.
    sends_updates : bool
        Whether an update of this process was heard.
    """

    uses: dict[str, EndpointUse]
    sequence: int
    boot_ms: int
    heard_s: float
    updated: dict[str, int] = attrs.field(factory=dict)
    sends_updates: bool = False

    def placed_since(self, use: EndpointUse) -> float:
        """Return the prefill time placed on an endpoint since this report, in ms."""
        known = self.uses.get(use.address)
        if known is None:
            # No load at that time; prefills that completed since then don't matter.
            return use.read_ms
        return max(0.0, use.placed_ms - known.placed_ms)


@attrs.define(eq=False, repr=False)
class _RemainingPrefill:
    """Remaining prefill at one endpoint, from all gateways and in any order."""

    left_ms: float = 0.0
    updated_s: float = 0.0

    def at(self, now_s: float) -> float:
        return max(0.0, self.left_ms - (now_s - self.updated_s) * 1000)

    def add(self, read_ms: float, now_s: float) -> None:
        self.left_ms = self.at(now_s) + read_ms
        self.updated_s = now_s


class LoadTracker:
    """Load by endpoint address, from local placements and reports of peers.

    Examples
    --------
    >>> tracker = LoadTracker()
    >>> tracker.place("r1", (RequestUse(address="a", read_ms=100.0),), now_s=1.0)
    >>> use = tracker.endpoint_use("a", now_s=1.04)
    >>> use.streams, round(use.backlog_ms(1.04))
    (1, 60)
    >>> tracker.prefill_completed("r1")
    >>> tracker.endpoint_use("a", now_s=1.04).backlog_ms(1.04)
    0.0
    >>> tracker.release("r1")
    >>> tracker.endpoint_use("a", now_s=1.1).streams
    0
    """

    def __init__(self) -> None:
        self._placements: dict[str, _Placement] = {}
        self._peers: dict[str, _PeerReport] = {}
        self._remaining: dict[str, _RemainingPrefill] = {}
        self._placed_by_all_ms: dict[str, float] = {}
        self._placed_ms: dict[str, float] = {}
        self.history = PrefillHistory()
        self.version = 0

    def place(
        self, request_id: str, uses: tuple[RequestUse, ...], now_s: float
    ) -> None:
        """Record a placement, replacing an earlier one of the same request."""
        self._placements[request_id] = _Placement(uses, now_s)
        for use in uses:
            placed_ms = self._placed_ms.get(use.address, 0.0)
            self._placed_ms[use.address] = placed_ms + use.read_ms
            self._add_remaining(use.address, use.read_ms, now_s)
            self.history.record(use.address, use.read_ms, is_own=True, now_s=now_s)
        self.version += 1

    def _add_remaining(self, address: str, read_ms: float, now_s: float) -> None:
        self._remaining.setdefault(address, _RemainingPrefill()).add(read_ms, now_s)
        if read_ms:
            placed_ms = self._placed_by_all_ms.get(address, 0.0) + read_ms
            self._placed_by_all_ms[address] = placed_ms

    def placed_ms(self, address: str) -> float:
        """Return the prefill time that all gateways were seen to place on an endpoint.

        It counts from the start of this process and only grows.
        """
        return self._placed_by_all_ms.get(address, 0.0)

    def _add_peer_prefill(
        self, known: _PeerReport, use: EndpointUse, now_s: float
    ) -> None:
        """Add what a peer has placed on an endpoint since its last report."""
        placed_ms = known.placed_since(use)
        self._add_remaining(use.address, placed_ms, now_s)
        self.history.record(use.address, placed_ms, is_own=False, now_s=now_s)

    def prefill_completed(self, request_id: str) -> None:
        """Record that the prefill of a request completed, which frees its helpers."""
        placement = self._placements.get(request_id)
        if placement is not None and placement.is_prefilling:
            placement.is_prefilling = False
            placement.uses = tuple(
                use for use in placement.uses if use.is_stream or use.kv_tokens
            )
            self.version += 1

    def is_prefilling(self, request_id: str) -> bool:
        """Return whether a request is placed and its prefill not complete."""
        placement = self._placements.get(request_id)
        return placement is not None and placement.is_prefilling

    @contextmanager
    def without(self, request_id: str) -> Iterator[None]:
        """Leave one request out of the loads while the context lasts."""
        placement = self._placements.pop(request_id, None)
        remaining = {key: attrs.evolve(one) for key, one in self._remaining.items()}
        try:
            yield
        finally:
            self._remaining = remaining
            if placement is not None:
                self._placements[request_id] = placement

    def release(self, request_id: str) -> None:
        """Record the end of a request."""
        if self._placements.pop(request_id, None) is not None:
            self.version += 1

    def peer_reported(
        self,
        node_id: str,
        boot_ms: int,
        sequence: int,
        uses: Iterable[EndpointUse],
        now_s: float,
    ) -> bool:
        """Record a peer's report; return False if it is older than the last one."""
        known = self._known_peer(node_id, boot_ms, now_s)
        if known is not None and (known.boot_ms, known.sequence) >= (boot_ms, sequence):
            return False
        if known is None or known.boot_ms != boot_ms:
            known = _PeerReport({}, sequence, boot_ms, now_s)
        by_address = {use.address: use for use in uses}
        for use in by_address.values():
            self._add_peer_prefill(known, use, now_s)
        # An update that was sent after this report may have overtaken it.
        updated = {
            address: number
            for address, number in known.updated.items()
            if number > sequence
        }
        by_address |= {address: known.uses[address] for address in updated}
        self._peers[node_id] = _PeerReport(
            by_address, sequence, boot_ms, now_s, updated, known.sends_updates
        )
        return True

    def peer_updated(
        self,
        node_id: str,
        boot_ms: int,
        sequence: int,
        uses: Iterable[EndpointUse],
        now_s: float,
    ) -> bool:
        """Merge new loads of some endpoints into the report of a peer.

        Returns
        -------
        bool
            False if the last report of the peer is newer.
        """
        known = self._known_peer(node_id, boot_ms, now_s)
        if known is None or known.boot_ms < boot_ms:
            known = self._peers[node_id] = _PeerReport({}, -1, boot_ms, now_s)
        if (known.boot_ms, known.sequence) >= (boot_ms, sequence):
            return False
        known.sends_updates = True
        known.heard_s = now_s
        for use in uses:
            if known.updated.get(use.address, -1) < sequence:
                self._add_peer_prefill(known, use, now_s)
                known.uses[use.address] = use
                known.updated[use.address] = sequence
        return True

    def _known_peer(
        self, node_id: str, boot_ms: int, now_s: float
    ) -> _PeerReport | None:
        """Return the last report of a peer that a newer one has to follow.

        The peer's clock may be set back while it restarts. An expired report of
        another process then says nothing about the order.
        """
        known = self._peers.get(node_id)
        if known is None or known.boot_ms == boot_ms:
            return known
        return None if now_s - known.heard_s >= PEER_REPORT_TTL_S else known

    def peers_without_updates(self, now_s: float) -> int:
        """Return the number of live peers whose placements come by reports only."""
        return sum(
            not self._peers[node_id].sends_updates for node_id in self.peers(now_s)
        )

    def is_known(self, node_id: str, boot_ms: int) -> bool:
        """Return whether a process of a peer has reported before."""
        known = self._peers.get(node_id)
        return known is not None and known.boot_ms == boot_ms

    def peers(self, now_s: float) -> list[str]:
        """Return the ids of the peers with a report that has not expired."""
        return [
            node_id
            for node_id, report in self._peers.items()
            if now_s - report.heard_s < PEER_REPORT_TTL_S
        ]

    def oldest_report_s(self, now_s: float) -> float:
        """Return the age of the oldest report that has not expired."""
        ages = [now_s - report.heard_s for report in self._peers.values()]
        return max((age for age in ages if age < PEER_REPORT_TTL_S), default=0.0)

    def own_uses(self) -> list[EndpointUse]:
        """Return the load of local placements by endpoint, to report it to peers.

        Each is a new object, to which the loads of peers may be added.
        """
        sums: dict[str, EndpointUse] = {}
        for placement in self._placements.values():
            for use in placement.uses:
                total = sums.setdefault(use.address, self._own_use(use.address))
                total.add(use, placement.placed_s, placement.is_prefilling)
        return list(sums.values())

    def _own_use(self, address: str) -> EndpointUse:
        placed_ms = self._placed_ms.get(address, 0.0)
        return EndpointUse(address=address, placed_ms=placed_ms)

    def totals(self, now_s: float) -> dict[str, EndpointUse]:
        """Return the load of local and reported placements by address."""
        sums = {use.address: use for use in self.own_uses()}
        for report in self._peers.values():
            if now_s - report.heard_s >= PEER_REPORT_TTL_S:
                continue
            for use in report.uses.values():
                sums.setdefault(use.address, EndpointUse(address=use.address)).join(use)
        self._remaining = {
            key: remaining for key, remaining in self._remaining.items() if key in sums
        }
        for use in sums.values():
            self._set_prefill_start(use, now_s)
        return sums

    def _set_prefill_start(self, use: EndpointUse, now_s: float) -> None:
        """Set the start time so that it reflects the work done on unfinished prefills.

        Engines prefill the newest part first, so an old prefill may have been queued
        since it was placed.
        """
        remaining = self._remaining.get(use.address)
        if remaining is None:
            return
        remaining.left_ms = min(remaining.at(now_s), use.read_ms)
        remaining.updated_s = now_s
        if use.read_ms:
            use.reading_s = now_s - (use.read_ms - remaining.left_ms) / 1000

    def endpoint_use(self, address: str, now_s: float) -> EndpointUse:
        """Return the load of one endpoint."""
        return self.totals(now_s).get(address) or EndpointUse(address=address)

    def dump(self, now_s: float) -> dict:
        """Return the state as plain data."""
        return {
            "own": len(self._placements),
            "peers_without_updates": self.peers_without_updates(now_s),
            "peers": {
                node_id: now_s - report.heard_s
                for node_id, report in self._peers.items()
            },
            "endpoints": [attrs.asdict(use) for use in self.totals(now_s).values()],
        }
