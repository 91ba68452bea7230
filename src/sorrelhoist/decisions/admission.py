"""Admission control of one endpoint: grant, queue or deny each request."""

import random

import attrs

from .capacity_bounds import Bounds, fits, fits_long
from .denials import denial
from .endpoint_health import EndpointHealth
from .foreign_use import ForeignUse
from .grants import AdmissionRequest, DenialKind, Denied, Lane, Queued
from .holdings import Holdings
from .lifecycle import Phase
from .queueing import QueuedRequest, WaitingQueue
from .retry_after import Backlog, RetryAfterPolicy, retry_after_s
from .service_rates import ServiceRates

CLOSED_RETRY_AFTER_S = 1.0
LANE_ORDER = (Lane.SHORT, Lane.LONG, Lane.ALONE)
ALONE_FIRST = (Lane.ALONE, Lane.SHORT, Lane.LONG)


@attrs.define
class AdmissionControl:
    """Admission rules over the state of one endpoint.

    Short requests are scheduled before long ones. To prevent starvation, a long
    request that has waited for `patience_s` limits the short requests to their
    reserved floor until it starts, and an exclusive request (lane ``ALONE``) that
    has waited as long blocks all others. Two exclusive requests never run back to
    back while other requests wait.
    """

    health: EndpointHealth
    rates: ServiceRates
    queue: WaitingQueue
    holdings: Holdings
    foreign: ForeignUse
    advice: RetryAfterPolicy
    rng: random.Random | None
    alone_ended_s: float = float("-inf")

    # Arriving requests

    def deny(
        self, request: AdmissionRequest, lane: Lane, now_s: float
    ) -> Denied | None:
        """Return the denial of a request that can't be served here in time, or None."""
        kind = self.health.closed()
        if kind is not None:
            return denial(request.request_id, kind, retry_after_s=CLOSED_RETRY_AFTER_S)
        if request.kv_tokens > self.health.largest_kv_tokens(lane):
            return denial(request.request_id, DenialKind.TOO_LARGE)
        best_s = self.rates.best_service_s(request.prefill_tokens)
        if now_s + best_s > request.deadline_s:
            return denial(request.request_id, DenialKind.DEADLINE)
        if self._is_full_in_cold_start(request, lane):
            return self._denied(request, lane, DenialKind.COLD)
        expected_s = self.expected_wait_s(lane) + self._service_s(request)
        if now_s + expected_s > request.deadline_s:
            return self.overloaded(request, lane)
        return None

    def can_skip_queue(
        self, request: AdmissionRequest, lane: Lane, now_s: float
    ) -> bool:
        """Return whether a request may start immediately, without queueing."""
        if self.queue.lanes[lane]:
            return False
        if lane is Lane.LONG and self.queue.lanes[Lane.SHORT]:
            return False
        if lane is Lane.ALONE and self.queue:
            return False
        return self._fits(lane, request.kv_tokens, now_s)

    def queued(self, request: AdmissionRequest, lane: Lane) -> Queued:
        """Return the response for a queued request."""
        return Queued(
            request_id=request.request_id,
            position=len(self.queue.lanes[lane]),
            expected_wait_s=self.expected_wait_s(lane),
        )

    def overloaded(self, request: AdmissionRequest, lane: Lane) -> Denied:
        """Deny a request for lack of capacity or time."""
        return self._denied(request, lane, DenialKind.OVERLOADED)

    # Queued requests

    def deny_unservable(self, now_s: float) -> list[Denied]:
        """Remove and deny queued requests that can no longer be served here in time.

        While the endpoint is closed or cold, all queued requests are denied.
        """
        kind = self.health.closed()
        if kind is None and self.health.phase is Phase.COLD:
            kind = DenialKind.COLD
        if kind is not None:
            dropped = self.queue.remove_where(lambda queued: True)
        else:
            dropped = self.queue.remove_where(
                lambda queued: self._will_miss_deadline(queued, now_s)
            )
        reason = kind or DenialKind.OVERLOADED
        return [self._denied(item.request, item.lane, reason) for item in dropped]

    def next_lane(self, now_s: float) -> Lane | None:
        """Return the lane whose next request may start now, or None."""
        if self.health.closed() is not None:
            return None
        for lane in ALONE_FIRST if self._is_alone_due(now_s) else LANE_ORDER:
            queued = self.queue.lanes[lane].peek()
            if queued is None:
                continue
            if self._fits(lane, queued.request.kv_tokens, now_s):
                return lane
        return None

    # Estimates

    def expected_wait_s(self, lane: Lane) -> float:
        """Estimate the time until the prefill of a new request can start."""
        reading_s = self.pending_prefill_tokens(lane) / self.rates.prefill_per_s
        ahead = self._requests_ahead(lane)
        return max(reading_s, ahead * self.rates.drain_interval_s)

    def pending_prefill_tokens(self, lane: Lane) -> int:
        """Return the prefill backlog, in tokens, ahead of a new request."""
        return self.holdings.tokens_ahead(lane) + self.queue.tokens_ahead(lane)

    def bounds(self) -> Bounds:
        """Return the capacity bounds, regardless of the queue."""
        return self.health.bounds(self.foreign.requests, self.foreign.kv_tokens)

    def _fits(self, lane: Lane, kv_tokens: int, now_s: float) -> bool:
        bounds = self._bounds_for_waiting(now_s)
        return fits(lane, kv_tokens, self.holdings.usage(), bounds)

    def _bounds_for_waiting(self, now_s: float) -> Bounds:
        bounds = self.bounds()
        if self._is_alone_due(now_s):
            bounds = attrs.evolve(bounds, alone_waits=True)
        if self._is_starved(Lane.LONG, now_s):
            bounds = self._cap_short_requests(bounds)
        return bounds

    def _cap_short_requests(self, bounds: Bounds) -> Bounds:
        # Reserve what the waiting long request needs, except for the short floor. If
        # running long requests already fill the long share, capping the short ones
        # would not let it start any earlier.
        first = self.queue.lanes[Lane.LONG].peek()
        usage = self.holdings.usage()
        if first is None or not fits_long(first.request.kv_tokens, usage, bounds):
            return bounds
        limits = self.health.limits
        kv_tokens = min(bounds.kv_tokens, bounds.allowed_tokens)
        left_requests = bounds.allowed_requests - usage.long_requests - 1
        left_kv_tokens = kv_tokens - usage.long_kv_tokens - first.request.kv_tokens
        return attrs.evolve(
            bounds,
            short_requests=max(left_requests, limits.short_floor_requests),
            short_kv_tokens=max(left_kv_tokens, limits.short_floor_kv_tokens),
        )

    def _is_alone_due(self, now_s: float) -> bool:
        # After an exclusive request, the others get `patience_s` before the next one.
        return self._is_starved(Lane.ALONE, now_s, self.alone_ended_s)

    def _is_starved(
        self, lane: Lane, now_s: float, since_s: float = float("-inf")
    ) -> bool:
        first = self.queue.lanes[lane].peek()
        if first is None:
            return False
        waiting_s = now_s - max(first.enqueued_s, since_s)
        return waiting_s >= self.health.limits.patience_s

    def _will_miss_deadline(self, queued: QueuedRequest, now_s: float) -> bool:
        return now_s + self._service_s(queued.request) > queued.request.deadline_s

    def _is_full_in_cold_start(self, request: AdmissionRequest, lane: Lane) -> bool:
        if self.health.phase is not Phase.COLD:
            return False
        return not fits(lane, request.kv_tokens, self.holdings.usage(), self.bounds())

    def _service_s(self, request: AdmissionRequest) -> float:
        if not self.holdings:
            # An idle endpoint gets no new samples, so stale estimates must not make it
            # deny all requests.
            return self.rates.best_service_s(request.prefill_tokens)
        output_tokens = request.remaining_output_tokens
        return self.rates.service_s(request.prefill_tokens, output_tokens)

    def _requests_ahead(self, lane: Lane) -> int:
        if lane is Lane.LONG:
            return len(self.queue)
        return len(self.queue.lanes[lane])

    def _retry_after_s(self, lane: Lane) -> float:
        backlog = Backlog(
            position=self._requests_ahead(lane),
            drain_interval_s=self.rates.drain_interval_s,
            expected_wait_s=self.expected_wait_s(lane),
        )
        return retry_after_s(self.advice, backlog, self.rng)

    def _denied(
        self, request: AdmissionRequest, lane: Lane, kind: DenialKind
    ) -> Denied:
        return denial(request.request_id, kind, retry_after_s=self._retry_after_s(lane))
