"""Placement of requests on endpoints, with a queue for those that find no capacity."""

import asyncio
import logging
import time
from collections.abc import Sequence

import attrs

from ..decisions.drain_rate import DrainRate
from ..decisions.overload.fleet_demand import workspace_hash
from ..decisions.overload.own_work import WorkItem
from ..decisions.placement.demand import (
    Assignment,
    Busy,
    Demand,
    EndpointView,
    Impossible,
    Placement,
    first_kv_tokens,
    request_uses,
)
from ..decisions.placement.load_tracker import RequestUse
from ..decisions.placement.locality import (
    EVENT_BYTES,
    SHORT_READ_MS,
    LocatedRequest,
    Placer,
    RequestKind,
    regards_domains,
)
from ..decisions.placement.memory_grants import needs_grant, usable_tokens
from ..decisions.placement.pauses import is_tight
from ..decisions.placement.queue import PendingPlacement, PlacementQueue
from ..decisions.placement.strategy import place_prompt
from ..decisions.retry_after import Backlog, BacklogBased, retry_after_s
from ..decisions.routes import EngineCosts, Route, Workspace
from .overload import OverloadControl, RankedRequest
from .ports import CallerRequest, PromptSize
from .state import GatewayState

logger = logging.getLogger(__name__)

RETRY_INTERVAL_S = 0.02
"""Interval between attempts to place queued requests: shorter than one engine pass."""

PROMPT_WAIT_SHARE = 0.8
"""Fraction of its objective for which a prompt may wait for placement."""

CALL_WAIT_SHARE = 0.5
"""Fraction of its objective for which a request without a prompt may wait."""

RETRY_AFTER_POLICY = BacklogBased(jitter=1.0)
"""The jitter spreads retries over up to twice the drain time of the queue, so that
callers don't all return together."""

MAX_LAST_ASKS = 2
"""Number of asks for memory that may be denied after the time for which a prompt may
wait."""

DEFAULT_PROMPT_SIZE = PromptSize(prompt_tokens=1000, output_tokens=200)
"""Assumed for callers that don't declare the size of their prompt."""


@attrs.frozen(kw_only=True)
class PlacementRequest:
    """A request to be placed on an endpoint.

    Parameters
    ----------
    request : CallerRequest
    route : Route
    service : str
    objective_due_s : float
        Time after which its objective is missed.
    deadline_s : float
        Time after which an answer is useless.
    excluded : frozenset of str
        Ids of endpoints that already failed this request.
    has_begun : bool
        Whether the caller has received a part of the answer.
    workspace : Workspace or None
    """

    request: CallerRequest
    route: Route
    service: str
    objective_due_s: float
    deadline_s: float
    excluded: frozenset[str] = frozenset()
    has_begun: bool = False
    workspace: Workspace | None = None


Lane = tuple[str, bool, int]


@attrs.frozen
class Proposal:
    """An assignment that needs memory of its first endpoint to be granted.

    Until then it is counted in the loads of this gateway, so that the prompts behind it
    in the queue go elsewhere.

    Parameters
    ----------
    request_id : str
    assignment : Assignment
    demand : Demand
    costs : EngineCosts
    """

    request_id: str
    assignment: Assignment
    demand: Demand
    costs: EngineCosts


def _lane(placement_request: PlacementRequest, costs: EngineCosts | None) -> Lane:
    """Return the lane of the queue within which the earliest due time goes first.

    Prompts of different sizes have different lanes: one that finds no capacity blocks
    those of its size behind it, but not smaller ones.
    """
    size = placement_request.request.size or DEFAULT_PROMPT_SIZE
    return (
        placement_request.service,
        is_tight(placement_request.route.pause_s, costs),
        size.prompt_tokens.bit_length(),
    )


class Dispatcher:
    """Place requests, and queue those that find no capacity.

    Parameters
    ----------
    state : GatewayState
    """

    def __init__(self, state: GatewayState) -> None:
        self._state = state
        self._queue = PlacementQueue()
        self._overload = OverloadControl(state)
        self._drains: dict[str, DrainRate] = {}
        self._slot_ends: dict[str, DrainRate] = {}
        self._pending: dict[
            PendingPlacement,
            tuple[PlacementRequest, asyncio.Future[Placement | Proposal]],
        ] = {}
        self._ranked: dict[PendingPlacement, RankedRequest] = {}
        self._timer: asyncio.TimerHandle | None = None

    async def place(
        self, placement_request: PlacementRequest, now_s: float
    ) -> Placement:
        """Place a request, waiting in the queue for a bounded time if necessary.

        Parameters
        ----------
        placement_request : PlacementRequest
        now_s : float

        Returns
        -------
        Assignment, Busy or Impossible
            An `Assignment` is counted in the load tracker until the caller of this
            method releases it there.
        """
        waiting = self._create_pending(placement_request, now_s)
        ranked = self._ranked_request(placement_request)
        loop = asyncio.get_running_loop()
        denied: frozenset[str] = frozenset()
        asks_left = MAX_LAST_ASKS
        while True:
            found = await self._find(
                self._without(placement_request, denied, now_s), waiting, ranked, now_s
            )
            if not isinstance(found, Proposal):
                return found
            next_s = loop.time() + RETRY_INTERVAL_S
            if await self._is_granted(found):
                self._confirm(placement_request, found, loop.time())
                self._record_outcome(ranked, found.assignment, loop.time())
                return found.assignment
            # A denial by this gateway itself takes no time: others run meanwhile.
            await asyncio.sleep(max(0.0, next_s - loop.time()))
            now_s = loop.time()
            asks_left -= now_s >= waiting.give_up_s
            if not asks_left:
                self._record_outcome(ranked, Busy(), now_s)
                return Busy("no endpoint's memory was granted")
            denied = frozenset({found.assignment.first.endpoint_id})

    def _without(
        self, placement_request: PlacementRequest, denied: frozenset[str], now_s: float
    ) -> PlacementRequest:
        """Leave out endpoints whose memory was denied, unless there is no other."""
        excluded = placement_request.excluded | denied
        service = placement_request.service
        if not self._state.has_alternative(service, set(excluded), now_s):
            return placement_request
        return attrs.evolve(placement_request, excluded=excluded)

    async def _find(
        self,
        placement_request: PlacementRequest,
        waiting: PendingPlacement,
        ranked: RankedRequest,
        now_s: float,
    ) -> Placement | Proposal:
        """Find a place for a request now, or when its turn in the queue comes."""
        item = ranked.item
        shares = self._overload.shares_if_waiting(item.service, now_s)
        waiting.rank = self._overload.rank(ranked, shares, now_s)
        if not self._queue.would_overtake(waiting):
            found = self._try_place(
                placement_request, now_s, may_be_late=now_s >= waiting.late_from_s
            )
            if not isinstance(found, Busy):
                if not isinstance(found, Proposal):
                    self._record_outcome(ranked, found, now_s)
                return found
        pause_s = self._state.pause_left_s(placement_request.service, now_s) or 0.0
        if waiting.give_up_s <= now_s + pause_s:
            self._record_outcome(ranked, Busy(), now_s)
            return Busy()
        if not placement_request.has_begun and self._overload.is_unservable(
            waiting.request_id,
            item,
            placement_request.deadline_s - now_s,
            waiting.give_up_s - now_s,
            self._slot_interval_s(item.service),
            now_s,
        ):
            self._record_outcome(ranked, Busy(), now_s)
            return Busy("can't start before its time is over")
        future = asyncio.get_running_loop().create_future()
        self._pending[waiting] = (placement_request, future)
        self._ranked[waiting] = ranked
        self._queue.push(waiting)
        self._state.own_work.waits(waiting.request_id, item)
        self._schedule_retry()
        try:
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                # It was placed just before its caller disconnected.
                self._state.release(placement_request.request.request_id)
            raise
        finally:
            self._queue.remove(waiting)
            self._state.own_work.stops_waiting(waiting.request_id)
            del self._pending[waiting]
            del self._ranked[waiting]

    async def _is_granted(self, proposal: Proposal) -> bool:
        """Ask for the memory of a proposal, which isn't placed any more without it."""
        tokens = first_kv_tokens(proposal.demand, proposal.costs)
        is_granted = False
        try:
            is_granted = await self._state.acquire_memory(
                proposal.assignment.first.address,
                tokens,
                usable_tokens(tokens, proposal.costs),
            )
            # The endpoint may have named a limit meanwhile.
            is_granted = is_granted and self._state.has_permit(
                proposal.request_id,
                proposal.assignment.first,
                asyncio.get_running_loop().time(),
            )
        finally:
            if not is_granted:
                self._state.release(proposal.request_id)
        return is_granted

    def ended(self, service: str, now_s: float, was_placed: bool = True) -> None:
        """Record for the drain rate that a request ended, and whether it had a slot."""
        if was_placed:
            self._slot_ends.setdefault(service, DrainRate()).ended(now_s)
        self._drains.setdefault(service, DrainRate()).ended(now_s)

    def _slot_interval_s(self, service: str) -> float:
        """Return the time between two ends here of requests that had a slot."""
        return (self._slot_ends.get(service) or DrainRate()).interval_s

    def retry_after_s(
        self,
        service: str,
        now_s: float,
        deadline_s: float,
        route: Route,
        workspace: Workspace | None = None,
    ) -> float | None:
        """Return the Retry-After of a refusal.

        It is the end of the first pause if all endpoints want one; otherwise when the
        request could start by the estimate for the service, or, without one, what
        follows from the backlog and the drain rate.

        Returns
        -------
        float or None
            None if the caller could not be served before its deadline.
        """
        pause_s = self._state.pause_left_s(service, now_s)
        if pause_s is not None:
            return pause_s
        is_estimated, estimated_s = self._overload.retry_after_s(
            service,
            workspace_hash(workspace.name) if workspace else 0,
            self._slot_interval_s(service),
            route.objective_s * PROMPT_WAIT_SHARE,
            deadline_s - now_s,
            now_s,
        )
        if is_estimated:
            return estimated_s
        drain = self._drains.get(service) or DrainRate()
        waiting = sum(
            placement_request.service == service
            for placement_request, _ in self._pending.values()
        )
        backlog = Backlog(position=waiting, drain_interval_s=drain.interval_s)
        return retry_after_s(RETRY_AFTER_POLICY, backlog, self._state.rng)

    def dump(self) -> dict:
        """Return the queue length and drain rates as plain data."""
        drains = {name: drain.interval_s for name, drain in self._drains.items()}
        return {
            "waiting": len(self._queue),
            "drain_intervals_s": drains,
            "kind_shares": self._overload.kinds.dump(time.monotonic()),
        }

    def _ranked_request(self, placement_request: PlacementRequest) -> RankedRequest:
        item = self._work_item(placement_request)
        route, workspace = placement_request.route, placement_request.workspace
        priority = route.priority
        if workspace is not None and workspace.priority is not None:
            priority = workspace.priority
        return RankedRequest(
            item=item,
            kind_class=self._overload.kinds.classify(route.name, item.read_ms),
            priority=priority,
        )

    def _record_outcome(
        self, ranked: RankedRequest, placement: Placement, now_s: float
    ) -> None:
        self._overload.kinds.record_outcome(
            ranked.kind_class,
            ranked.item.read_ms,
            isinstance(placement, Assignment),
            now_s,
        )

    def _work_item(self, placement_request: PlacementRequest) -> WorkItem:
        table = self._state.table
        service = table.services.get(placement_request.service) if table else None
        costs = service.engine if service else None
        size = placement_request.request.size or DEFAULT_PROMPT_SIZE
        workspace = placement_request.workspace
        return WorkItem(
            service=placement_request.service,
            workspace=workspace_hash(workspace.name) if workspace else 0,
            read_ms=costs.read_ms(size.prompt_tokens) if costs else 0.0,
            due_s=placement_request.objective_due_s,
        )

    def _create_pending(
        self, placement_request: PlacementRequest, now_s: float
    ) -> PendingPlacement:
        share = PROMPT_WAIT_SHARE if placement_request.request.size else CALL_WAIT_SHARE
        objective_s = placement_request.route.objective_s
        give_up_s = min(now_s + objective_s * share, placement_request.deadline_s)
        return PendingPlacement(
            placement_request.request.request_id,
            due_s=placement_request.objective_due_s,
            # A truncated answer is useless, so a request whose answer has begun waits
            # until the deadline.
            give_up_s=placement_request.deadline_s
            if placement_request.has_begun
            else give_up_s,
            late_from_s=placement_request.objective_due_s - objective_s * (1 - share),
            lane=_lane(
                placement_request, self._state.engine_costs(placement_request.service)
            ),
        )

    def _schedule_retry(self) -> None:
        if self._timer is None and len(self._queue):
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(RETRY_INTERVAL_S, self.retry_queued)

    def retry_queued(self) -> None:
        """Place queued requests for which there is capacity now."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        now_s = asyncio.get_running_loop().time()
        services = {ranked.item.service for ranked in self._ranked.values()}
        shares = {name: self._overload.shares(name, now_s) for name in services}

        def rank(waiting: PendingPlacement) -> tuple:
            ranked = self._ranked[waiting]
            return self._overload.rank(ranked, shares[ranked.item.service], now_s)

        self._queue.rank_again(rank)

        decided = self._queue.place_pending(
            lambda waiting, may_be_late: self._retry(waiting, may_be_late, now_s), now_s
        )
        for waiting, placement in decided:
            if not isinstance(placement, Proposal):
                self._record_outcome(self._ranked[waiting], placement, now_s)
            _, future = self._pending[waiting]
            if not future.done():
                future.set_result(placement)
        self._schedule_retry()

    def _retry(
        self, waiting: PendingPlacement, may_be_late: bool, now_s: float
    ) -> Placement | Proposal:
        placement_request, future = self._pending[waiting]
        if future.done():  # its caller just disconnected
            return Busy()
        return self._try_place(placement_request, now_s, may_be_late)

    def _try_place(
        self,
        placement_request: PlacementRequest,
        now_s: float,
        may_be_late: bool = False,
    ) -> Placement | Proposal:
        table = self._state.table
        service = table.services.get(placement_request.service) if table else None
        if service is None:
            return Impossible("the service is not declared")
        if service.engine is None:
            return self._place_call(placement_request, now_s)
        return self._place_prompt(placement_request, service.engine, may_be_late, now_s)

    def preview(self, placement_request: PlacementRequest, now_s: float) -> Placement:
        """Return where a request would go if it left its place, without moving it."""
        table = self._state.table
        service = table.services.get(placement_request.service) if table else None
        if service is None:
            return Busy()
        with self._state.loads.without(placement_request.request.request_id):
            if service.engine is None:
                return self._choose_for_call(placement_request, now_s)
            return self._choose(placement_request, service.engine, True, now_s)[1]

    def _choose(
        self,
        placement_request: PlacementRequest,
        costs: EngineCosts,
        may_be_late: bool,
        now_s: float,
    ) -> tuple[Demand, Placement]:
        size = placement_request.request.size or DEFAULT_PROMPT_SIZE
        demand = Demand(
            prompt_tokens=size.prompt_tokens,
            output_tokens=size.output_tokens,
            is_tight=is_tight(placement_request.route.pause_s, costs),
            objective_s=placement_request.route.objective_s,
            pause_ms=placement_request.route.pause_s * 1000,
            service_pause_ms=self._state.shortest_pause_ms(placement_request.service),
            objective_left_s=placement_request.objective_due_s - now_s,
            deadline_left_s=placement_request.deadline_s - now_s,
            may_be_late=may_be_late,
            excluded=placement_request.excluded,
        )

        def place(
            views: Sequence[EndpointView], gateways: int, lost_s: float
        ) -> Placement:
            left_s = demand.objective_left_s - lost_s
            located = attrs.evolve(demand, objective_left_s=left_s)
            without_updates = self._state.loads.peers_without_updates(now_s)
            return place_prompt(
                located,
                views,
                costs,
                gateways,
                self._state.rng,
                now_s,
                gateways_without_updates=min(without_updates, gateways - 1),
                is_packed=self._state.knows_peer_loads(now_s),
            )

        is_short = costs.read_ms(size.prompt_tokens) <= SHORT_READ_MS
        kind = RequestKind.SHORT if is_short else RequestKind.LONG
        events = size.output_tokens // costs.tokens_per_event + 1
        placement = self._place_by_domain(
            placement_request, kind, events * EVENT_BYTES, costs, place, now_s
        )
        return demand, placement

    def _place_prompt(
        self,
        placement_request: PlacementRequest,
        costs: EngineCosts,
        may_be_late: bool,
        now_s: float,
    ) -> Placement | Proposal:
        demand, placement = self._choose(placement_request, costs, may_be_late, now_s)
        if not isinstance(placement, Assignment):
            return placement
        request_id = placement_request.request.request_id
        uses = request_uses(placement, demand, costs, now_s)
        self._state.place(request_id, placement.first, uses, now_s)
        proposal = Proposal(request_id, placement, demand, costs)
        if needs_grant(first_kv_tokens(demand, costs), costs):
            return proposal
        self._confirm(placement_request, proposal, now_s)
        return placement

    def _confirm(
        self, placement_request: PlacementRequest, proposal: Proposal, now_s: float
    ) -> None:
        """Tell the others of a long prompt that was placed."""
        assignment = proposal.assignment
        if assignment.is_long:
            placed = (assignment.first, *assignment.helpers)
            self._state.on_long_placed([one.address for one in placed], now_s)
        self._state.own_work.placed(
            proposal.request_id, self._work_item(placement_request)
        )

    def _choose_for_call(
        self, placement_request: PlacementRequest, now_s: float
    ) -> Placement:
        """Choose the least utilised endpoint of a service without a model engine."""

        def place(
            views: Sequence[EndpointView], gateways: int, lost_s: float
        ) -> Placement:
            return self._least_utilised(placement_request, views)

        return self._place_by_domain(
            placement_request, RequestKind.CALL, 0, None, place, now_s
        )

    def _place_call(
        self, placement_request: PlacementRequest, now_s: float
    ) -> Placement:
        placement = self._choose_for_call(placement_request, now_s)
        if isinstance(placement, Assignment):
            use = RequestUse(address=placement.first.address)
            self._state.place(
                placement_request.request.request_id, placement.first, (use,), now_s
            )
        return placement

    def _least_utilised(
        self, placement_request: PlacementRequest, views: Sequence[EndpointView]
    ) -> Placement:
        views = [
            view
            for view in views
            if view.endpoint.endpoint_id not in placement_request.excluded
        ]
        views = [view for view in views if not view.is_avoided] or views
        free = [view for view in views if view.use.streams < view.endpoint.capacity]
        if not free:
            return Busy()
        self._state.rng.shuffle(free)
        best = min(free, key=lambda view: view.use.streams / view.endpoint.capacity)
        return Assignment(first=best.endpoint)

    def _place_by_domain(
        self,
        placement_request: PlacementRequest,
        kind: RequestKind,
        answer_bytes: int,
        costs: EngineCosts | None,
        place: Placer,
        now_s: float,
    ) -> Placement:
        """Place a request; regards failure domains where delays are configured."""
        state, service = self._state, placement_request.service
        views = state.views(service, now_s)
        locality = state.localities.of(service, state.table)
        if locality is None or not regards_domains(views, costs):
            return place(views, state.gateway_count(now_s), 0.0)
        located = LocatedRequest(
            kind=kind,
            objective_left_s=placement_request.objective_due_s - now_s,
            request_bytes=len(placement_request.request.body),
            answer_bytes=answer_bytes,
            excluded=placement_request.excluded,
        )
        gateways = state.localities.gateways(state.loads.peers(now_s))
        return locality.place(located, views, gateways, costs, place, state.rng, now_s)
