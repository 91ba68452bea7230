"""How loaded each endpoint is, from the work placed here and what peers report.

Answers the pattern "many entries with stale views": each entry tells the others of
its placements within tens of milliseconds, so that a burst isn't placed by all of
them on the endpoint that looked idle last.
"""

from collections.abc import Iterable

import attrs

PEER_LIFETIME_S = 2.0
"""A peer whose report is older is taken as gone: several report intervals."""

LEAST_LEFT_SHARE = 0.1
"""A read that should be over but isn't is still counted with this part."""

TIGHT_PAUSE_S = 0.45
"""Streams with a shorter pause target can't bear a long read beside them."""


@attrs.frozen(kw_only=True)
class Use:
    """What one request takes of one endpoint.

    Parameters
    ----------
    address : str
    read_ms : float
        Its part of the prompt.
    kv_tokens : int
    is_stream : bool
        Whether it takes a place in the batch; a helper doesn't.
    is_tight : bool
        Whether its pauses must be short.
    due_s : float
        When its read is late.
    """

    address: str
    read_ms: float = 0.0
    kv_tokens: int = 0
    is_stream: bool = True
    is_tight: bool = False
    due_s: float = float("inf")


@attrs.define(kw_only=True)
class EndpointUse:
    """The sum of what requests take of one endpoint.

    Parameters
    ----------
    address : str
    streams, tight_streams : int
    kv_tokens : int
    read_ms : float
        Of all reads that haven't ended.
    reading_s : float
        Since when the oldest of them is under way.
    helps : int
        Reads that help a prompt at another endpoint.
    due_s : float
        When the first of the reads is late.
    placed_ms : float
        Of all reads ever placed, also those that ended.
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

    def add(self, use: Use, placed_s: float, is_reading: bool) -> None:
        """Count one more use."""
        self.streams += use.is_stream
        self.tight_streams += use.is_stream and use.is_tight
        self.kv_tokens += use.kv_tokens
        if is_reading:
            self.read_ms += use.read_ms
            self.reading_s = min(self.reading_s, placed_s)
            self.helps += not use.is_stream
            self.due_s = min(self.due_s, use.due_s)

    def join(self, other: "EndpointUse") -> None:
        """Count what another entry placed."""
        self.streams += other.streams
        self.tight_streams += other.tight_streams
        self.kv_tokens += other.kv_tokens
        self.read_ms += other.read_ms
        self.reading_s = min(self.reading_s, other.reading_s)
        self.helps += other.helps
        self.due_s = min(self.due_s, other.due_s)

    def slack_ms(self, now_s: float) -> float:
        """Estimate how long a read could go first here that makes no other late."""
        return (self.due_s - now_s) * 1000 - self.backlog_ms(now_s)

    def backlog_ms(self, now_s: float) -> float:
        """Estimate the reading that is still ahead."""
        if not self.read_ms:
            return 0.0
        elapsed_ms = (now_s - self.reading_s) * 1000
        return max(self.read_ms - elapsed_ms, self.read_ms * LEAST_LEFT_SHARE)


@attrs.define
class _Placement:
    uses: tuple[Use, ...]
    placed_s: float
    is_reading: bool = True


@attrs.define
class _PeerReport:
    uses: dict[str, EndpointUse]
    sequence: int
    boot_ms: int
    heard_s: float

    def placed_since(self, use: EndpointUse) -> float:
        """Return the reading that was placed on an endpoint after this report."""
        known = self.uses.get(use.address)
        if known is None:
            # It wasn't read there then; what ended since doesn't matter.
            return use.read_ms
        return max(0.0, use.placed_ms - known.placed_ms)


@attrs.define
class _Ahead:
    """The reading ahead at one endpoint, whoever placed it and in any order."""

    left_ms: float = 0.0
    updated_s: float = 0.0

    def at(self, now_s: float) -> float:
        return max(0.0, self.left_ms - (now_s - self.updated_s) * 1000)

    def add(self, read_ms: float, now_s: float) -> None:
        self.left_ms = self.at(now_s) + read_ms
        self.updated_s = now_s


class LoadBook:
    """The work that is placed, by endpoint address.

    Examples
    --------
    >>> book = LoadBook()
    >>> book.place("r1", (Use(address="a", read_ms=100.0),), now_s=1.0)
    >>> book.of("a", now_s=1.04).streams, round(book.of("a", 1.04).backlog_ms(1.04))
    (1, 60)
    >>> book.read_ended("r1")
    >>> book.of("a", now_s=1.04).backlog_ms(1.04)
    0.0
    >>> book.release("r1")
    >>> book.of("a", now_s=1.1).streams
    0
    """

    def __init__(self) -> None:
        self._placements: dict[str, _Placement] = {}
        self._peers: dict[str, _PeerReport] = {}
        self._ahead: dict[str, _Ahead] = {}
        self._placed_ms: dict[str, float] = {}
        self.version = 0

    def place(self, request_id: str, uses: tuple[Use, ...], now_s: float) -> None:
        """Note a placement; one that the request had before is replaced."""
        self._placements[request_id] = _Placement(uses, now_s)
        for use in uses:
            placed_ms = self._placed_ms.get(use.address, 0.0)
            self._placed_ms[use.address] = placed_ms + use.read_ms
            self._add_ahead(use.address, use.read_ms, now_s)
        self.version += 1

    def _add_ahead(self, address: str, read_ms: float, now_s: float) -> None:
        self._ahead.setdefault(address, _Ahead()).add(read_ms, now_s)

    def read_ended(self, request_id: str) -> None:
        """Note that the prompt is read, so that its helpers are free."""
        placement = self._placements.get(request_id)
        if placement is not None and placement.is_reading:
            placement.is_reading = False
            placement.uses = tuple(
                use for use in placement.uses if use.is_stream or use.kv_tokens
            )
            self.version += 1

    def release(self, request_id: str) -> None:
        """Note the end of a request."""
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
        """Take in a peer's report; return False if it is older than the last."""
        known = self._peers.get(node_id)
        if known is not None and (known.boot_ms, known.sequence) >= (boot_ms, sequence):
            return False
        if known is None or known.boot_ms != boot_ms:
            known = _PeerReport({}, sequence, boot_ms, now_s)
        by_address = {use.address: use for use in uses}
        for use in by_address.values():
            self._add_ahead(use.address, known.placed_since(use), now_s)
        self._peers[node_id] = _PeerReport(by_address, sequence, boot_ms, now_s)
        return True

    def peers(self, now_s: float) -> list[str]:
        """Return the peers that were heard of lately."""
        return [
            node_id
            for node_id, report in self._peers.items()
            if now_s - report.heard_s < PEER_LIFETIME_S
        ]

    def oldest_report_s(self, now_s: float) -> float:
        """Return the age of the oldest report that still counts."""
        ages = [now_s - report.heard_s for report in self._peers.values()]
        return max((age for age in ages if age < PEER_LIFETIME_S), default=0.0)

    def own_uses(self) -> list[EndpointUse]:
        """Sum up the own placements, for a report to the peers."""
        sums: dict[str, EndpointUse] = {}
        for placement in self._placements.values():
            for use in placement.uses:
                total = sums.setdefault(use.address, self._own_use(use.address))
                total.add(use, placement.placed_s, placement.is_reading)
        return list(sums.values())

    def _own_use(self, address: str) -> EndpointUse:
        placed_ms = self._placed_ms.get(address, 0.0)
        return EndpointUse(address=address, placed_ms=placed_ms)

    def totals(self, now_s: float) -> dict[str, EndpointUse]:
        """Sum up all placements known, by address."""
        sums = {use.address: use for use in self.own_uses()}
        for report in self._peers.values():
            if now_s - report.heard_s >= PEER_LIFETIME_S:
                continue
            for use in report.uses.values():
                sums.setdefault(use.address, EndpointUse(address=use.address)).join(use)
        self._ahead = {key: one for key, one in self._ahead.items() if key in sums}
        for use in sums.values():
            self._set_reading(use, now_s)
        return sums

    def _set_reading(self, use: EndpointUse, now_s: float) -> None:
        """Date the reading back by what is done of the reads that go on.

        Engines read the newest part first: an old read may have waited ever since.
        """
        ahead = self._ahead.get(use.address)
        if ahead is None:
            return
        ahead.left_ms = min(ahead.at(now_s), use.read_ms)
        ahead.updated_s = now_s
        if use.read_ms:
            use.reading_s = now_s - (use.read_ms - ahead.left_ms) / 1000

    def of(self, address: str, now_s: float) -> EndpointUse:
        """Return the sum for one endpoint."""
        return self.totals(now_s).get(address) or EndpointUse(address=address)

    def dump(self, now_s: float) -> dict:
        """Return the state as plain data."""
        return {
            "own": len(self._placements),
            "peers": {
                node_id: now_s - report.heard_s
                for node_id, report in self._peers.items()
            },
            "endpoints": [attrs.asdict(use) for use in self.totals(now_s).values()],
        }
