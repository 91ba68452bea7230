"""Limits per workspace at one entry: requests per second and concurrent tokens.

Requests take from a token bucket that holds this entry's share of the burst and
refills at its share of the rate; see `limits_share` for the bound. Over any
period of T seconds all entries together admit at most ``burst + E + rate * T``
requests while the reports arrive: E, because each bucket holds at least one.

Concurrent tokens are spent from an allowance that each report renews: this
entry's share of what is free by the last reports. The allowances together are at
most what is free. So that a long prompt isn't locked out by small shares, an
entry may admit one request per report interval beyond its allowance, if it fits
into what is free: the excess is at most E - 1 such requests, until the next
reports.
"""

from collections.abc import Mapping, Sequence
from enum import StrEnum

import attrs
from returns.result import Failure, Result, Success

from .limits_share import Demand, DemandView

# Rounding must not refuse a request that comes exactly after its Retry-After.
ROUNDING_REQUESTS = 1e-9
# An entry that was silent for so many reports isn't counted on.
REPORTS_MISSED = 3


@attrs.frozen
class WorkspaceLimit:
    """The limits of one workspace, over all entries."""

    requests_per_s: float
    burst_requests: float
    concurrent_tokens: int


class LimitKind(StrEnum):
    """What a request ran into."""

    REQUESTS = "requests_per_s"
    TOKENS = "concurrent_tokens"
    TOO_LARGE = "larger_than_the_limit"
    NO_WORKSPACE = "unknown_workspace"


@attrs.frozen
class Admission:
    """A request that was let in; give it back with `WorkspaceLimits.release`."""

    workspace: str
    tokens: int


@attrs.frozen
class LimitRefusal:
    """A request that wasn't.

    Parameters
    ----------
    kind : LimitKind
    retry_after_s : float or None
        None when it can't be admitted at any time. Exact for requests per
        second; for concurrent tokens the time of the next report.
    """

    kind: LimitKind
    retry_after_s: float | None


@attrs.define
class _State:
    limit: WorkspaceLimit
    view: DemandView
    share: float
    requests: float
    filled_s: float
    held_tokens: int = 0
    allowance_tokens: float = 0.0
    may_exceed: bool = True
    asked_requests: int = 0

    def capacity(self) -> float:
        return max(1.0, self.limit.burst_requests * self.share)

    def fill(self, now_s: float) -> None:
        gained = max(0.0, now_s - self.filled_s) * self.rate_per_s()
        self.requests = min(self.capacity(), self.requests + gained)
        self.filled_s = max(self.filled_s, now_s)

    def rate_per_s(self) -> float:
        return self.limit.requests_per_s * self.share

    def wait_s(self) -> float | None:
        missing = 1.0 - self.requests
        if missing <= ROUNDING_REQUESTS:
            return 0.0
        rate_per_s = self.rate_per_s()
        return missing / rate_per_s if rate_per_s > 0 else None

    def free_tokens(self, now_s: float) -> int:
        others = self.view.other_tokens(now_s)
        return max(0, self.limit.concurrent_tokens - self.held_tokens - others)


class WorkspaceLimits:
    """The limits of all workspaces at one entry.

    Parameters
    ----------
    entries : int
        Count of all entries, this one included.
    report_interval_s : float
        How often `report` is called and sent to the other entries.

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
        self._states: dict[str, _State] = {}

    def set_limits(self, limits: Mapping[str, WorkspaceLimit], now_s: float) -> None:
        """Take the limits from the configuration; running requests still count."""
        for name in [name for name in self._states if name not in limits]:
            del self._states[name]
        for name, limit in limits.items():
            known = self._states.get(name)
            if known is None:
                self._states[name] = self._new_state(limit, now_s)
            elif known.limit != limit:
                known.fill(now_s)
                known.limit = limit
                known.view.limit_per_s = limit.requests_per_s
                self._renew(known, now_s)

    def set_entries(self, entries: int, now_s: float) -> None:
        """Take the count of entries from the membership."""
        if entries == self._entries:
            return
        self._entries = max(1, entries)
        for state in self._states.values():
            self._renew(state, now_s)

    def set_report_interval(self, report_interval_s: float) -> None:
        """Take the time between two reports, for all entries the same."""
        if report_interval_s == self._report_interval_s:
            return
        self._report_interval_s = report_interval_s
        for state in self._states.values():
            state.view.report_timeout_s = REPORTS_MISSED * report_interval_s

    def admit(
        self, workspace: str, tokens: int, now_s: float
    ) -> Result[Admission, LimitRefusal]:
        """Decide on one request.

        Parameters
        ----------
        workspace : str
        tokens : int
            Of the prompt and the longest answer.
        now_s : float

        Returns
        -------
        Result of Admission or LimitRefusal
        """
        state = self._states.get(workspace)
        if state is None:
            return Failure(LimitRefusal(LimitKind.NO_WORKSPACE, None))
        state.asked_requests += 1
        state.fill(now_s)
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
        """Give the tokens of a finished request back, once."""
        state = self._states.get(admission.workspace)
        if state is not None:
            state.held_tokens = max(0, state.held_tokens - admission.tokens)
            # The others count these tokens as held until the next report.
            state.allowance_tokens += admission.tokens

    def report(self, now_s: float) -> list[Demand]:
        """Return what to tell the other entries, and renew the allowances."""
        last_s = self._reported_s
        interval_s = self._report_interval_s if last_s is None else now_s - last_s
        self._reported_s = now_s
        demands = []
        for name, state in self._states.items():
            asked_per_s = state.asked_requests / max(interval_s, 1e-3)
            state.asked_requests = 0
            demand = Demand(name, asked_per_s, state.held_tokens)
            state.view.report_own(demand)
            self._renew(state, now_s)
            demands.append(demand)
        return demands

    def hear(self, entry_id: str, demands: Sequence[Demand], now_s: float) -> None:
        """Take in the report of another entry."""
        for demand in demands:
            state = self._states.get(demand.workspace)
            if state is not None:
                state.view.hear(entry_id, demand, now_s)
                state.fill(now_s)
                self._reshare(state, now_s)
                # Lowered at once, raised only by the own next report.
                fair_tokens = state.share * state.free_tokens(now_s)
                state.allowance_tokens = min(state.allowance_tokens, fair_tokens)

    def dump(self) -> dict[str, object]:
        """Return plain data for the state dump."""
        return {
            name: {
                "share": state.share,
                "bucket_requests": state.requests,
                "held_tokens": state.held_tokens,
                "allowance_tokens": state.allowance_tokens,
            }
            for name, state in self._states.items()
        }

    def _new_state(self, limit: WorkspaceLimit, now_s: float) -> _State:
        timeout_s = REPORTS_MISSED * self._report_interval_s
        view = DemandView(limit.requests_per_s, timeout_s)
        state = _State(limit, view, view.share(self._entries, now_s), 0.0, now_s)
        state.requests = state.capacity()
        self._renew(state, now_s)
        return state

    def _renew(self, state: _State, now_s: float) -> None:
        state.fill(now_s)
        self._reshare(state, now_s)
        state.allowance_tokens = state.share * state.free_tokens(now_s)
        state.may_exceed = True

    def _reshare(self, state: _State, now_s: float) -> None:
        state.share = state.view.share(self._entries, now_s)
        state.requests = min(state.requests, state.capacity())

    def _take_tokens(self, state: _State, tokens: int, now_s: float) -> bool:
        if tokens > state.allowance_tokens:
            if not state.may_exceed or tokens > state.free_tokens(now_s):
                return False
            state.may_exceed = False
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
