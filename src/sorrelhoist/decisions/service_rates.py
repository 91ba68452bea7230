"""Observed prefill, decode and drain rates of an endpoint; service-time estimates."""

import math

import attrs

PREFILL_DECAY_S = 30.0
EWMA_WEIGHT = 0.2
MIN_SAMPLE_TOKENS = 2000
MIN_SAMPLE_S = 1e-3
SLOW_SAMPLES = 2


@attrs.define
class ServiceRates:
    """Moving averages of the rates of one endpoint.

    The prefill rate is the number of prefilled tokens divided by the time in which any
    prompt was waiting for prefill, since several prompts share the engine.

    Parameters
    ----------
    nominal_prefill_per_s : float
        Initial estimate of the prefill rate, in tokens per second.
    """

    nominal_prefill_per_s: float
    decode_s_per_token: float = 0.0
    drain_interval_s: float = 0.0
    _tokens: float = attrs.field(init=False)
    _busy_s: float = attrs.field(init=False, default=1.0)
    _busy_since_s: float | None = attrs.field(init=False, default=None)
    _drained_s: float | None = attrs.field(init=False, default=None)
    _slow_samples: int = attrs.field(init=False, default=0)

    def __attrs_post_init__(self) -> None:
        self._tokens = self.nominal_prefill_per_s

    @property
    def prefill_per_s(self) -> float:
        """Prefill rate in tokens per second, smoothed over `PREFILL_DECAY_S`."""
        return max(self._tokens / self._busy_s, 1.0)

    def prefill_began(self, now_s: float) -> None:
        """Record that a prompt waits for prefill."""
        if self._busy_since_s is None:
            self._busy_since_s = now_s

    def prefill_ended(self, tokens: int, now_s: float, busy: bool) -> None:
        """Record the completed prefill of a prompt.

        Parameters
        ----------
        tokens : int
            Length of the prompt.
        now_s : float
            The present time, monotonic seconds.
        busy : bool
            True if another prompt still waits for prefill.
        """
        since_s = now_s if self._busy_since_s is None else self._busy_since_s
        elapsed_s = max(now_s - since_s, MIN_SAMPLE_S)
        kept = math.exp(-elapsed_s / PREFILL_DECAY_S)
        self._tokens = self._tokens * kept + tokens
        self._busy_s = self._busy_s * kept + elapsed_s
        self._busy_since_s = now_s if busy else None

    def prefill_stopped(self) -> None:
        """Record that no prompt waits for prefill any more, without a completion."""
        self._busy_since_s = None

    def record_exclusive_prefill(
        self, tokens: int, elapsed_s: float, slow_per_s: float
    ) -> bool:
        """Record the prefill of a prompt while no other one waited.

        Returns
        -------
        bool
            True if several in a row were slower than `slow_per_s` tokens per second.
        """
        if tokens < MIN_SAMPLE_TOKENS:
            return False
        is_slow = tokens / max(elapsed_s, MIN_SAMPLE_S) < slow_per_s
        self._slow_samples = self._slow_samples + 1 if is_slow else 0
        return self._slow_samples >= SLOW_SAMPLES

    def decoded(self, tokens: int, elapsed_s: float) -> None:
        """Record the decode time of the output of a request."""
        if tokens <= 0:
            return
        sample_s = elapsed_s / tokens
        if self.decode_s_per_token == 0.0:
            self.decode_s_per_token = sample_s
        self.decode_s_per_token += EWMA_WEIGHT * (sample_s - self.decode_s_per_token)

    def drained(self, now_s: float, waiting: bool) -> None:
        """Record that a running request ended.

        Parameters
        ----------
        now_s : float
            The present time, monotonic seconds.
        waiting : bool
            True if other requests wait for its slot; only then the time between two
            departures measures how fast the queue drains.
        """
        if self._drained_s is not None and waiting:
            sample_s = now_s - self._drained_s
            if self.drain_interval_s == 0.0:
                self.drain_interval_s = sample_s
            self.drain_interval_s += EWMA_WEIGHT * (sample_s - self.drain_interval_s)
        self._drained_s = now_s if waiting else None

    def service_s(self, prefill_tokens: int, output_tokens: int) -> float:
        """Estimate the service time of a request without queueing."""
        prefill_s = prefill_tokens / self.prefill_per_s
        return prefill_s + output_tokens * self.decode_s_per_token

    def best_service_s(self, prefill_tokens: int) -> float:
        """Return a lower bound of the service time on an idle endpoint."""
        per_s = max(self.prefill_per_s, self.nominal_prefill_per_s)
        return prefill_tokens / per_s

    def dump(self) -> dict[str, object]:
        """Return the state as plain data."""
        return {
            "prefill_tokens_per_s": round(self.prefill_per_s, 1),
            "decode_s_per_token": self.decode_s_per_token,
            "drain_interval_s": self.drain_interval_s,
        }
