"""Who may start on an endpoint now, who waits, and who is refused."""

import random

import attrs

from .denials import denial
from .endpoint_health import EndpointHealth
from .foreign_use import ForeignUse
from .grants import DenialKind, Denied, GrantAsk, Lane, Queued
from .holdings import Holdings
from .lifecycle import Phase
from .queueing import Waiting, WaitingQueue
from .retry_after import Backlog, RetryAdvice, retry_after_s
from .room import Bounds, fits, fits_long
from .service_rates import ServiceRates

SHUT_RETRY_AFTER_S = 1.0
LANE_ORDER = (Lane.SHORT, Lane.LONG, Lane.ALONE)
ALONE_FIRST = (Lane.ALONE, Lane.SHORT, Lane.LONG)


@attrs.define
class Admission:
    """The rules of admission over the state of one endpoint.

    Short requests go before long ones. A long request that has waited out its
    patience holds the short ones to their floor until it starts; a solitary one
    holds all others, so that neither waits for ever. Two solitary ones never follow
    each other at once while others wait.
    """

    health: EndpointHealth
    rates: ServiceRates
    queue: WaitingQueue
    holdings: Holdings
    foreign: ForeignUse
    advice: RetryAdvice
    rng: random.Random | None
    alone_ended_s: float = float("-inf")

    # At the door

    def refuse(self, ask: GrantAsk, lane: Lane, now_s: float) -> Denied | None:
        """Refuse a request that can't run here in time, else give None."""
        kind = self.health.closed()
        if kind is not None:
            return denial(ask.request_id, kind, retry_after_s=SHUT_RETRY_AFTER_S)
        if ask.kv_tokens > self.health.largest_kv_tokens(lane):
            return denial(ask.request_id, DenialKind.TOO_LARGE)
        best_s = self.rates.best_service_s(ask.prefill_tokens)
        if now_s + best_s > ask.deadline_s:
            return denial(ask.request_id, DenialKind.DEADLINE)
        if self._is_full_in_cold_start(ask, lane):
            return self._refused(ask, lane, DenialKind.COLD)
        expected_s = self.expected_wait_s(lane) + self._service_s(ask)
        if now_s + expected_s > ask.deadline_s:
            return self.overloaded(ask, lane)
        return None

    def may_pass_queue(self, ask: GrantAsk, lane: Lane, now_s: float) -> bool:
        """Tell whether a request may start without waiting."""
        if self.queue.lanes[lane]:
            return False
        if lane is Lane.LONG and self.queue.lanes[Lane.SHORT]:
            return False
        if lane is Lane.ALONE and self.queue:
            return False
        return self._fits(lane, ask.kv_tokens, now_s)

    def queued(self, ask: GrantAsk, lane: Lane) -> Queued:
        """Make the answer for a request that waits."""
        return Queued(
            request_id=ask.request_id,
            position=len(self.queue.lanes[lane]),
            expected_wait_s=self.expected_wait_s(lane),
        )

    def overloaded(self, ask: GrantAsk, lane: Lane) -> Denied:
        """Refuse a request for want of room or time."""
        return self._refused(ask, lane, DenialKind.OVERLOADED)

    # In the queue

    def give_up(self, now_s: float) -> list[Denied]:
        """Refuse the queued requests that can't run here in time any more."""
        kind = self.health.closed()
        if kind is None and self.health.phase is Phase.COLD:
            kind = DenialKind.COLD
        if kind is not None:
            dropped = self.queue.take(lambda waiting: True)
        else:
            dropped = self.queue.take(lambda waiting: self._is_late(waiting, now_s))
        reason = kind or DenialKind.OVERLOADED
        return [self._refused(item.ask, item.lane, reason) for item in dropped]

    def next_lane(self, now_s: float) -> Lane | None:
        """Give the lane whose next request may start now, if there is one."""
        if self.health.closed() is not None:
            return None
        for lane in ALONE_FIRST if self._alone_is_due(now_s) else LANE_ORDER:
            waiting = self.queue.lanes[lane].peek()
            if waiting is None:
                continue
            if self._fits(lane, waiting.ask.kv_tokens, now_s):
                return lane
        return None

    # Estimates

    def expected_wait_s(self, lane: Lane) -> float:
        """Estimate the time until the prompt of a new request is read."""
        reading_s = self.pending_prefill_tokens(lane) / self.rates.prefill_per_s
        waiting = self._ahead(lane)
        return max(reading_s, waiting * self.rates.drain_interval_s)

    def pending_prefill_tokens(self, lane: Lane) -> int:
        """Count the tokens to be read before those of a new request."""
        return self.holdings.reading_tokens(lane) + self.queue.ahead_tokens(lane)

    def bounds(self) -> Bounds:
        """Give what may run, without regard to who waits."""
        return self.health.bounds(self.foreign.requests, self.foreign.kv_tokens)

    def _fits(self, lane: Lane, kv_tokens: int, now_s: float) -> bool:
        bounds = self._bounds_for_waiting(now_s)
        return fits(lane, kv_tokens, self.holdings.usage(), bounds)

    def _bounds_for_waiting(self, now_s: float) -> Bounds:
        bounds = self.bounds()
        if self._alone_is_due(now_s):
            bounds = attrs.evolve(bounds, alone_waits=True)
        if self._is_impatient(Lane.LONG, now_s):
            bounds = self._hold_short_ones(bounds)
        return bounds

    def _hold_short_ones(self, bounds: Bounds) -> Bounds:
        # Keep free what the long request needs, but for the floor. While other long
        # ones take their whole part, nothing of the short ones can help it.
        first = self.queue.lanes[Lane.LONG].peek()
        usage = self.holdings.usage()
        if first is None or not fits_long(first.ask.kv_tokens, usage, bounds):
            return bounds
        limits = self.health.limits
        kv_tokens = min(bounds.kv_tokens, bounds.allowed_tokens)
        left_requests = bounds.allowed_requests - usage.long_requests - 1
        left_kv_tokens = kv_tokens - usage.long_kv_tokens - first.ask.kv_tokens
        return attrs.evolve(
            bounds,
            short_requests=max(left_requests, limits.short_floor_requests),
            short_kv_tokens=max(left_kv_tokens, limits.short_floor_kv_tokens),
        )

    def _alone_is_due(self, now_s: float) -> bool:
        # Others get their patience between two solitary requests.
        return self._is_impatient(Lane.ALONE, now_s, self.alone_ended_s)

    def _is_impatient(
        self, lane: Lane, now_s: float, since_s: float = float("-inf")
    ) -> bool:
        first = self.queue.lanes[lane].peek()
        if first is None:
            return False
        waiting_s = now_s - max(first.enqueued_s, since_s)
        return waiting_s >= self.health.limits.patience_s

    def _is_late(self, waiting: Waiting, now_s: float) -> bool:
        return now_s + self._service_s(waiting.ask) > waiting.ask.deadline_s

    def _is_full_in_cold_start(self, ask: GrantAsk, lane: Lane) -> bool:
        if self.health.phase is not Phase.COLD:
            return False
        return not fits(lane, ask.kv_tokens, self.holdings.usage(), self.bounds())

    def _service_s(self, ask: GrantAsk) -> float:
        if not self.holdings:
            # Estimates that nothing renews must not shut an idle endpoint.
            return self.rates.best_service_s(ask.prefill_tokens)
        output_tokens = ask.remaining_output_tokens
        return self.rates.service_s(ask.prefill_tokens, output_tokens)

    def _ahead(self, lane: Lane) -> int:
        if lane is Lane.LONG:
            return len(self.queue)
        return len(self.queue.lanes[lane])

    def _advice_s(self, lane: Lane) -> float:
        backlog = Backlog(
            position=self._ahead(lane),
            drain_interval_s=self.rates.drain_interval_s,
            expected_wait_s=self.expected_wait_s(lane),
        )
        return retry_after_s(self.advice, backlog, self.rng)

    def _refused(self, ask: GrantAsk, lane: Lane, kind: DenialKind) -> Denied:
        return denial(ask.request_id, kind, retry_after_s=self._advice_s(lane))
