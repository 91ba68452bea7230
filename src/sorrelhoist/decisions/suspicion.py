"""Detection of poison requests: requests that crash the endpoints that run them.

The evidence is a set with one item for each pair of a request and a death of an
endpoint. Tables merge by set union, so duplicated and reordered reports count once.
Of two reports on the same item, the one with more concurrent requests wins, and a
report that the request has completed since overrides both: in case of doubt the
request isn't blamed.

A request with any evidence is suspected and should run alone. Two deaths while it ran
alone condemn it. A death doesn't count towards that if several other endpoints died
at about the same time without running the request, as in a power failure.
"""

import heapq
from collections.abc import Collection, Iterable

import attrs

from ..messages.gen import ttypes
from .suspicion_evidence import (
    Evidence,
    EvidenceKey,
    SuspicionOptions,
    death_id,
)

MS_PER_S = 1000
MAX_RUNNING_REQUESTS = 2**31 - 1
PRIORITY_SENDS = 10
SOLO_DEATHS_TO_CONDEMN = 2
EXPIRY_INTERVAL_S = 10.0


class SuspicionTable:
    """Evidence about requests that were running when endpoints died.

    Parameters
    ----------
    options : SuspicionOptions, optional

    Examples
    --------
    >>> table = SuspicionTable()
    >>> table.endpoint_died("praha-a-1", "boot-1", [7], now_s=1.0)
    >>> table.is_suspected(7, now_s=1.0), table.is_condemned(7, now_s=1.0)
    (True, False)
    >>> table.endpoint_died("praha-b-1", "boot-1", [7], now_s=90.0)
    >>> table.is_condemned(7, now_s=90.0)
    True
    """

    def __init__(self, options: SuspicionOptions | None = None) -> None:
        self._options = options or SuspicionOptions()
        self._items: dict[EvidenceKey, Evidence] = {}
        self._by_fingerprint: dict[int, set[int]] = {}
        self._by_death: dict[int, set[int]] = {}
        self._next_expiry_s = float("-inf")

    def __len__(self) -> int:
        return len(self._items)

    def endpoint_died(
        self,
        endpoint: str,
        boot_id: str,
        fingerprints: Collection[int],
        now_s: float,
        running_requests: int = 0,
    ) -> None:
        """Record the death of an endpoint as evidence against its running requests.

        Parameters
        ----------
        endpoint, boot_id : str
            The run of the endpoint that ended; reporting the same run again doesn't
            add a death.
        fingerprints : collection of int
            Fingerprints of the requests on the endpoint that are known here.
        now_s : float
        running_requests : int, optional
            Number of requests on the endpoint, if it exceeds those known here: an
            entry knows only its own request, and passes 2 if others ran beside it.
        """
        running = set(fingerprints)
        death = death_id(endpoint, boot_id)
        count = max(len(running), running_requests)
        for fingerprint in running:
            self._add(EvidenceKey(fingerprint, death), Evidence(now_s, count))
        self._evict_excess(now_s)

    def is_suspected(self, fingerprint: int, now_s: float) -> bool:
        """Return whether the request should run alone on an endpoint."""
        return bool(self._evidence(fingerprint, now_s))

    def is_condemned(self, fingerprint: int, now_s: float) -> bool:
        """Return whether the request must be refused without another attempt.

        Parameters
        ----------
        fingerprint : int
        now_s : float

        Returns
        -------
        bool
            True after `SOLO_DEATHS_TO_CONDEMN` deaths while the request ran alone,
            or after `SuspicionOptions.deaths_to_condemn` deaths of any kind.
        """
        deaths = [
            item
            for key, item in self._evidence(fingerprint, now_s).items()
            if not self._is_correlated_failure(key, item, now_s)
        ]
        alone = sum(item.running_requests == 1 for item in deaths)
        death_limit = self._options.deaths_to_condemn
        return alone >= SOLO_DEATHS_TO_CONDEMN or 0 < death_limit <= len(deaths)

    def deaths(self, fingerprint: int, now_s: float) -> dict[int, float]:
        """Return the deaths that a request is suspected of, and their times."""
        return {
            key.death_id: item.died_s
            for key, item in self._evidence(fingerprint, now_s).items()
        }

    def suspects(self, death: int, now_s: float) -> set[int]:
        """Return the fingerprints that are suspected of a death."""
        oldest_s = now_s - self._options.lifetime_s
        return {
            fingerprint
            for fingerprint in self._by_death.get(death, ())
            if not (item := self._items[EvidenceKey(fingerprint, death)]).cleared
            and item.died_s > oldest_s
        }

    def completed(
        self, fingerprint: int, now_s: float, completed_s: float | None = None
    ) -> None:
        """Clear a request of all deaths before it ran to completion.

        Parameters
        ----------
        fingerprint : int
        now_s : float
        completed_s : float, optional
            Time at which it completed, by default `now_s`.
        """
        limit_s = now_s if completed_s is None else completed_s
        for key, item in self._evidence(fingerprint, now_s).items():
            if item.died_s <= limit_s:
                self._items[key] = attrs.evolve(item, cleared=True, sends=0)

    def merge(self, suspicions: Iterable[ttypes.Suspicion], now_s: float) -> None:
        """Merge evidence from another process; invalid items are skipped."""
        for suspicion in suspicions:
            lifetime_s = self._usable_lifetime_s(suspicion)
            if lifetime_s <= 0:
                continue
            died_s = now_s - (self._options.lifetime_s - lifetime_s)
            key = EvidenceKey(suspicion.fingerprint, suspicion.death_id)
            cleared = bool(suspicion.cleared)
            self._add(key, Evidence(died_s, suspicion.running_requests, cleared))
        self._evict_excess(now_s)

    def for_gossip(self, now_s: float, limit: int = 4) -> list[ttypes.Suspicion]:
        """Select the items to send in one datagram.

        Parameters
        ----------
        now_s : float
        limit : int
            Maximum number of items. Those sent fewer than `PRIORITY_SENDS` times go
            first, then the least recently sent.

        Returns
        -------
        list of ttypes.Suspicion
        """
        if now_s >= self._next_expiry_s:
            self._next_expiry_s = now_s + EXPIRY_INTERVAL_S
            self.expire(now_s)
        chosen = heapq.nsmallest(
            limit,
            self._items.items(),
            key=lambda pair: (min(pair[1].sends, PRIORITY_SENDS), pair[1].sent_s),
        )
        for _, item in chosen:
            item.sends += 1
            item.sent_s = now_s
        wires = [self._to_wire(key, item, now_s) for key, item in chosen]
        return [wire for wire in wires if wire.lifetime_ms > 0]

    def expire(self, now_s: float) -> None:
        """Remove evidence older than its lifetime."""
        oldest_s = now_s - self._options.lifetime_s
        for key in [k for k, item in self._items.items() if item.died_s <= oldest_s]:
            self._remove(key)

    def dump(self, now_s: float) -> list[dict[str, object]]:
        """Return the evidence as plain data for the state dump."""
        return [
            {
                "fingerprint": key.fingerprint,
                "death_id": key.death_id,
                "age_s": now_s - item.died_s,
                "running_requests": item.running_requests,
                "cleared": item.cleared,
            }
            for key, item in self._items.items()
        ]

    def _evidence(self, fingerprint: int, now_s: float) -> dict[EvidenceKey, Evidence]:
        keys = [
            EvidenceKey(fingerprint, death)
            for death in self._by_fingerprint.get(fingerprint, ())
        ]
        items = {key: self._items[key] for key in keys}
        oldest_s = now_s - self._options.lifetime_s
        return {
            key: item
            for key, item in items.items()
            if not item.cleared and item.died_s > oldest_s
        }

    def _is_correlated_failure(
        self, key: EvidenceKey, item: Evidence, now_s: float
    ) -> bool:
        others = 0
        for death, fingerprints in self._by_death.items():
            if key.fingerprint in fingerprints:
                continue
            other = self._items[EvidenceKey(next(iter(fingerprints)), death)]
            if (
                abs(other.died_s - item.died_s)
                <= self._options.correlated_failure_window_s
            ):
                others += 1
        return others >= self._options.correlated_failure_deaths

    def _add(self, key: EvidenceKey, item: Evidence) -> None:
        known = self._items.get(key)
        if known is not None:
            known.join(item)
            return
        self._items[key] = item
        self._by_fingerprint.setdefault(key.fingerprint, set()).add(key.death_id)
        self._by_death.setdefault(key.death_id, set()).add(key.fingerprint)

    def _evict_excess(self, now_s: float) -> None:
        excess = len(self._items) - self._options.max_items
        if excess <= 0:
            return
        self.expire(now_s)
        excess = len(self._items) - self._options.max_items
        eviction_order = sorted(
            self._items,
            key=lambda key: (
                self._items[key].running_requests == 1,
                self._items[key].died_s,
            ),
        )
        for key in eviction_order[: max(0, excess)]:
            self._remove(key)

    def _remove(self, key: EvidenceKey) -> None:
        del self._items[key]
        for index, name, value in (
            (self._by_fingerprint, key.fingerprint, key.death_id),
            (self._by_death, key.death_id, key.fingerprint),
        ):
            index[name].discard(value)
            if not index[name]:
                del index[name]

    def _usable_lifetime_s(self, suspicion: ttypes.Suspicion) -> float:
        # Returns 0 if the item is invalid.
        numbers = (
            suspicion.fingerprint,
            suspicion.death_id,
            suspicion.running_requests,
            suspicion.lifetime_ms,
        )
        if any(not isinstance(number, int) for number in numbers):
            return 0.0
        if not 1 <= suspicion.running_requests <= MAX_RUNNING_REQUESTS:
            return 0.0
        lifetime_s = suspicion.lifetime_ms / MS_PER_S
        return min(lifetime_s, self._options.lifetime_s)

    def _to_wire(
        self, key: EvidenceKey, item: Evidence, now_s: float
    ) -> ttypes.Suspicion:
        left_s = item.died_s + self._options.lifetime_s - now_s
        return ttypes.Suspicion(
            fingerprint=key.fingerprint,
            death_id=key.death_id,
            running_requests=item.running_requests,
            lifetime_ms=int(left_s * MS_PER_S),
            cleared=item.cleared,
        )
