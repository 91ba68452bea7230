"""The grants of one endpoint: the state of its single gatekeeper.

Nothing reaches an endpoint without a grant of this ledger. It counts memory and
running requests that it granted itself. A report of the endpoint, which lags, can
only lower what is allowed.
"""

import random

import attrs

from .admission import Admission
from .denials import denial
from .endpoint_limits import EndpointLimits
from .grant_book import GrantBook
from .grants import DenialKind, Denied, GrantAsk, Granted, Lane, LoadFigures, Queued
from .holdings import Holding, HoldingState
from .queueing import Waiting, WaitingQueue
from .retry_after import Informed, RetryAdvice
from .room import lane_of

MS_PER_S = 1000


@attrs.define
class GrantLedger(GrantBook):
    """Who may use an endpoint, until when, and who waits for it.

    Parameters
    ----------
    limits : EndpointLimits
        What the endpoint bears.
    ledger_id : str
        Prefix of all grant ids; another one after each start of the agent.
    now_s : float
        The present time, monotonic seconds.
    advice : RetryAdvice
        How refused callers are told when to come back.
    rng : random.Random, optional
        Source of jitter.
    """

    advice: RetryAdvice = Informed()
    rng: random.Random | None = None
    queue: WaitingQueue = attrs.field(init=False)
    _admission: Admission = attrs.field(init=False)
    _displaced: list[Denied] = attrs.field(init=False, factory=list)

    def __attrs_post_init__(self) -> None:
        super().__attrs_post_init__()
        self.queue = WaitingQueue(self.limits.max_queued_requests)
        self._admission = Admission(
            health=self.health,
            rates=self.rates,
            queue=self.queue,
            holdings=self.holdings,
            foreign=self.foreign,
            advice=self.advice,
            rng=self.rng,
        )

    def request(self, ask: GrantAsk, now_s: float) -> Granted | Queued | Denied:
        """Decide on a request, or give it a place in the queue.

        Parameters
        ----------
        ask : GrantAsk
            An ask that is repeated gets the answer that holds now.
        now_s : float
            The present time, monotonic seconds.

        Returns
        -------
        Granted, Queued or Denied
            For a queued request `pump` gives the one decision later.
        """
        lane = lane_of(ask.prompt_tokens, ask.alone, self.limits)
        if (known := self._known(ask, lane, now_s)) is not None:
            return known
        refused = self._admission.refuse(ask, lane, now_s)
        if refused is not None:
            return refused
        if self._admission.may_pass_queue(ask, lane, now_s):
            self.queue.lanes[lane].charge(ask)
            return self.grant(ask, lane, now_s)
        return self._enqueue(ask, lane, now_s)

    def withdraw(self, request_id: str) -> bool:
        """Take a request out of the queue whose asker has gone.

        Returns
        -------
        bool
            False if it did not wait.
        """
        return bool(self.queue.take(lambda item: item.ask.request_id == request_id))

    def pump(self, now_s: float) -> list[Granted | Denied]:
        """Decide on queued requests.

        Call it after each change: a release, a report, a passed second.

        Returns
        -------
        list of Granted or Denied
            Each queued request appears once in the life of the ledger.
        """
        decided: list[Granted | Denied] = list(self._displaced)
        self._displaced.clear()
        decided += self._admission.give_up(now_s)
        while (lane := self._admission.next_lane(now_s)) is not None:
            waiting = self.queue.pop(lane)
            decided.append(self.grant(waiting.ask, lane, now_s))
        return decided

    def _known(
        self, ask: GrantAsk, lane: Lane, now_s: float
    ) -> Granted | Queued | Denied | None:
        if ask.request_id in self.queue:
            return self._admission.queued(ask, lane)
        holding = self.holdings.of_request(ask.request_id)
        if holding is None:
            return None
        if holding.state is HoldingState.HELD:
            if now_s >= holding.expires_s:
                self._remove(holding, now_s)
                return None
            if holding.entry_id == ask.entry_id:
                return self.answer(holding)
        return denial(ask.request_id, DenialKind.ALREADY_RUNNING, not_run=False)

    def _enqueue(self, ask: GrantAsk, lane: Lane, now_s: float) -> Queued | Denied:
        if not ask.may_queue or self.queue.max_requests == 0:
            return self._admission.overloaded(ask, lane)
        if self.queue.full:
            displaced = self.queue.displace_for(ask)
            if displaced is None:
                return self._admission.overloaded(ask, lane)
            refused = self._admission.overloaded(displaced.ask, displaced.lane)
            self._displaced.append(refused)
        queued = self._admission.queued(ask, lane)
        self.queue.push(Waiting(ask, lane, now_s))
        return queued

    def load(self, now_s: float) -> LoadFigures:
        """Give the figures that ride on each grant and denial."""
        usage = self.usage
        wait_s = self._admission.expected_wait_s(Lane.SHORT)
        return LoadFigures(
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
        """Take new limits over; what runs goes on."""
        super().set_limits(limits)
        self.queue.max_requests = limits.max_queued_requests

    def _remove(self, holding: Holding, now_s: float) -> None:
        super()._remove(holding, now_s)
        self.rates.drained(now_s, waiting=len(self.queue) > 0)
        if holding.lane is Lane.ALONE:
            self._admission.alone_ended_s = now_s

    def dump(self) -> dict[str, object]:
        """Give the state as plain data, for the state dump."""
        return {**super().dump(), "queue": self.queue.dump()}
