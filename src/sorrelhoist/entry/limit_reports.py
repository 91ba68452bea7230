"""Enforce workspace limits across entries by exchanging demand reports.

Each entry reports the demand of its workspaces to every other entry. The report
interval grows with the number of entries, so that the cost per entry stays constant.
"""

import asyncio
import logging
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import attrs
from returns.result import Failure, Success

from ..decisions.configuration_set import Configuration
from ..decisions.limits import (
    Admission,
    LimitKind,
    LimitRefusal,
    WorkspaceLimit,
    WorkspaceLimits,
)
from ..decisions.limits_share import Demand
from ..decisions.membership_records import Member
from ..exceptions import InvalidRequestError, LimitExceededError, PeerError
from ..messages.gen import ttypes
from ..node.peers import PeerAddress, PeerPool

logger = logging.getLogger(__name__)

MIN_REPORT_INTERVAL_S = 1.0
REPORT_INTERVAL_PER_ENTRY_S = 0.15
ROLE_ENTRY = "entry"


def report_interval_s(entries: int) -> float:
    """Return the interval between two reports of one entry, in seconds.

    Examples
    --------
    >>> report_interval_s(2), report_interval_s(360)
    (1.0, 54.0)
    """
    return max(MIN_REPORT_INTERVAL_S, entries * REPORT_INTERVAL_PER_ENTRY_S)


@attrs.define(eq=False)
class WorkspaceLimiter:
    """Enforce the workspace limits at this entry and exchange demand with the others.

    Parameters
    ----------
    node_id : str
    pool : PeerPool
    others : callable
        Returns the other members.
    clock : callable
        Monotonic seconds.
    """

    node_id: str
    pool: PeerPool
    others: Callable[[], list[Member]]
    clock: Callable[[], float]
    limits: WorkspaceLimits = attrs.field(factory=WorkspaceLimits)

    def configure(self, configuration: Configuration) -> None:
        """Apply the limits of a new configuration."""
        limits = {
            workspace.name: WorkspaceLimit(
                workspace.requests_per_s,
                workspace.burst_requests,
                workspace.concurrent_tokens,
            )
            for workspace in configuration.workspaces.values()
        }
        self.limits.set_limits(limits, self.clock())

    @contextmanager
    def admitted(self, workspace: str, tokens: int) -> Iterator[None]:
        """Count a request against the workspace's limits while the context is open.

        Raises
        ------
        LimitExceededError
            If the request would take the workspace over a limit now.
        InvalidRequestError
            If the request alone exceeds the limit on concurrent tokens.
        """
        admission = self._admit(workspace, tokens)
        try:
            yield
        finally:
            self.limits.release(admission)

    def _admit(self, workspace: str, tokens: int) -> Admission:
        match self.limits.admit(workspace, tokens, self.clock()):
            case Success(admission):
                return admission
            case Failure(LimitRefusal(kind=LimitKind.TOO_LARGE)):
                raise InvalidRequestError(
                    f"The request takes {tokens} tokens, more than the workspace "
                    "may hold at once.",
                    "Send a shorter prompt, or ask an operator for a higher limit.",
                    not_run=True,
                )
            case Failure(refusal):
                raise LimitExceededError(
                    f"The workspace is over its limit of {refusal.kind.value}.",
                    not_run=True,
                    retry_after_s=refusal.retry_after_s,
                )
        raise AssertionError("a result is a success or a failure")

    async def run(self) -> None:
        """Send demand reports until cancelled."""
        while True:
            entries = [m for m in self.others() if m.role == ROLE_ENTRY]
            count = len(entries) + 1
            interval_s = report_interval_s(count)
            self.limits.set_report_interval(interval_s)
            await asyncio.sleep(interval_s)
            self.limits.set_entries(count, self.clock())
            report = self._report()
            await asyncio.gather(*(self._exchange(m, report) for m in entries))

    def _report(self) -> ttypes.DemandReport:
        demands = [
            ttypes.Demand(
                workspace=demand.workspace,
                requests_per_s=demand.requests_per_s,
                held_tokens=demand.tokens,
            )
            for demand in self.limits.report(self.clock())
            if demand.tokens or demand.requests_per_s
        ]
        return ttypes.DemandReport(entry_id=self.node_id, demands=demands)

    async def _exchange(self, member: Member, report: ttypes.DemandReport) -> None:
        address = PeerAddress(member.address, member.peer_port)
        try:
            await self.pool.call(address, report, MIN_REPORT_INTERVAL_S)
        except PeerError as error:
            logger.debug(
                "peer did not acknowledge the demand report",
                extra={"error": error.message},
            )

    def record_peer_report(self, report: ttypes.DemandReport) -> ttypes.DemandHeard:
        """Record the demand report of another entry."""
        demands = [
            Demand(demand.workspace, demand.requests_per_s, demand.held_tokens)
            for demand in report.demands
        ]
        self.limits.record_peer_report(report.entry_id, demands, self.clock())
        return ttypes.DemandHeard()
