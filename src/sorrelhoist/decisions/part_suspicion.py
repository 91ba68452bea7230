"""Blame for parts of prompts under which endpoints die, whatever else the prompt holds.

Requests that share a part may be different otherwise, so the evidence against the
whole request (see `suspicion`) doesn't add up. Here it is kept for each part: a part is
suspected of each death of an endpoint that was running a request with it, until a
request with it completes.

A part is blamed only if no other explains the deaths as well: parts that merely stand
beside the crashing one in its prompts, or ran on the same endpoint, stay served. The
load pattern is a part that crashes every endpoint that begins to answer a prompt with
it, among sound prompts of the same caller that hold the same other parts.
"""

import math
from collections.abc import Collection, Iterable, Sequence

import attrs
import xxhash

from ..messages.gen import ttypes
from .rendezvous import first
from .suspicion import SuspicionTable
from .suspicion_evidence import INT64_SIGN_BIT, SuspicionOptions

MIN_DEATHS = 4
"""Deaths from which a part is blamed."""

MIN_MOMENTS = 3
"""Number of different moments at which they happened: in a power failure many endpoints
die at once, under the same parts."""

MOMENT_S = 0.1
"""Deaths closer together than this count as one moment."""

COMPLETIONS_PER_DEATH = 2.0
"""Recent completed requests with a part that outweigh one death."""

COMPLETION_HALF_LIFE_S = 10.0
"""Half-life of a completed request in that comparison."""

TRIAL_BASE_S = 60.0
"""Time since the last death after which a request with a blamed part is let through, to
see whether the blame still holds. It doubles with each further death."""

MAX_TRIAL_DOUBLINGS = 8

MAX_TRACKED_PARTS = 4096
"""Parts whose completed requests are counted."""

MAX_EVIDENCE_ITEMS = 512
"""Pairs of a part and a death that are kept; all are ranked for each report."""


def part_fingerprint(part: str) -> int:
    """Hash the id of a part to a signed 64-bit integer, equal in all gateways."""
    value: int = xxhash.xxh3_64_intdigest(f"part\0{part}".encode())
    return value - 2 * INT64_SIGN_BIT if value >= INT64_SIGN_BIT else value


@attrs.define(eq=False, repr=False)
class _Completions:
    count: float = 0.0
    updated_s: float = 0.0

    def at(self, now_s: float) -> float:
        elapsed_s = max(0.0, now_s - self.updated_s)
        return self.count * 0.5 ** (elapsed_s / COMPLETION_HALF_LIFE_S)


@attrs.frozen(kw_only=True)
class Blame:
    """The part that a request is refused for.

    Parameters
    ----------
    part : str
    deaths : int
        Deaths of endpoints that ran a request with it.
    moments : int
        Number of different moments at which they happened.
    """

    part: str
    deaths: int
    moments: int


class PartSuspicions:
    """Evidence about parts of prompts, shared between all gateways.

    Parameters
    ----------
    node_id : str

    Examples
    --------
    >>> parts = PartSuspicions("g")
    >>> for number in range(4):
    ...     parts.endpoint_died(f"e{number}", "boot", ["shared", "bad"], number)
    >>> parts.completed(["shared", "good"], now_s=4.0)
    >>> parts.blame(["shared", "bad"], now_s=5.0)
    Blame(part='bad', deaths=4, moments=4)
    >>> parts.blame(["shared", "good"], now_s=5.0) is None
    True
    """

    def __init__(self, node_id: str) -> None:
        self._node_id = node_id
        self._table = SuspicionTable(SuspicionOptions(max_items=MAX_EVIDENCE_ITEMS))
        self._completions: dict[int, _Completions] = {}
        self._trials_s: dict[int, float] = {}
        self.version = 0
        """Number of changes of this gateway's own evidence."""

    def __len__(self) -> int:
        return len(self._table)

    def endpoint_died(
        self, endpoint: str, boot_id: str, parts: Iterable[str], now_s: float
    ) -> None:
        """Record the death of an endpoint while it ran a request with these parts."""
        fingerprints = {part_fingerprint(part) for part in parts}
        if fingerprints:
            self.version += 1
            self._table.endpoint_died(endpoint, boot_id, fingerprints, now_s)

    def completed(self, parts: Iterable[str], now_s: float) -> None:
        """Clear the parts of a completed request of all deaths so far."""
        for part in parts:
            fingerprint = part_fingerprint(part)
            self._table.completed(fingerprint, now_s)
            known = self._completions.pop(fingerprint, _Completions())
            # Inserted again, so that the parts that completed longest ago come first.
            self._completions[fingerprint] = _Completions(known.at(now_s) + 1.0, now_s)
        while len(self._completions) > MAX_TRACKED_PARTS:
            del self._completions[next(iter(self._completions))]

    def blame(
        self, parts: Sequence[str], now_s: float, settle_s: float = 0.0
    ) -> Blame | None:
        """Return the part for which a request must not be sent to an endpoint.

        Parameters
        ----------
        parts : sequence of str
            Shared parts of its prompt.
        now_s : float
        settle_s : float
            Age from which a death counts: before, what clears a part or explains the
            death better may not have been reported by all gateways.

        Returns
        -------
        Blame or None
            None if no part is blamed, or another one explains the deaths as well.
        """
        if not len(self._table):
            return None
        fingerprints = {part_fingerprint(part): part for part in parts}
        deaths = {
            fingerprint: {
                death: died_s
                for death, died_s in self._table.deaths(fingerprint, now_s).items()
                if now_s - died_s >= settle_s
            }
            for fingerprint in fingerprints
        }
        for fingerprint, died_s in sorted(
            deaths.items(), key=lambda item: len(item[1]), reverse=True
        ):
            moments = _count_moments(sorted(died_s.values()))
            if not self._is_enough(fingerprint, len(died_s), moments, now_s):
                continue
            if not self._has_rival(fingerprints.keys(), died_s, now_s):
                part = fingerprints[fingerprint]
                return Blame(part=part, deaths=len(died_s), moments=moments)
        return None

    def _has_rival(
        self, fingerprints: Collection[int], deaths: Iterable[int], now_s: float
    ) -> bool:
        """Return whether a part outside a prompt is suspected of all the deaths."""
        rivals: set[int] | None = None
        for death in deaths:
            suspects = self._table.suspects(death, now_s).difference(fingerprints)
            rivals = suspects if rivals is None else rivals & suspects
            if not rivals:
                return False
        return True

    def try_trial(self, blame: Blame, node_ids: Iterable[str], now_s: float) -> bool:
        """Return whether to let one request through, to see if the blame still holds.

        Parameters
        ----------
        blame : Blame
        node_ids : iterable of str
            Ids of the live gateways, including this one. One of them makes the trials.
        now_s : float
        """
        fingerprint = part_fingerprint(blame.part)
        died_s = self._table.deaths(fingerprint, now_s)
        if not died_s or first(f"trial {blame.part}", node_ids) != self._node_id:
            return False
        if self.trial_after_s(blame, now_s) > 0.0:
            return False
        self._trials_s[fingerprint] = now_s
        return True

    def trial_after_s(self, blame: Blame, now_s: float) -> float:
        """Return the time until a request with a blamed part may be tried again."""
        fingerprint = part_fingerprint(blame.part)
        died_s = self._table.deaths(fingerprint, now_s).values()
        doublings = min(blame.deaths - MIN_DEATHS, MAX_TRIAL_DOUBLINGS)
        tried_s = self._trials_s.get(fingerprint, -math.inf)
        since_s = max(tried_s, max(died_s, default=-math.inf))
        return max(0.0, since_s + TRIAL_BASE_S * 2**doublings - now_s)

    def merge(self, suspicions: Iterable[ttypes.Suspicion], now_s: float) -> None:
        """Merge evidence from another gateway.

        It is cleared at once for parts that have completed here since the death, so
        that a part in use everywhere is cleared by the whole fleet.
        """
        suspicions = list(suspicions)
        self._table.merge(suspicions, now_s)
        for fingerprint in {one.fingerprint for one in suspicions}:
            known = self._completions.get(fingerprint)
            if known is not None:
                self._table.completed(fingerprint, now_s, known.updated_s)

    def for_gossip(self, now_s: float, limit: int) -> list[ttypes.Suspicion]:
        """Select the evidence for one report to the other gateways."""
        return self._table.for_gossip(now_s, limit)

    def dump(self, now_s: float) -> list[dict[str, object]]:
        """Return the evidence as plain data."""
        return self._table.dump(now_s)

    def _is_enough(
        self, fingerprint: int, deaths: int, moments: int, now_s: float
    ) -> bool:
        completions = self._completions.get(fingerprint, _Completions()).at(now_s)
        needed = max(MIN_DEATHS, completions / COMPLETIONS_PER_DEATH)
        return deaths >= needed and moments >= MIN_MOMENTS


def _count_moments(times_s: Sequence[float]) -> int:
    """Count the groups of sorted times that are less than `MOMENT_S` apart.

    Examples
    --------
    >>> _count_moments([1.0, 1.05, 1.1, 2.0])
    2
    """
    gaps = zip(times_s, times_s[1:], strict=False)
    return int(bool(times_s)) + sum(later - one >= MOMENT_S for one, later in gaps)
