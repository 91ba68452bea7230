"""Gives requests a place: now, when there is room, or not at all."""

import asyncio
import logging

import attrs

from ..decisions.drain_rate import DrainRate
from ..decisions.load_tracker import TIGHT_PAUSE_S, RequestUse
from ..decisions.placement import place_prompt
from ..decisions.placement_demand import (
    Assignment,
    Busy,
    Demand,
    Impossible,
    Placement,
    request_uses,
)
from ..decisions.placement_queue import PendingPlacement, PlacementQueue
from ..decisions.retry_after import Backlog, BacklogBased, retry_after_s
from ..decisions.routes import EngineCosts, Route
from .ports import CallerRequest, PromptSize
from .state import GatewayState

logger = logging.getLogger(__name__)

RETRY_INTERVAL_S = 0.02
"""How often waiting requests are tried again: below the time of one decode pass."""

WAIT_SHARE = 0.8
"""Part of the objective for which a request may wait for a place."""

CALL_WAIT_SHARE = 0.5
"""Of a plain call's objective that it may wait for a free place."""

RETRY_ADVICE = BacklogBased(jitter=1.0)
"""Callers come back over up to twice the time of the drain, not all together."""

DEFAULT_SIZE = PromptSize(prompt_tokens=1000, output_tokens=200)
"""Assumed where a caller doesn't say how large its prompt is."""


@attrs.frozen(kw_only=True)
class Ask:
    """A request that needs a place.

    Parameters
    ----------
    request : CallerRequest
    route : Route
    service : str
    objective_due_s : float
        When the objective is missed.
    deadline_s : float
        When an answer is of no use.
    excluded : frozenset of str
        Ids of endpoints that failed it.
    has_begun : bool
        Whether the caller has a part of the answer.
    """

    request: CallerRequest
    route: Route
    service: str
    objective_due_s: float
    deadline_s: float
    excluded: frozenset[str] = frozenset()
    has_begun: bool = False


Lane = tuple[str, bool, int]


def _lane(ask: Ask) -> Lane:
    """Return the requests among which one with less time left goes first.

    One that finds no place holds up those of its size, not smaller ones.
    """
    size = ask.request.size or DEFAULT_SIZE
    is_tight = ask.route.pause_s < TIGHT_PAUSE_S
    return (ask.service, is_tight, size.prompt_tokens.bit_length())


class Dispatcher:
    """Places requests and keeps those that wait in order.

    Parameters
    ----------
    state : GatewayState
    """

    def __init__(self, state: GatewayState) -> None:
        self._state = state
        self._room = PlacementQueue()
        self._drains: dict[str, DrainRate] = {}
        self._asks: dict[PendingPlacement, tuple[Ask, asyncio.Future[Placement]]] = {}
        self._timer: asyncio.TimerHandle | None = None

    async def place(self, ask: Ask, now_s: float) -> Placement:
        """Find a place, waiting for it within bounds.

        Parameters
        ----------
        ask : Ask
        now_s : float

        Returns
        -------
        Assignment, Busy or Impossible
            A `Assignment` is noted in the load book; the caller releases it.
        """
        waiting = self._waiting(ask, now_s)
        if not self._room.would_overtake(waiting):
            found = self._try(ask, now_s, may_be_late=now_s >= waiting.late_from_s)
            if not isinstance(found, Busy):
                return found
        if waiting.give_up_s <= now_s:
            return Busy()
        future = asyncio.get_running_loop().create_future()
        self._asks[waiting] = (ask, future)
        self._room.push(waiting)
        self._arm()
        try:
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                # Placed in the same moment in which the caller left.
                self._state.loads.release(ask.request.request_id)
            raise
        finally:
            self._room.remove(waiting)
            del self._asks[waiting]

    def ended(self, service: str, now_s: float) -> None:
        """Note that a place became free."""
        self._drains.setdefault(service, DrainRate()).ended(now_s)

    def retry_after_s(self, service: str) -> float:
        """Advise a refused caller when a place will be free for it."""
        drain = self._drains.get(service) or DrainRate()
        waiting = sum(ask.service == service for ask, _ in self._asks.values())
        backlog = Backlog(position=waiting, drain_interval_s=drain.interval_s)
        return retry_after_s(RETRY_ADVICE, backlog, self._state.rng)

    def dump(self) -> dict:
        """Return the state as plain data."""
        drains = {name: drain.interval_s for name, drain in self._drains.items()}
        return {"waiting": len(self._room), "drain_intervals_s": drains}

    def _waiting(self, ask: Ask, now_s: float) -> PendingPlacement:
        share = WAIT_SHARE if ask.request.size else CALL_WAIT_SHARE
        objective_s = ask.route.objective_s
        give_up_s = min(now_s + objective_s * share, ask.deadline_s)
        return PendingPlacement(
            ask.request.request_id,
            due_s=ask.objective_due_s,
            # An answer that has begun is of no use cut off.
            give_up_s=ask.deadline_s if ask.has_begun else give_up_s,
            late_from_s=ask.objective_due_s - objective_s * (1 - share),
            lane=_lane(ask),
        )

    def _arm(self) -> None:
        if self._timer is None and len(self._room):
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(RETRY_INTERVAL_S, self._try_waiting)

    def _try_waiting(self) -> None:
        self._timer = None
        now_s = asyncio.get_running_loop().time()
        settled = self._room.place_pending(
            lambda waiting, may_be_late: self._retry(waiting, may_be_late, now_s), now_s
        )
        for waiting, found in settled:
            _, future = self._asks[waiting]
            if not future.done():
                future.set_result(found)
        self._arm()

    def _retry(
        self, waiting: PendingPlacement, may_be_late: bool, now_s: float
    ) -> Placement:
        ask, future = self._asks[waiting]
        if future.done():  # its caller left a moment ago
            return Busy()
        return self._try(ask, now_s, may_be_late)

    def _try(self, ask: Ask, now_s: float, may_be_late: bool = False) -> Placement:
        table = self._state.table
        plan = table.services.get(ask.service) if table else None
        if plan is None:
            return Impossible("the service is not declared")
        if plan.engine is None:
            return self._place_call(ask, now_s)
        return self._place_prompt(ask, plan.engine, may_be_late, now_s)

    def _place_prompt(
        self, ask: Ask, costs: EngineCosts, may_be_late: bool, now_s: float
    ) -> Placement:
        size = ask.request.size or DEFAULT_SIZE
        demand = Demand(
            prompt_tokens=size.prompt_tokens,
            output_tokens=size.output_tokens,
            is_tight=ask.route.pause_s < TIGHT_PAUSE_S,
            objective_left_s=ask.objective_due_s - now_s,
            deadline_left_s=ask.deadline_s - now_s,
            may_be_late=may_be_late,
            excluded=ask.excluded,
        )
        found = place_prompt(
            demand,
            self._state.views(ask.service, now_s),
            costs,
            self._state.gateway_count(now_s),
            self._state.rng,
            now_s,
        )
        if isinstance(found, Assignment):
            uses = request_uses(found, demand, costs, now_s)
            self._state.loads.place(ask.request.request_id, uses, now_s)
        return found

    def _place_call(self, ask: Ask, now_s: float) -> Placement:
        """Choose the endpoint of a plain service with most free places."""
        views = [
            view
            for view in self._state.views(ask.service, now_s)
            if view.endpoint.endpoint_id not in ask.excluded
        ]
        views = [view for view in views if not view.is_avoided] or views
        free = [view for view in views if view.use.streams < view.endpoint.capacity]
        if not free:
            return Busy()
        self._state.rng.shuffle(free)
        best = min(free, key=lambda view: view.use.streams / view.endpoint.capacity)
        use = RequestUse(address=best.endpoint.address)
        self._state.loads.place(ask.request.request_id, (use,), now_s)
        return Assignment(first=best.endpoint)
