"""Answer the entries that ask for grants."""

from collections.abc import AsyncIterator, Callable

import attrs

from ..decisions.grants import AdmissionRequest, Denied, Granted, Queued
from ..exceptions import KeyReusedError
from ..messages.gen import ttypes
from ..node.metrics import AgentMetrics
from .gatekeeper import Gatekeeper
from .loads import MS_PER_S, denial_message, grant_message
from .runs import Run, RunFailure, RunTable

_KEY_REUSED = ttypes.Denial(
    kind=KeyReusedError.kind,
    message="The idempotency key came with another body before.",
    remedy=KeyReusedError.default_remedy,
    not_run=True,
    retry_after_ms=0,
)
_EXISTS = ttypes.Denial(kind="exists", not_run=False, retry_after_ms=0)


@attrs.frozen
class Accepted:
    """What was asked when a grant was given."""

    request: ttypes.GrantRequest
    granted: Granted


@attrs.define(eq=False)
class GrantAnswers:
    """The grants that were given and what was asked for them.

    Parameters
    ----------
    gatekeeper : Gatekeeper
    runs : RunTable
    metrics : AgentMetrics
    load : callable
        Returns the load that rides on every answer.
    is_suspected : callable
        Tells whether a fingerprint must run alone.
    clock : callable
        Monotonic seconds.
    """

    gatekeeper: Gatekeeper
    runs: RunTable
    metrics: AgentMetrics
    load: Callable[[], ttypes.Load]
    is_suspected: Callable[[int], bool]
    clock: Callable[[], float]
    _accepted: dict[str, Accepted] = attrs.field(init=False, factory=dict)

    def get(self, grant_id: str) -> Accepted | None:
        """Return what was asked for a grant."""
        return self._accepted.get(grant_id)

    def forget(self, grant_id: str) -> None:
        """Drop a grant that is used up or given back."""
        self._accepted.pop(grant_id, None)

    def forget_lapsed(self) -> None:
        """Drop the grants that the ledger no longer holds."""
        holdings = self.gatekeeper.ledger.holdings
        lapsed = [name for name in self._accepted if holdings.get(name) is None]
        for grant_id in lapsed:
            self.forget(grant_id)

    async def answers(self, request: ttypes.GrantRequest) -> AsyncIterator[object]:
        """Decide on a request, at once or from the queue.

        Parameters
        ----------
        request : GrantRequest

        Yields
        ------
        Queued, Grant or Denial
            The last is the decision.
        """
        known = self._known(request)
        if known is not None:
            yield known
            return
        async for answer in self.gatekeeper.decide(self._ask(request)):
            yield self._message(request, answer)

    def _message(
        self, request: ttypes.GrantRequest, answer: Queued | Granted | Denied
    ) -> object:
        match answer:
            case Queued(expected_wait_s=wait_s):
                return ttypes.Queued(
                    request_id=request.request_id,
                    queue_delay_ms=int(wait_s * MS_PER_S),
                )
            case Granted():
                self._accepted[answer.grant_id] = Accepted(request, answer)
                self.metrics.grants.add(1)
                return grant_message(answer, self.load())
            case Denied():
                self.metrics.denials.add(1, {"kind": answer.kind.value})
                return denial_message(answer, self.load())

    def _known(self, request: ttypes.GrantRequest) -> ttypes.Denial | None:
        if request.group_id:
            return None
        run = self._usable_run(request.request_id)
        if run is not None:
            is_same = run.fingerprint in (None, request.fingerprint)
            return _EXISTS if is_same else _KEY_REUSED
        return _KEY_REUSED if self._is_held_for_another(request) else None

    def _usable_run(self, request_id: str) -> Run | None:
        run = self.runs.get(request_id)
        if run is None or isinstance(run.outcome, RunFailure):
            return None
        return run

    def _is_held_for_another(self, request: ttypes.GrantRequest) -> bool:
        """Tell whether the id has a grant for another prompt."""
        return any(
            accepted.request.request_id == request.request_id
            and accepted.request.fingerprint != request.fingerprint
            for accepted in self._accepted.values()
        )

    def _ask(self, request: ttypes.GrantRequest) -> AdmissionRequest:
        suspected = request.suspected or self.is_suspected(request.fingerprint)
        return AdmissionRequest(
            request_id=request.request_id,
            workspace=request.workspace,
            entry_id=request.entry_id,
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.output_tokens,
            deadline_s=self.clock() + request.budget_ms / MS_PER_S,
            weight=request.weight,
            delivered_tokens=request.delivered_tokens,
            kv_share_tokens=request.kv_share_tokens or None,
            alone=bool(suspected),
        )
