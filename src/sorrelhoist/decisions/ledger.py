"""Grant ledger of one endpoint: admission, queue and leases in one state object.

No request reaches an endpoint without a grant of its ledger. The ledger accounts for
the KV cache and the running requests that it granted itself. Status reports of the
endpoint lag, so they can only lower what is allowed, never raise it.
"""

import random

import attrs

from .admission import AdmissionControl
from .capacity_bounds import lane_of
from .denials import denial
from .endpoint_limits import EndpointLimits
from .grant_table import GrantTable
from .grants import (
    AdmissionRequest,
    DenialKind,
    Denied,
    Granted,
    Lane,
    LoadSnapshot,
    Queued,
)
from .holdings import Holding, HoldingState
from .queueing import QueuedRequest, WaitingQueue
from .retry_after import BacklogBased, RetryAfterPolicy

MS_PER_S = 1000


@attrs.define
class GrantLedger(GrantTable):
    """Grants, leases and queue of an endpoint; the single authority over its use.

    Parameters
    ----------
    limits : EndpointLimits
        Capacity limits of the endpoint.
    ledger_id : str
        Prefix of all grant ids; differs after each start of the agent.
    now_s : float
        The present time, monotonic seconds.
    advice : RetryAfterPolicy
        Strategy for the retry-after time of denied requests.
    rng : random.Random, optional
        Source of jitter.
    """

    advice: RetryAfterPolicy = BacklogBased()
    rng: random.Random | None = None
    queue: WaitingQueue = attrs.field(init=False)
    _admission: AdmissionControl = attrs.field(init=False)
    _evicted: list[Denied] = attrs.field(init=False, factory=list)

    def __attrs_post_init__(self) -> None:
        super().__attrs_post_init__()
        self.queue = WaitingQueue(self.limits.max_queued_requests)
        self._admission = AdmissionControl(
            health=self.health,
            rates=self.rates,
            queue=self.queue,
            holdings=self.holdings,
            foreign=self.foreign,
            advice=self.advice,
            rng=self.rng,
        )

    def request(
        self, request: AdmissionRequest, now_s: float
    ) -> Granted | Queued | Denied:
        """Grant, queue or deny a request.

        Parameters
        ----------
        request : AdmissionRequest
            A repeated request gets the answer that is valid now.
        now_s : float
            The present time, monotonic seconds.

        Returns
        -------
        Granted, Queued or Denied
            For a queued request, `pump` returns the only decision later.
        """
        lane = lane_of(request.prompt_tokens, request.alone, self.limits)
        if (known := self._existing_answer(request, lane, now_s)) is not None:
            return known
        refused = self._admission.deny(request, lane, now_s)
        if refused is not None:
            return refused
        if self._admission.can_skip_queue(request, lane, now_s):
            self.queue.lanes[lane].charge(request)
            return self.grant(request, lane, now_s)
        return self._enqueue(request, lane, now_s)

    def withdraw(self, request_id: str) -> bool:
        """Remove a request from the queue, because its client has disconnected.

        Returns
        -------
        bool
            False if it was not queued.
        """
        return bool(
            self.queue.remove_where(lambda item: item.request.request_id == request_id)
        )

    def pump(self, now_s: float) -> list[Granted | Denied]:
        """Grant or deny the queued requests that can be decided now.

        Call it after each change, such as a release or a report, and every second.

        Returns
        -------
        list of Granted or Denied
            Each queued request is returned once in the lifetime of the ledger.
        """
        decided: list[Granted | Denied] = list(self._evicted)
        self._evicted.clear()
        decided += self._admission.deny_unservable(now_s)
        while (lane := self._admission.next_lane(now_s)) is not None:
            queued = self.queue.pop(lane)
            decided.append(self.grant(queued.request, lane, now_s))
        return decided

    def _existing_answer(
        self, request: AdmissionRequest, lane: Lane, now_s: float
    ) -> Granted | Queued | Denied | None:
        if request.request_id in self.queue:
            return self._admission.queued(request, lane)
        holding = self.holdings.of_request(request.request_id)
        if holding is None:
            return None
        if holding.state is HoldingState.HELD:
            if now_s >= holding.expires_s:
                self._remove(holding, now_s)
                return None
            if holding.entry_id == request.entry_id:
                return self.answer(holding)
        return denial(request.request_id, DenialKind.ALREADY_RUNNING, not_run=False)

    def _enqueue(
        self, request: AdmissionRequest, lane: Lane, now_s: float
    ) -> Queued | Denied:
        if not request.may_queue or self.queue.max_requests == 0:
            return self._admission.overloaded(request, lane)
        if self.queue.full:
            evicted = self.queue.evict_for(request)
            if evicted is None:
                return self._admission.overloaded(request, lane)
            refused = self._admission.overloaded(evicted.request, evicted.lane)
            self._evicted.append(refused)
        queued = self._admission.queued(request, lane)
        self.queue.push(QueuedRequest(request, lane, now_s))
        return queued

    def load(self, now_s: float) -> LoadSnapshot:
        """Return the load that is sent with each grant and denial."""
        usage = self.usage
        wait_s = self._admission.expected_wait_s(Lane.SHORT)
        return LoadSnapshot(
            phase=self.health.phase.value,
            running_requests=usage.requests + self.foreign.requests,
            queued_requests=len(self.queue),
            kv_used_tokens=usage.kv_tokens + self.foreign.kv_tokens,
            kv_capacity_tokens=self.health.capacity_tokens,
            pending_prefill_tokens=self._admission.pending_prefill_tokens(Lane.LONG),
            prefill_tokens_per_s=int(self.rates.prefill_per_s),
            long_requests=usage.long_requests,
            queue_delay_ms=int(wait_s * MS_PER_S),
        )

    def set_limits(self, limits: EndpointLimits) -> None:
        """Apply new limits; running requests are not affected."""
        super().set_limits(limits)
        self.queue.max_requests = limits.max_queued_requests

    def _remove(self, holding: Holding, now_s: float) -> None:
        super()._remove(holding, now_s)
        self.rates.drained(now_s, waiting=len(self.queue) > 0)
        if holding.lane is Lane.ALONE:
            self._admission.alone_ended_s = now_s

    def dump(self) -> dict[str, object]:
        """Return the state as plain data, for the state dump."""
        return {**super().dump(), "queue": self.queue.dump()}
