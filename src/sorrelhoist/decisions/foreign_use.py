"""Use of an endpoint outside the grants of its agent, from lagging status reports.

A report is compared with the grants that were held at the time it describes. Use beyond
them is foreign: streams of an agent that died, or KV cache that leaked.
"""

from collections import deque

import attrs

from .grants import EndpointObservation

HISTORY_S = 60.0
REPORT_SLACK_S = 0.5
MAX_SAMPLES = 4096


@attrs.frozen
class _Sample:
    since_s: float
    requests: int
    kv_tokens: int


@attrs.define
class ForeignUse:
    """Requests and KV cache on an endpoint beyond the grants of its agent."""

    requests: int = 0
    kv_tokens: int = 0
    _history: deque[_Sample] = attrs.field(factory=lambda: deque(maxlen=MAX_SAMPLES))

    def held(self, requests: int, kv_tokens: int, now_s: float) -> None:
        """Record the total of the agent's grants from now on."""
        self._history.append(_Sample(now_s, requests, kv_tokens))
        while len(self._history) > 1 and self._history[1].since_s < now_s - HISTORY_S:
            self._history.popleft()

    def report(self, observation: EndpointObservation, now_s: float) -> None:
        """Compare a report with the grants held at the time it describes.

        The time is only known to within `REPORT_SLACK_S`, so the largest total in
        that interval counts.
        """
        at_s = now_s - observation.report_age_s
        held = self._held_around(at_s)
        requests = max((sample.requests for sample in held), default=0)
        kv_tokens = max((sample.kv_tokens for sample in held), default=0)
        self.requests = max(0, observation.running_requests - requests)
        self.kv_tokens = max(0, observation.kv_used_tokens - kv_tokens)

    def clear(self) -> None:
        """Drop all history after a restart of the endpoint."""
        self.requests = 0
        self.kv_tokens = 0
        self._history.clear()

    def _held_around(self, at_s: float) -> list[_Sample]:
        first_s = at_s - REPORT_SLACK_S
        last_s = at_s + REPORT_SLACK_S
        held: list[_Sample] = []
        for sample in reversed(self._history):
            if sample.since_s <= last_s:
                held.append(sample)
            if sample.since_s <= first_s:
                break
        return held or list(self._history)[:1]

    def dump(self) -> dict[str, object]:
        """Return the state as plain data."""
        return {"requests": self.requests, "kv_tokens": self.kv_tokens}
