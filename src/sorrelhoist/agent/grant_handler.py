"""Handles the grant requests of entries."""

from collections.abc import AsyncIterator, Callable

import attrs

from ..decisions.grants import AdmissionRequest, Denied, Granted, Queued
from ..exceptions import KeyReusedError
from ..messages.gen import ttypes
from ..node.metrics import AgentMetrics
from .admission_waiters import AdmissionWaiters
from .ledger_messages import MS_PER_S, denial_message, grant_message
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
class GrantedRequest:
    """A grant and the request that it was issued for."""

    request: ttypes.GrantRequest
    granted: Granted


@attrs.define(eq=False)
class GrantHandler:
    """Issues grants and stores the request of each until its grant ends or expires.

    Parameters
    ----------
    admission : AdmissionWaiters
    runs : RunTable
    metrics : AgentMetrics
    load : callable
        Returns the load report that is attached to every response.
    is_suspected : callable
        Returns whether the prompt with a fingerprint must run alone.
    clock : callable
        Monotonic time in seconds.
    """

    admission: AdmissionWaiters
    runs: RunTable
    metrics: AgentMetrics
    load: Callable[[], ttypes.Load]
    is_suspected: Callable[[int], bool]
    clock: Callable[[], float]
    _granted_requests: dict[str, GrantedRequest] = attrs.field(init=False, factory=dict)

    def get(self, grant_id: str) -> GrantedRequest | None:
        """Return a grant with its request, or None if it is unknown."""
        return self._granted_requests.get(grant_id)

    def forget(self, grant_id: str) -> None:
        """Forget a grant that is used up or was released."""
        self._granted_requests.pop(grant_id, None)

    def forget_expired(self) -> None:
        """Forget the grants that the ledger no longer holds."""
        holdings = self.admission.ledger.holdings
        expired = [
            name for name in self._granted_requests if holdings.get(name) is None
        ]
        for grant_id in expired:
            self.forget(grant_id)

    async def answers(self, request: ttypes.GrantRequest) -> AsyncIterator[object]:
        """Yield the responses to a request, up to the admission decision.

        Parameters
        ----------
        request : GrantRequest

        Yields
        ------
        Queued, Grant or Denial
            The last item is the decision.
        """
        denial = self._duplicate_denial(request)
        if denial is not None:
            yield denial
            return
        async for answer in self.admission.decide(self._admission_request(request)):
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
                self._granted_requests[answer.grant_id] = GrantedRequest(
                    request, answer
                )
                self.metrics.grants.add(1)
                return grant_message(answer, self.load())
            case Denied():
                self.metrics.denials.add(1, {"kind": answer.kind.value})
                return denial_message(answer, self.load())

    def _duplicate_denial(self, request: ttypes.GrantRequest) -> ttypes.Denial | None:
        if request.group_id:
            return None
        run = self._unfailed_run(request.request_id)
        if run is not None:
            is_same = run.fingerprint in (None, request.fingerprint)
            return _EXISTS if is_same else _KEY_REUSED
        return _KEY_REUSED if self._is_held_for_another(request) else None

    def _unfailed_run(self, request_id: str) -> Run | None:
        run = self.runs.get(request_id)
        if run is None or isinstance(run.outcome, RunFailure):
            return None
        return run

    def _is_held_for_another(self, request: ttypes.GrantRequest) -> bool:
        """Return whether the request id has a grant for a different prompt."""
        return any(
            granted_request.request.request_id == request.request_id
            and granted_request.request.fingerprint != request.fingerprint
            for granted_request in self._granted_requests.values()
        )

    def _admission_request(self, request: ttypes.GrantRequest) -> AdmissionRequest:
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
