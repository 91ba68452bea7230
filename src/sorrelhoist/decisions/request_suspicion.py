"""Refusal of requests that crash the endpoints that run them, at the gateways.

All callers of a workspace that ask for the same path send what counts as one request
here. The load pattern is such a common request while endpoints die for other reasons,
as in a power failure: it runs on each of them. A request that crashes endpoints never
completes, so each completion speaks against the suspicion, and a request that is
refused is tried again at growing intervals.
"""

import math
import sys
from collections.abc import Iterable

import attrs

from ..messages.gen import ttypes
from .rendezvous import first
from .suspicion import SOLO_DEATHS_TO_CONDEMN, SuspicionTable
from .suspicion_evidence import SuspicionOptions

DEATHS_TO_CONDEMN = 3
"""Number of endpoints that a request may have crashed before it is refused."""

NO_CORRELATION = sys.maxsize
"""Deaths of other endpoints that excuse a request: none do, since several requests may
crash endpoints at the same time."""

MIN_SPAN_S = 1.0
"""Time over which the deaths must be spread: a power failure takes less."""

EXCUSED_PER_COMPLETION = 5.0
"""Further deaths that a recent completion at this gateway outweighs; most deaths are
reported by others, since one gateway in many sees a small part of the requests."""

MAX_EXCUSED_DEATHS = 20
"""Largest number of further deaths that completions outweigh: a request that used to
complete may crash endpoints from now on."""

COMPLETION_HALF_LIFE_S = 300.0
"""Half-life of a completion in that comparison: longer than most outages."""

MAX_TRACKED_REQUESTS = 4096
"""Requests whose completions are counted."""

TRIAL_BASE_S = 20.0
"""Time since the last death after which one request that is refused is let through."""

TRIAL_FACTOR = 4
"""Factor by which this time grows with each death."""

MAX_TRIAL_STEPS = 3


@attrs.frozen
class _Completions:
    count: float = 0.0
    updated_s: float = 0.0

    def at(self, now_s: float) -> float:
        elapsed_s = max(0.0, now_s - self.updated_s)
        return self.count * 0.5 ** (elapsed_s / COMPLETION_HALF_LIFE_S)


class RequestSuspicions:
    """Evidence about requests, shared between all gateways.

    Parameters
    ----------
    node_id : str

    Examples
    --------
    >>> requests = RequestSuspicions("g")
    >>> for number in range(3):
    ...     requests.endpoint_died(f"e{number}", "boot", [7], 1.0 + number, 2)
    >>> requests.is_condemned(7, now_s=4.0)
    True
    >>> requests.completed(7, now_s=5.0)
    >>> requests.is_condemned(7, now_s=5.0)
    False
    """

    def __init__(self, node_id: str) -> None:
        self._node_id = node_id
        self._table = SuspicionTable(
            SuspicionOptions(
                deaths_to_condemn=DEATHS_TO_CONDEMN,
                correlated_failure_deaths=NO_CORRELATION,
            )
        )
        self._completions: dict[int, _Completions] = {}
        self._trials_s: dict[int, float] = {}

    def __len__(self) -> int:
        return len(self._table)

    def endpoint_died(
        self,
        endpoint: str,
        boot_id: str,
        fingerprints: Iterable[int],
        now_s: float,
        running_requests: int = 0,
    ) -> None:
        """Record the death of an endpoint; see `SuspicionTable.endpoint_died`."""
        self._table.endpoint_died(
            endpoint, boot_id, list(fingerprints), now_s, running_requests
        )

    def completed(self, fingerprint: int, now_s: float) -> None:
        """Clear a request of all deaths so far, and count its completion."""
        self._table.completed(fingerprint, now_s)
        self._trials_s.pop(fingerprint, None)
        known = self._completions.pop(fingerprint, _Completions())
        # Inserted again, so that the requests that completed longest ago come first.
        self._completions[fingerprint] = _Completions(known.at(now_s) + 1.0, now_s)
        while len(self._completions) > MAX_TRACKED_REQUESTS:
            del self._completions[next(iter(self._completions))]

    def is_condemned(self, fingerprint: int, now_s: float) -> bool:
        """Return whether the request is refused, unless `try_trial` lets it through."""
        if not len(self._table) or not self._table.is_condemned(fingerprint, now_s):
            return False
        completions = self._completions.get(fingerprint, _Completions()).at(now_s)
        excused = min(completions * EXCUSED_PER_COMPLETION, MAX_EXCUSED_DEATHS)
        died_s = self._table.deaths(fingerprint, now_s).values()
        if len(died_s) - SOLO_DEATHS_TO_CONDEMN < excused:
            return False
        is_spread = max(died_s) - min(died_s) >= MIN_SPAN_S
        return is_spread or len(died_s) < DEATHS_TO_CONDEMN

    def try_trial(
        self, fingerprint: int, node_ids: Iterable[str], now_s: float
    ) -> bool:
        """Return whether to let one condemned request through to one endpoint.

        Parameters
        ----------
        fingerprint : int
        node_ids : iterable of str
            Ids of the live gateways, including this one. One of them makes the trials.
        now_s : float
        """
        died_s = self._table.deaths(fingerprint, now_s)
        if not died_s or first(f"trial {fingerprint}", node_ids) != self._node_id:
            return False
        if self.trial_after_s(fingerprint, now_s) > 0.0:
            return False
        self._trials_s[fingerprint] = now_s
        while len(self._trials_s) > MAX_TRACKED_REQUESTS:
            del self._trials_s[next(iter(self._trials_s))]
        return True

    def trial_after_s(self, fingerprint: int, now_s: float) -> float:
        """Return the time until a condemned request may be tried again."""
        died_s = self._table.deaths(fingerprint, now_s).values()
        steps = min(max(0, len(died_s) - DEATHS_TO_CONDEMN), MAX_TRIAL_STEPS)
        tried_s = self._trials_s.get(fingerprint, -math.inf)
        since_s = max(tried_s, max(died_s, default=-math.inf))
        return max(0.0, since_s + TRIAL_BASE_S * TRIAL_FACTOR**steps - now_s)

    def merge(self, suspicions: Iterable[ttypes.Suspicion], now_s: float) -> None:
        """Merge evidence from another gateway.

        It is cleared at once for requests that have completed here since the death, so
        that a request in use everywhere is cleared by the whole fleet.
        """
        suspicions = list(suspicions)
        self._table.merge(suspicions, now_s)
        for fingerprint in {one.fingerprint for one in suspicions}:
            known = self._completions.get(fingerprint)
            if known is not None:
                self._table.completed(fingerprint, now_s, known.updated_s)

    def for_gossip(self, now_s: float) -> list[ttypes.Suspicion]:
        """Select the evidence for one report to the other gateways."""
        return self._table.for_gossip(now_s)

    def dump(self, now_s: float) -> list[dict[str, object]]:
        """Return the evidence as plain data."""
        return self._table.dump(now_s)
