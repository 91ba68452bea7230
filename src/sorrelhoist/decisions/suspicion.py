"""Which requests are held to kill the endpoints that run them.

The evidence is a set: one item for each pair of a request and a death of an
endpoint. Tables merge by the union of their items, so a rumour that comes back
counts once, in whatever order it comes. Of two reports on the same item the one
with more neighbours wins, and one that the request completed since wins over
both: when in doubt the request is spared.

A request with any item is suspected and should run alone. It is condemned by two
deaths at which it ran alone. A death doesn't count for that when several other
endpoints died about the same time without the request, as in a loss of power.
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
MAX_RUNNING = 2**31 - 1
FRESH_SENDS = 10
CONDEMNING_DEATHS = 2
EXPIRY_INTERVAL_S = 10.0


class SuspicionTable:
    """The evidence that this process holds.

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
        """Hold a death against the requests that were running.

        Parameters
        ----------
        endpoint, boot_id : str
            Of the run that ended; telling of the same run again changes nothing.
        fingerprints : collection of int
            Of the requests on the endpoint that are known here.
        now_s : float
        running_requests : int, optional
            How many ran, when more than are known here: an entry knows of its own
            request only, and gives 2 when that one had company.
        """
        running = set(fingerprints)
        death = death_id(endpoint, boot_id)
        count = max(len(running), running_requests)
        for fingerprint in running:
            self._add(EvidenceKey(fingerprint, death), Evidence(now_s, count))
        self._shrink(now_s)

    def is_suspected(self, fingerprint: int, now_s: float) -> bool:
        """Whether the request should run alone."""
        return bool(self._evidence(fingerprint, now_s))

    def is_condemned(self, fingerprint: int, now_s: float) -> bool:
        """Whether the request is to be refused for good.

        Parameters
        ----------
        fingerprint : int
        now_s : float

        Returns
        -------
        bool
            True from the second death on at which the request ran alone, or from
            the number of deaths in company that the options name.
        """
        deaths = [
            item
            for key, item in self._evidence(fingerprint, now_s).items()
            if not self._is_crowded(key, item, now_s)
        ]
        alone = sum(item.running_requests == 1 for item in deaths)
        in_company = self._options.deaths_in_company
        return alone >= CONDEMNING_DEATHS or 0 < in_company <= len(deaths)

    def completed(self, fingerprint: int, now_s: float) -> None:
        """Clear a request of the deaths so far: it ran to its end."""
        for key, item in self._evidence(fingerprint, now_s).items():
            self._items[key] = attrs.evolve(item, cleared=True, sends=0)

    def merge(self, suspicions: Iterable[ttypes.Suspicion], now_s: float) -> None:
        """Take in what another process holds; what can't be used is skipped."""
        for suspicion in suspicions:
            lifetime_s = self._usable_lifetime_s(suspicion)
            if lifetime_s <= 0:
                continue
            died_s = now_s - (self._options.lifetime_s - lifetime_s)
            key = EvidenceKey(suspicion.fingerprint, suspicion.death_id)
            cleared = bool(suspicion.cleared)
            self._add(key, Evidence(died_s, suspicion.running_requests, cleared))
        self._shrink(now_s)

    def for_gossip(self, now_s: float, limit: int = 4) -> list[ttypes.Suspicion]:
        """Choose the items for one datagram.

        Parameters
        ----------
        now_s : float
        limit : int
            Most items; fresh ones go first, then all in turn.

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
            key=lambda pair: (min(pair[1].sends, FRESH_SENDS), pair[1].sent_s),
        )
        for _, item in chosen:
            item.sends += 1
            item.sent_s = now_s
        wires = [self._to_wire(key, item, now_s) for key, item in chosen]
        return [wire for wire in wires if wire.lifetime_ms > 0]

    def expire(self, now_s: float) -> None:
        """Forget what has outlived its lifetime."""
        oldest_s = now_s - self._options.lifetime_s
        for key in [k for k, item in self._items.items() if item.died_s <= oldest_s]:
            self._remove(key)

    def dump(self, now_s: float) -> list[dict[str, object]]:
        """Return plain data for the state dump."""
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

    def _is_crowded(self, key: EvidenceKey, item: Evidence, now_s: float) -> bool:
        others = 0
        for death, fingerprints in self._by_death.items():
            if key.fingerprint in fingerprints:
                continue
            other = self._items[EvidenceKey(next(iter(fingerprints)), death)]
            if abs(other.died_s - item.died_s) <= self._options.crowd_window_s:
                others += 1
        return others >= self._options.crowd_deaths

    def _add(self, key: EvidenceKey, item: Evidence) -> None:
        known = self._items.get(key)
        if known is not None:
            known.join(item)
            return
        self._items[key] = item
        self._by_fingerprint.setdefault(key.fingerprint, set()).add(key.death_id)
        self._by_death.setdefault(key.death_id, set()).add(key.fingerprint)

    def _shrink(self, now_s: float) -> None:
        excess = len(self._items) - self._options.max_items
        if excess <= 0:
            return
        self.expire(now_s)
        excess = len(self._items) - self._options.max_items
        worth = sorted(
            self._items,
            key=lambda key: (
                self._items[key].running_requests == 1,
                self._items[key].died_s,
            ),
        )
        for key in worth[: max(0, excess)]:
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
        # 0 when the item can't be used.
        numbers = (
            suspicion.fingerprint,
            suspicion.death_id,
            suspicion.running_requests,
            suspicion.lifetime_ms,
        )
        if any(not isinstance(number, int) for number in numbers):
            return 0.0
        if not 1 <= suspicion.running_requests <= MAX_RUNNING:
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
