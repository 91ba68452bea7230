"""Rate limits per workspace at one entry: requests per second, concurrent tokens.

Requests are limited by a token bucket whose capacity is this entry's share of the
burst and whose refill rate is its share of the rate; see `limits_share` for the
bound. While reports arrive, all E entries together admit at most
``burst + E + rate * T`` requests in any period of T seconds. The term E comes from
the minimum capacity of one request per bucket.

Concurrent tokens are drawn from an allowance that is renewed with each report:
this entry's share of the tokens that are free according to the last reports. The
sum of all allowances is at most the number of free tokens. Small shares must not
lock out a long prompt, so an entry may admit one request per report interval beyond
its allowance if the request fits into the free tokens. The limit is thus exceeded
by at most one such request per entry, and never if there is only one entry. Reports
that cross in transit add to this excess what an entry admitted since its last one.
"""

from collections.abc import Mapping, Sequence
from enum import StrEnum

import attrs
from returns.result import Failure, Result, Success

from .limits_share import Demand, DemandView

# Rounding errors must not refuse a request sent exactly after its Retry-After.
ROUNDING_TOLERANCE_REQUESTS = 1e-9
# The last report of an entry is discarded after this many missed ones.
MAX_MISSED_REPORTS = 3


@attrs.frozen
class WorkspaceLimit:
    """The limits of one workspace across all entries."""

    requests_per_s: float
    burst_requests: float
    concurrent_tokens: int


class LimitKind(StrEnum):
    """The reason why a request was refused."""

    REQUESTS = "requests_per_s"
    TOKENS = "concurrent_tokens"
    TOO_LARGE = "larger_than_the_limit"
    NO_WORKSPACE = "unknown_workspace"


@attrs.frozen
class Admission:
    """An admitted request; return its tokens with `WorkspaceLimits.release`."""

    workspace: str
    tokens: int


@attrs.frozen
class LimitRefusal:
    """The refusal of a request.

    Parameters
    ----------
    kind : LimitKind
    retry_after_s : float or None
        None if the request can never be admitted. Exact for requests per second;
        for concurrent tokens the time until the next report.
    """

    kind: LimitKind
    retry_after_s: float | None


@attrs.define
class _WorkspaceState:
    limit: WorkspaceLimit
    view: DemandView
    share: float
    requests: float
    refilled_s: float
    held_tokens: int = 0
    allowance_tokens: float = 0.0
    can_exceed_allowance: bool = True
    received_requests: int = 0

    def capacity(self) -> float:
        return max(1.0, self.limit.burst_requests * self.share)

    def refill(self, now_s: float) -> None:
        refilled_requests = max(0.0, now_s - self.refilled_s) * self.rate_per_s()
        self.requests = min(self.capacity(), self.requests + refilled_requests)
        self.refilled_s = max(self.refilled_s, now_s)

    def rate_per_s(self) -> float:
        return self.limit.requests_per_s * self.share

    def wait_s(self) -> float | None:
        missing = 1.0 - self.requests
        if missing <= ROUNDING_TOLERANCE_REQUESTS:
            return 0.0
        rate_per_s = self.rate_per_s()
        return missing / rate_per_s if rate_per_s > 0 else None

    def free_tokens(self, now_s: float) -> int:
        others = self.view.other_tokens(now_s)
        return max(0, self.limit.concurrent_tokens - self.held_tokens - others)


class WorkspaceLimits:
    """Enforce the limits of all workspaces at one entry.

    Parameters
    ----------
    entries : int
        Number of all entries, including this one.
    report_interval_s : float
        Interval at which `report` is called and its result sent to other entries.

    Examples
    --------
    >>> limits = WorkspaceLimits()
    >>> limits.set_limits({"desk": WorkspaceLimit(2.0, 1.0, 1000)}, now_s=0.0)
    >>> limits.admit("desk", 600, now_s=0.0)
    <Success: Admission(workspace='desk', tokens=600)>
    >>> limits.admit("desk", 100, now_s=0.25).failure().retry_after_s
    0.25
    """

    def __init__(self, entries: int = 1, report_interval_s: float = 1.0) -> None:
        self._entries = entries
        self._report_interval_s = report_interval_s
        self._reported_s: float | None = None
        self._states: dict[str, _WorkspaceState] = {}

    def set_limits(self, limits: Mapping[str, WorkspaceLimit], now_s: float) -> None:
        """Apply the limits of a configuration; running requests still count."""
        for name in [name for name in self._states if name not in limits]:
            del self._states[name]
        for name, limit in limits.items():
            known = self._states.get(name)
            if known is None:
                self._states[name] = self._new_state(limit, now_s)
            elif known.limit != limit:
                known.refill(now_s)
                known.limit = limit
                known.view.limit_per_s = limit.requests_per_s
                self._renew_allowance(known, now_s)

    def set_entries(self, entries: int, now_s: float) -> None:
        """Set the number of entries according to the membership."""
        if entries == self._entries:
            return
        self._entries = max(1, entries)
        for state in self._states.values():
            self._renew_allowance(state, now_s)

    def set_report_interval(self, report_interval_s: float) -> None:
        """Set the interval between reports, which is the same for all entries."""
        if report_interval_s == self._report_interval_s:
            return
        self._report_interval_s = report_interval_s
        for state in self._states.values():
            state.view.report_timeout_s = MAX_MISSED_REPORTS * report_interval_s

    def admit(
        self, workspace: str, tokens: int, now_s: float
    ) -> Result[Admission, LimitRefusal]:
        """Admit or refuse one request.

        Parameters
        ----------
        workspace : str
        tokens : int
            Tokens of the prompt plus the maximum output tokens.
        now_s : float

        Returns
        -------
        Result of Admission or LimitRefusal
        """
        state = self._states.get(workspace)
        if state is None:
            return Failure(LimitRefusal(LimitKind.NO_WORKSPACE, None))
        state.received_requests += 1
        state.refill(now_s)
        if tokens > state.limit.concurrent_tokens:
            return Failure(LimitRefusal(LimitKind.TOO_LARGE, None))
        wait_s = state.wait_s()
        if wait_s != 0.0:
            return Failure(LimitRefusal(LimitKind.REQUESTS, wait_s))
        if not self._take_tokens(state, tokens, now_s):
            retry_s = self._until_report_s(now_s)
            return Failure(LimitRefusal(LimitKind.TOKENS, retry_s))
        state.requests -= 1.0
        return Success(Admission(workspace, tokens))

    def release(self, admission: Admission) -> None:
        """Return the tokens of a finished request; call once per admission."""
        state = self._states.get(admission.workspace)
        if state is not None:
            state.held_tokens = max(0, state.held_tokens - admission.tokens)
            # Other entries count these tokens as held until the next report.
            state.allowance_tokens += admission.tokens

    def report(self, now_s: float) -> list[Demand]:
        """Return the report for the other entries, and renew the allowances."""
        last_s = self._reported_s
        interval_s = self._report_interval_s if last_s is None else now_s - last_s
        self._reported_s = now_s
        demands = []
        for name, state in self._states.items():
            received_per_s = state.received_requests / max(interval_s, 1e-3)
            state.received_requests = 0
            demand = Demand(name, received_per_s, state.held_tokens)
            state.view.record_own_report(demand)
            self._renew_allowance(state, now_s)
            demands.append(demand)
        return demands

    def record_peer_report(
        self, entry_id: str, demands: Sequence[Demand], now_s: float
    ) -> None:
        """Record the report of another entry."""
        for demand in demands:
            state = self._states.get(demand.workspace)
            if state is not None:
                state.view.record_report(entry_id, demand, now_s)
                state.refill(now_s)
                self._update_share(state, now_s)
                # A lower allowance applies at once; a higher one only with this
                # entry's next report.
                shared_free_tokens = state.share * state.free_tokens(now_s)
                state.allowance_tokens = min(state.allowance_tokens, shared_free_tokens)

    def dump(self) -> dict[str, object]:
        """Return the state as plain data for the state dump."""
        return {
            name: {
                "share": state.share,
                "bucket_requests": state.requests,
                "held_tokens": state.held_tokens,
                "allowance_tokens": state.allowance_tokens,
            }
            for name, state in self._states.items()
        }

    def _new_state(self, limit: WorkspaceLimit, now_s: float) -> _WorkspaceState:
        timeout_s = MAX_MISSED_REPORTS * self._report_interval_s
        view = DemandView(limit.requests_per_s, timeout_s)
        state = _WorkspaceState(
            limit, view, view.share(self._entries, now_s), 0.0, now_s
        )
        state.requests = state.capacity()
        self._renew_allowance(state, now_s)
        return state

    def _renew_allowance(self, state: _WorkspaceState, now_s: float) -> None:
        state.refill(now_s)
        self._update_share(state, now_s)
        state.allowance_tokens = state.share * state.free_tokens(now_s)
        state.can_exceed_allowance = True

    def _update_share(self, state: _WorkspaceState, now_s: float) -> None:
        state.share = state.view.share(self._entries, now_s)
        state.requests = min(state.requests, state.capacity())

    def _take_tokens(self, state: _WorkspaceState, tokens: int, now_s: float) -> bool:
        if tokens > state.allowance_tokens:
            if not state.can_exceed_allowance or tokens > state.free_tokens(now_s):
                return False
            state.can_exceed_allowance = False
        state.allowance_tokens = max(0.0, state.allowance_tokens - tokens)
        state.held_tokens += tokens
        return True

    def _until_report_s(self, now_s: float) -> float:
        if self._reported_s is None:
            return self._report_interval_s
        passed_s = now_s - self._reported_s
        return min(
            self._report_interval_s, max(0.05, self._report_interval_s - passed_s)
        )
