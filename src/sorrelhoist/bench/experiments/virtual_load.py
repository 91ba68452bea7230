"""Model of callers in virtual time, in front of a grant ledger and an engine."""

import heapq
import random
from collections.abc import Iterable

import attrs
from returns.result import Failure

from ...decisions.grants import (
    AdmissionRequest,
    Completed,
    Denied,
    EndpointObservation,
    Granted,
    Queued,
)
from ...decisions.ledger import GrantLedger
from ...decisions.retry_after import (
    Backlog,
    BacklogBased,
    Constant,
    RetryAfterPolicy,
    retry_after_s,
)
from .virtual_endpoint import Job, VirtualEngine

REPORT_S = 1.0
REPORT_LAG_S = 1.0


@attrs.define
class Caller:
    """One request, with its refusals and its outcome over all attempts."""

    number: int
    arrival_s: float
    prompt_tokens: int
    output_tokens: int
    workspace: str = "w"
    refusals: int = 0
    first_token_s: float | None = None
    finished_s: float | None = None


def poisson(
    rng: random.Random, per_s: float, from_s: float, until_s: float
) -> list[float]:
    """Draw the arrival times of a Poisson process."""
    times = []
    now_s = from_s
    while (now_s := now_s + rng.expovariate(per_s)) < until_s:
        times.append(now_s)
    return times


@attrs.define
class VirtualLoad:
    """Callers that request admission, wait, are refused and retry.

    Parameters
    ----------
    ledger : GrantLedger
        The decisions under test.
    engine : VirtualEngine
        Runs the granted requests.
    callers : list of Caller
        All requests of the run.
    rng : random.Random
        Source of jitter in the retries.
    advice : RetryAfterPolicy
        Policy for the delay before a refused caller retries.
    budget_s : float
        Deadline of each attempt, counted from its start.
    patience_s : float
        Time from its arrival after which a caller stops retrying.
    """

    ledger: GrantLedger
    engine: VirtualEngine
    callers: list[Caller]
    rng: random.Random
    advice: RetryAfterPolicy = Constant(1.0)
    budget_s: float = 30.0
    patience_s: float = 30.0
    now_s: float = 0.0
    full_speed_s: float | None = None
    _attempt: int = 0
    _due: list[tuple[float, int]] = attrs.field(init=False)
    _pending_callers: dict[str, Caller] = attrs.field(factory=dict)
    _next_report_s: float = 0.0

    def __attrs_post_init__(self) -> None:
        self._due = [(caller.arrival_s, caller.number) for caller in self.callers]
        heapq.heapify(self._due)

    def run(self, until_s: float) -> None:
        """Run until a virtual time."""
        while self.now_s < until_s:
            self._report()
            while self._due and self._due[0][0] <= self.now_s:
                self._request_admission(self.callers[heapq.heappop(self._due)[1]])
            self._apply_decisions(self.ledger.pump(self.now_s))
            if self.engine.jobs:
                self._step()
            else:
                due_s = self._due[0][0] if self._due else until_s
                self.now_s = max(self.now_s, min(due_s, self._next_report_s, until_s))

    def _report(self) -> None:
        if self.now_s < self._next_report_s:
            return
        self._next_report_s = self.now_s + REPORT_S
        if self.now_s < self.engine.down_until_s + REPORT_LAG_S:
            return
        report = EndpointObservation(
            boot_id=str(self.engine.boot),
            is_cold=False,
            report_age_s=REPORT_LAG_S,
        )
        self.ledger.observe(report, self.now_s)

    def _request_admission(self, caller: Caller) -> None:
        self._attempt += 1
        request = AdmissionRequest(
            request_id=str(self._attempt),
            workspace=caller.workspace,
            entry_id="e",
            prompt_tokens=caller.prompt_tokens,
            output_tokens=caller.output_tokens,
            deadline_s=self.now_s + self.budget_s,
        )
        self._pending_callers[request.request_id] = caller
        answer = self.ledger.request(request, self.now_s)
        if not isinstance(answer, Queued):
            self._apply_decisions([answer])

    def _apply_decisions(self, answers: Iterable[Granted | Denied]) -> None:
        for answer in answers:
            caller = self._pending_callers.pop(answer.request_id)
            match answer:
                case Granted():
                    self._start(answer, caller)
                case Denied():
                    self._refused(answer, caller)

    def _refused(self, denied: Denied, caller: Caller) -> None:
        caller.refusals += 1
        match self.advice:
            case BacklogBased():
                delay_s = denied.retry_after_s
            case advice:
                backlog = Backlog(
                    position=0, drain_interval_s=0.0, attempt=caller.refusals - 1
                )
                delay_s = retry_after_s(advice, backlog, self.rng)
        self._schedule_retry(caller, delay_s)

    def _schedule_retry(self, caller: Caller, delay_s: float) -> None:
        at_s = self.now_s + delay_s
        if at_s <= caller.arrival_s + self.patience_s:
            heapq.heappush(self._due, (at_s, caller.number))

    def _start(self, granted: Granted, caller: Caller) -> None:
        if isinstance(self.ledger.submitted(granted.grant_id, self.now_s), Failure):
            self._schedule_retry(caller, REPORT_S)
            return
        job = Job(
            granted.grant_id,
            caller.number,
            granted.lane.priority,
            caller.prompt_tokens,
            caller.output_tokens,
            work_tokens=granted.kv_tokens,
        )
        lost = self.engine.start(job, self.now_s)
        if lost:
            self.ledger.unreachable(self.now_s)
        for gone in lost:
            self.callers[gone.number].first_token_s = None
            self._schedule_retry(self.callers[gone.number], REPORT_S)

    def _step(self) -> None:
        step = self.engine.step()
        self.now_s += step.elapsed_s
        for job in step.first_tokens:
            self.callers[job.number].first_token_s = self.now_s
            self.ledger.first_token(job.grant_id, self.now_s)
        for job in step.finished:
            self.callers[job.number].finished_s = self.now_s
            self.ledger.release(job.grant_id, self.now_s, Completed())
        is_full = len(self.engine.jobs) >= self.engine.full_requests - 1
        if is_full and self.engine.warmth == 1.0 and self.full_speed_s is None:
            self.full_speed_s = self.now_s
