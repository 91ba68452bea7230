"""Overload of a service as this gateway sees it, for refusals and their Retry-After."""

import logging

import attrs

from ..decisions.overload.fair_shares import FairShares, fair_shares
from ..decisions.overload.fleet_demand import ServiceLoad
from ..decisions.overload.kind_shares import KindClass, KindShares
from ..decisions.overload.own_work import WorkItem
from ..decisions.overload.parts import OverloadPart
from ..decisions.overload.refusal import (
    TimeLimits,
    is_unservable,
    overload_retry_after_s,
)
from ..decisions.overload.start_estimate import (
    Ahead,
    ServiceCapacity,
    StartEstimate,
    estimate_start,
    fleet_ahead,
    prefill_share,
)
from ..decisions.placement.demand import free_slots
from ..decisions.placement.long import min_first_event_ms
from ..decisions.routes import EngineCosts
from .state import GatewayState

logger = logging.getLogger(__name__)

MS_PER_S = 1000.0


UNRANKED = (False, False, 0)
"""Rank of requests while everything fits, or if the engines' rate isn't known."""

Rank = tuple[bool, bool, int]

VIEW_TTL_S = 0.01
"""Time for which the load of a service is not summed up again: less than the interval
between two reports. Under overload many requests are refused in it."""


@attrs.frozen
class _ServiceView:
    """Capacity of a service and the shares of its workspaces at one time."""

    capacity: ServiceCapacity
    shares: FairShares
    others: ServiceLoad
    taken_s: float


@attrs.frozen(kw_only=True)
class RankedRequest:
    """What decides the rank of a request under overload.

    Parameters
    ----------
    item : WorkItem
    kind_class : tuple
    priority : int
        0 is the highest.
    """

    item: WorkItem
    kind_class: KindClass
    priority: int = 0


class OverloadControl:
    """Estimates for the services whose engines' prefill rate beside streams is known.

    Parameters
    ----------
    state : GatewayState
    """

    def __init__(self, state: GatewayState) -> None:
        self._state = state
        self.kinds = KindShares()
        self._views: dict[str, _ServiceView] = {}

    def shares(self, service: str, now_s: float) -> FairShares:
        """Return the shares of the workspaces; unlimited while everything fits."""
        view = self._view(service, now_s)
        return view.shares if view else FairShares()

    def _view(self, service: str, now_s: float) -> _ServiceView | None:
        view = self._views.get(service)
        if view is not None and 0.0 <= now_s - view.taken_s < VIEW_TTL_S:
            return view
        capacity = self._capacity(service, now_s)
        if capacity is None:
            return None
        own = self._state.own_work.loads(self._state.loads.is_prefilling)
        others = self._state.fleet_demand.others(service, now_s)
        total = own.get(service, ServiceLoad()) + others
        shares = fair_shares(total, capacity.prefill_per_s)
        self._views[service] = _ServiceView(capacity, shares, others, now_s)
        return self._views[service]

    def shares_if_waiting(self, service: str, now_s: float) -> FairShares:
        """Return the shares, without computing them if nothing waits anywhere."""
        if self._state.own_work.waiting(service) or (
            self._state.fleet_demand.is_waiting(service, now_s)
        ):
            return self.shares(service, now_s)
        return FairShares()

    def rank(self, ranked: RankedRequest, shares: FairShares, now_s: float) -> Rank:
        """Return the rank of a request: workspaces below their share go first.

        Among them, classes below their minimum share, and then priorities.
        """
        if shares.level_ms == float("inf"):
            return UNRANKED
        parts = self._state.overload_parts
        return (
            OverloadPart.WORKSPACES in parts and shares.is_over(ranked.item.workspace),
            OverloadPart.KINDS in parts
            and not self.kinds.is_starved(ranked.kind_class, now_s),
            ranked.priority,
        )

    def estimate(
        self, item: WorkItem, slot_interval_s: float, now_s: float
    ) -> StartEstimate | None:
        """Return the shortest wait of a request.

        Returns
        -------
        StartEstimate or None
            None if the configuration doesn't allow an estimate.
        """
        view = self._view(item.service, now_s)
        if view is None:
            return None
        capacity = attrs.evolve(view.capacity, slot_interval_s=slot_interval_s)
        shares = view.shares
        gateways = self._state.gateway_count(now_s)
        others = view.others
        waiting = self._state.own_work.waiting(item.service)
        elsewhere = Ahead(requests=others.waiting, read_ms=others.waiting_read_ms)
        if OverloadPart.WORKSPACES in self._state.overload_parts and (
            not shares.is_over(item.workspace)
        ):
            # It goes before the workspaces that are over their share.
            waiting = [one for one in waiting if not shares.is_over(one.workspace)]
            below = [
                load
                for key, load in others.workspaces.items()
                if not shares.is_over(key)
            ]
            elsewhere = Ahead(
                requests=min(others.waiting, sum(load.waiting for load in below)),
                read_ms=min(
                    others.waiting_read_ms, sum(load.read_ms for load in below)
                ),
            )
        own = ((one.due_s, one.read_ms) for one in waiting)
        ahead = fleet_ahead(item.due_s, own, elsewhere, gateways)
        estimate = estimate_start(capacity, ahead, gateways)
        return attrs.evolve(
            estimate,
            prefill_s=max(
                estimate.prefill_s,
                shares.wait_s(item.workspace, capacity.prefill_per_s),
            ),
        )

    def is_unservable(
        self,
        request_id: str,
        item: WorkItem,
        deadline_left_s: float,
        queue_left_s: float,
        slot_interval_s: float,
        now_s: float,
    ) -> bool:
        """Return whether a request that finds no capacity is to be refused at once."""
        if OverloadPart.REFUSAL not in self._state.overload_parts:
            return False
        costs = self._costs(item.service)
        estimate = self.estimate(item, slot_interval_s, now_s)
        if costs is None or estimate is None:
            return False
        limits = TimeLimits(
            deadline_left_s=deadline_left_s,
            queue_left_s=queue_left_s,
            min_answer_s=min_first_event_ms(item.read_ms, costs) / MS_PER_S,
        )
        if not is_unservable(estimate, limits):
            return False
        self._state.early_refusals += 1
        logger.info(
            "can't start in time",
            extra={
                "event": "overload",
                "outcome": "refused",
                "request_id": request_id,
                "service": item.service,
                "prefill_wait_s": round(estimate.prefill_s, 3),
                "slot_wait_s": round(estimate.slot_s, 3),
                "deadline_left_s": round(deadline_left_s, 3),
                "queue_left_s": round(queue_left_s, 3),
            },
        )
        return True

    def retry_after_s(
        self,
        service: str,
        workspace: int,
        slot_interval_s: float,
        queue_s: float,
        deadline_left_s: float,
        now_s: float,
    ) -> tuple[bool, float | None]:
        """Return whether there is an estimate, and the Retry-After that follows.

        A caller that returns is behind all that waits now.
        """
        if OverloadPart.REFUSAL not in self._state.overload_parts:
            return False, None
        last = WorkItem(service=service, workspace=workspace, due_s=float("inf"))
        estimate = self.estimate(last, slot_interval_s, now_s)
        if estimate is None:
            return False, None
        return True, overload_retry_after_s(
            estimate.wait_s, queue_s, deadline_left_s, self._state.rng
        )

    def _costs(self, service: str) -> EngineCosts | None:
        """Return the costs of an engine; None if unknown, or needed by no part."""
        if self._state.overload_parts <= {OverloadPart.WITHDRAWAL}:
            return None
        table = self._state.table
        config = table.services.get(service) if table else None
        return config.engine if config else None

    def _capacity(self, service: str, now_s: float) -> ServiceCapacity | None:
        costs = self._costs(service)
        share = prefill_share(costs) if costs else None
        if costs is None or share is None:
            return None
        views = self._state.load_views(
            self._state.directory.usable(service, now_s), now_s
        )
        return ServiceCapacity(
            engines=len(views),
            prefill_share=share,
            placed_ms=sum(view.use.backlog_ms(now_s) for view in views),
            free_slots=sum(max(0, free_slots(view, costs)) for view in views),
        )
