"""Service discovery: endpoints eligible for new work, despite lag and outages."""

from collections.abc import Mapping, Sequence

import attrs
import xxhash

REMOVAL_HOLD_S = 2.0
"""Time after a directory outage within which live endpoints are registered again, as
specified by the platform."""

OUTAGE_GAP_S = 1.5
"""Gap between two directory reads that counts as an outage: several poll intervals."""


DEPARTED_MEMORY_S = 120.0
"""Time for which a removed endpoint is remembered: several times the age of the copy
from which the store may come back."""


LEAVING_GRACE_S = 1.0
"""Time for which an endpoint that says in its answers that it is leaving is still used
if its service has no other: half of the time for which leaving endpoints go on serving.
"""

LEAVING_REPORT_S = 10.0
"""Time for which peers are told of such an endpoint; its record follows soon."""

STARTED_PEER_REPORT_S = 2.0
"""Time for which peers are told of all such endpoints after one of them has started: it
has read the directory by then."""

MAX_REPORTED_LEAVING = 32
"""Largest number of such endpoints in one report, the newest."""


@attrs.frozen(kw_only=True)
class Endpoint:
    """One process lifetime of an endpoint, as it registered itself.

    Parameters
    ----------
    endpoint_id : str
    service, address, failure_domain : str
        The address is ``IP:PORT``.
    capacity : int
        Maximum number of concurrent requests.
    is_leaving : bool
    cold_until_s : float
        Time at which its cold start ends.
    born_ms : int
        Time of its start, Unix milliseconds; 0 if it doesn't say. A process that starts
        again under the same id has another.
    """

    endpoint_id: str
    service: str
    address: str
    failure_domain: str
    capacity: int
    is_leaving: bool = False
    cold_until_s: float = 0.0
    born_ms: int = 0


@attrs.frozen
class Restored:
    """What was kept when the directory came back from an older copy.

    Parameters
    ----------
    refused : tuple of str
        Ids of registered endpoints that are known to have left or to be leaving.
    missing : tuple of str
        Ids of known endpoints without a registration.
    """

    refused: tuple[str, ...]
    missing: tuple[str, ...]


@attrs.define(eq=False, repr=False)
class _Entry:
    endpoint: Endpoint
    seen_s: float
    digest: int
    removed_s: float | None = None


@attrs.frozen
class Leaving:
    """What an endpoint said of its leaving in an answer.

    Parameters
    ----------
    born_ms : int
        Start of the process that said it.
    said_s : float
    is_own : bool
        Whether the answer came to this gateway.
    """

    born_ms: int
    said_s: float
    is_own: bool


def _digest_of(endpoint: Endpoint) -> int:
    fields = (
        endpoint.endpoint_id,
        endpoint.service,
        endpoint.address,
        endpoint.failure_domain,
        str(endpoint.capacity),
        str(endpoint.is_leaving),
        str(endpoint.cold_until_s > 0),
        *([str(endpoint.born_ms)] if endpoint.born_ms else []),
    )
    # The message field is a signed 64-bit integer.
    return xxhash.xxh3_64_intdigest("\0".join(fields).encode()) >> 1


class Directory:
    """Local copy of the endpoint directory.

    An endpoint that announces that it is leaving gets no new work at once. One whose
    registration expired during an outage of the directory stays usable for
    `REMOVAL_HOLD_S` after the directory is back, since a live endpoint registers again
    within that time. The same holds for one that is missing after the store came back
    from an older copy.

    Of two sources, an answer in which an endpoint says that it is leaving goes before
    its registration, whatever that says later, until the endpoint starts again.
    """

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}
        self._domains_out: frozenset[str] = frozenset()
        self._read_s = float("-inf")
        self._hold_until_s = float("-inf")
        self._departed: dict[str, float] = {}
        self._digest = 0
        self._leaving: dict[str, Leaving] = {}
        self._report_all_until_s = float("-inf")
        self.leaving_version = 0
        """Number of endpoints that told this gateway that they are leaving."""

    def read_succeeded(self, now_s: float) -> None:
        """Record a complete read; a long gap before it counts as an outage."""
        if now_s - self._read_s > OUTAGE_GAP_S:
            self._hold_until_s = now_s + REMOVAL_HOLD_S
        self._read_s = now_s

    @property
    def is_read(self) -> bool:
        """Whether the directory has been read completely."""
        return self._read_s > float("-inf")

    def put(self, endpoint: Endpoint, now_s: float) -> bool:
        """Store a registration; return whether anything but its age changed."""
        known = self._entries.get(endpoint.endpoint_id)
        if known is not None and known.endpoint == endpoint:
            digest = known.digest
        else:
            digest = _digest_of(endpoint)
        self._digest ^= self.contribution(endpoint.endpoint_id) ^ digest
        self._entries[endpoint.endpoint_id] = _Entry(endpoint, now_s, digest)
        self._departed.pop(endpoint.endpoint_id, None)
        said = self._leaving.get(endpoint.endpoint_id)
        if said is not None and said.born_ms != endpoint.born_ms:
            del self._leaving[endpoint.endpoint_id]
        if known is None or known.removed_s is not None:
            return True
        # Each heartbeat reports the end of the cold start again, so it is ignored.
        cold = attrs.evolve(endpoint, cold_until_s=known.endpoint.cold_until_s)
        return cold != known.endpoint

    def remove(self, endpoint_id: str, now_s: float) -> bool:
        """Mark an endpoint as removed; return whether it was known."""
        entry = self._entries.get(endpoint_id)
        if entry is None or entry.removed_s is not None:
            return False
        self._set_removed(entry, now_s)
        self._remember_departed(endpoint_id, now_s)
        return True

    def _set_removed(self, entry: _Entry, now_s: float) -> None:
        self._digest ^= entry.digest
        entry.removed_s = now_s

    def keep_only(self, endpoint_ids: set[str], now_s: float) -> None:
        """Mark all other endpoints as removed, after reading the complete directory."""
        for endpoint_id in self._entries.keys() - endpoint_ids:
            self.remove(endpoint_id, now_s)

    def said_leaving(
        self, endpoint_id: str, born_ms: int, now_s: float, is_own: bool = True
    ) -> bool:
        """Record that an endpoint said in an answer that it is leaving.

        Parameters
        ----------
        endpoint_id : str
        born_ms : int
            `Endpoint.born_ms` of the process that said it.
        now_s : float
        is_own : bool
            Whether the answer came to this gateway; others' aren't reported again.

        Returns
        -------
        bool
            Whether this is news. It isn't if the endpoint has started again since.
        """
        entry = self._entries.get(endpoint_id)
        if entry is None or entry.endpoint.born_ms != born_ms:
            return False
        known = self._leaving.get(endpoint_id)
        if known is not None and (known.is_own or not is_own):
            return False
        said_s = known.said_s if known else now_s
        self._leaving[endpoint_id] = Leaving(born_ms, said_s, is_own)
        self.leaving_version += is_own
        return known is None

    def peer_started(self, now_s: float) -> None:
        """Tell the peers again of all endpoints that said that they are leaving.

        A gateway that has just started knows the store's record only, and the one that
        heard it may be the one that ended.
        """
        self._report_all_until_s = now_s + STARTED_PEER_REPORT_S
        self.leaving_version += bool(self._leaving)

    def leaving_to_report(self, now_s: float) -> dict[str, Leaving]:
        """Return the endpoints that told this gateway lately that they are leaving.

        After a peer has started, all that are known to be leaving.
        """
        is_retold = now_s < self._report_all_until_s
        reported = [
            (endpoint_id, said)
            for endpoint_id, said in self._leaving.items()
            if is_retold or (said.is_own and now_s - said.said_s < LEAVING_REPORT_S)
        ]
        return dict(reported[-MAX_REPORTED_LEAVING:])

    @property
    def leaving_ids(self) -> set[str]:
        """Ids of the endpoints that said in an answer that they are leaving."""
        return set(self._leaving)

    def restore(self, copy: Sequence[Endpoint], now_s: float) -> Restored:
        """Merge a complete read of a store that came back from an older copy.

        A live endpoint registers again within `REMOVAL_HOLD_S`. Until then, an old
        registration makes no endpoint ready that has left or is leaving, and a missing
        one doesn't remove an endpoint.
        """
        self._drop_expired(now_s)  # the new hold time must not bring them back
        self._hold_until_s = now_s + REMOVAL_HOLD_S
        refused = []
        for endpoint in copy:
            if self._has_left(endpoint):
                refused.append(endpoint.endpoint_id)
            else:
                self.put(endpoint, now_s)
        missing = self._live_ids() - {endpoint.endpoint_id for endpoint in copy}
        for endpoint_id in missing:
            self._set_removed(self._entries[endpoint_id], now_s)
        return Restored(refused=tuple(refused), missing=tuple(sorted(missing)))

    def _has_left(self, endpoint: Endpoint) -> bool:
        """Return whether a registration is older than what is known of an endpoint."""
        known = self._entries.get(endpoint.endpoint_id)
        if known is None or known.removed_s is not None:
            return endpoint.endpoint_id in self._departed
        return known.endpoint.is_leaving and not endpoint.is_leaving

    @property
    def endpoint_ids(self) -> set[str]:
        """Ids of all endpoints, including those that were removed lately."""
        return set(self._entries)

    def _live_ids(self) -> set[str]:
        return {key for key, one in self._entries.items() if one.removed_s is None}

    def _remember_departed(self, endpoint_id: str, now_s: float) -> None:
        self._departed = {
            departed_id: removed_s
            for departed_id, removed_s in self._departed.items()
            if now_s - removed_s < DEPARTED_MEMORY_S
        }
        self._departed[endpoint_id] = now_s

    def set_domains_out(self, domains: frozenset[str]) -> None:
        """Set the failure domains that get no new work."""
        self._domains_out = domains

    @property
    def domains_out(self) -> frozenset[str]:
        """Failure domains that get no new work."""
        return self._domains_out

    def usable(self, service: str, now_s: float) -> list[Endpoint]:
        """Return the endpoints of a service that may get new work.

        If all say in their answers that they are leaving, those that began to say so
        within `LEAVING_GRACE_S` may.
        """
        self._drop_expired(now_s)
        found = [
            entry.endpoint
            for entry in self._entries.values()
            if entry.endpoint.service == service and self._is_open(entry, now_s)
        ]
        staying = [one for one in found if one.endpoint_id not in self._leaving]
        return staying or [
            one
            for one in found
            if now_s - self._leaving[one.endpoint_id].said_s < LEAVING_GRACE_S
        ]

    def is_usable(self, endpoint: Endpoint, now_s: float) -> bool:
        """Return whether a previously chosen endpoint may still get work."""
        entry = self._entries.get(endpoint.endpoint_id)
        if entry is None or not self._is_open(entry, now_s):
            return False
        if endpoint.endpoint_id not in self._leaving:
            return True
        usable = self.usable(endpoint.service, now_s)
        return any(one.endpoint_id == endpoint.endpoint_id for one in usable)

    def _is_open(self, entry: _Entry, now_s: float) -> bool:
        """Return whether an endpoint may get work as far as the store's records say."""
        if entry.endpoint.is_leaving:
            return False
        if entry.endpoint.failure_domain in self._domains_out:
            return False
        return entry.removed_s is None or now_s < self._hold_until_s

    def _drop_expired(self, now_s: float) -> None:
        gone = [
            key
            for key, entry in self._entries.items()
            if entry.removed_s is not None and now_s >= self._hold_until_s
        ]
        for key in gone:
            del self._entries[key]
            self._leaving.pop(key, None)
            self._remember_departed(key, now_s)

    @property
    def digest(self) -> int:
        """Digest of the endpoints and their states, for comparison between processes.

        It is equal in processes that know the same endpoints. Heartbeats without a
        change do not alter it. A gateway that polls the store sends it with each of
        its answers to the others, so it is kept up to date rather than computed.
        """
        return self._digest

    def contribution(self, endpoint_id: str) -> int:
        """Return what an endpoint contributes to the digest; 0 if it isn't known."""
        entry = self._entries.get(endpoint_id)
        if entry is None or entry.removed_s is not None:
            return 0
        return entry.digest

    def update(
        self,
        changed: Mapping[str, Endpoint | None],
        digest_before: int,
        digest_after: int,
        now_s: float,
    ) -> bool:
        """Apply changes that another gateway read; return whether they fit.

        They don't if this directory isn't in the state that they start from, if the
        result isn't the stated one, or if they bring back an endpoint that is known to
        have left: an update may be late.

        Parameters
        ----------
        changed : mapping of str to Endpoint or None
            Registrations by id; None for those that were removed.
        digest_before, digest_after : int
        now_s : float
        """
        if self.digest != digest_before:
            return False
        result = digest_before
        for endpoint_id, endpoint in changed.items():
            result ^= self.contribution(endpoint_id)
            if endpoint is not None:
                result ^= _digest_of(endpoint)
                if endpoint_id in self._departed:
                    return False
        if result != digest_after:
            return False
        for endpoint_id, endpoint in changed.items():
            if endpoint is None:
                self.remove(endpoint_id, now_s)
            else:
                self.put(endpoint, now_s)
        return True

    def dump(self, now_s: float) -> dict:
        """Return the state as plain data."""
        return {
            "read_age_s": now_s - self._read_s,
            "domains_out": sorted(self._domains_out),
            "endpoints": {
                key: attrs.asdict(entry.endpoint)
                | {
                    "removed": entry.removed_s is not None,
                    "said_leaving": key in self._leaving,
                }
                for key, entry in self._entries.items()
            },
        }
