"""Gives requests a place: now, when there is room, or not at all."""

import asyncio
import logging

import attrs

from ..decisions.drain_rate import DrainRate
from ..decisions.load_book import TIGHT_PAUSE_S, Use
from ..decisions.retry_after import Backlog, Informed, retry_after_s
from ..decisions.routes import EngineCosts, Route
from ..decisions.spreading import spread
from ..decisions.spreading_demand import (
    Busy,
    Demand,
    Impossible,
    Placement,
    Spread,
    first_kv_tokens,
)
from ..decisions.waiting_room import Waiting, WaitingRoom
from .ports import CallerRequest, PromptSize
from .state import GatewayState

logger = logging.getLogger(__name__)

RETRY_INTERVAL_S = 0.02
"""How often waiting requests are tried again: below the time of one decode pass."""

WAIT_SHARE = 0.8
"""Part of the objective for which a request may wait for a place."""

CALL_WAIT_SHARE = 0.5
"""Of a plain call's objective that it may wait for a free place."""

RETRY_ADVICE = Informed(jitter=1.0)
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
    """

    request: CallerRequest
    route: Route
    service: str
    objective_due_s: float
    deadline_s: float
    excluded: frozenset[str] = frozenset()


class Dispatcher:
    """Places requests and keeps those that wait in order.

    Parameters
    ----------
    state : GatewayState
    """

    def __init__(self, state: GatewayState) -> None:
        self._state = state
        self._room = WaitingRoom()
        self._drains: dict[str, DrainRate] = {}
        self._asks: dict[Waiting, tuple[Ask, asyncio.Future[Placement]]] = {}
        self._timer: asyncio.TimerHandle | None = None

    async def place(self, ask: Ask, now_s: float) -> Placement:
        """Find a place, waiting for it within bounds.

        Parameters
        ----------
        ask : Ask
        now_s : float

        Returns
        -------
        Spread, Busy or Impossible
            A `Spread` is noted in the load book; the caller releases it.
        """
        first = self._try(ask, now_s) if not self._is_overtaking(ask) else Busy()
        if not isinstance(first, Busy):
            return first
        wait_s = self._wait_s(ask, now_s)
        if wait_s <= 0:
            return first
        waiting = Waiting(ask.request.request_id, ask.objective_due_s, now_s + wait_s)
        future = asyncio.get_running_loop().create_future()
        self._asks[waiting] = (ask, future)
        self._room.enter(waiting)
        self._arm()
        try:
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                # Placed in the same moment in which the caller left.
                self._state.loads.release(ask.request.request_id)
            raise
        finally:
            self._room.leave(waiting)
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

    def _is_overtaking(self, ask: Ask) -> bool:
        return any(
            waiting.due_s <= ask.objective_due_s
            and self._asks[waiting][0].service == ask.service
            for waiting in self._room.in_order()
        )

    def _wait_s(self, ask: Ask, now_s: float) -> float:
        share = WAIT_SHARE if ask.request.size else CALL_WAIT_SHARE
        longest_s = ask.route.objective_s * share
        return min(longest_s, ask.deadline_s - now_s)

    def _arm(self) -> None:
        if self._timer is None and len(self._room):
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(RETRY_INTERVAL_S, self._try_waiting)

    def _try_waiting(self) -> None:
        self._timer = None
        now_s = asyncio.get_running_loop().time()
        blocked: set[tuple[str, bool]] = set()
        for waiting in self._room.in_order():
            ask, future = self._asks[waiting]
            if future.done():
                continue
            key = (ask.service, ask.route.pause_s < TIGHT_PAUSE_S)
            found = Busy() if key in blocked else self._try(ask, now_s)
            if isinstance(found, Busy):
                blocked.add(key)
                if waiting.give_up_s > now_s:
                    continue
            future.set_result(found)
        self._arm()

    def _try(self, ask: Ask, now_s: float) -> Placement:
        table = self._state.table
        plan = table.services.get(ask.service) if table else None
        if plan is None:
            return Impossible("the service is not declared")
        if plan.engine is None:
            return self._place_call(ask, now_s)
        return self._place_prompt(ask, plan.engine, now_s)

    def _place_prompt(self, ask: Ask, costs: EngineCosts, now_s: float) -> Placement:
        size = ask.request.size or DEFAULT_SIZE
        demand = Demand(
            prompt_tokens=size.prompt_tokens,
            output_tokens=size.output_tokens,
            is_tight=ask.route.pause_s < TIGHT_PAUSE_S,
            objective_left_s=ask.objective_due_s - now_s,
            deadline_left_s=ask.deadline_s - now_s,
            excluded=ask.excluded,
        )
        found = spread(
            demand,
            self._state.views(ask.service, now_s),
            costs,
            self._state.gateways(now_s),
            self._state.rng,
            now_s,
        )
        if isinstance(found, Spread):
            uses = _uses(found, demand, costs)
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
        use = Use(address=best.endpoint.address)
        self._state.loads.place(ask.request.request_id, (use,), now_s)
        return Spread(first=best.endpoint)


def _uses(found: Spread, demand: Demand, costs: EngineCosts) -> tuple[Use, ...]:
    first = Use(
        address=found.first.address,
        read_ms=found.part_ms,
        kv_tokens=first_kv_tokens(demand, costs),
        is_tight=demand.is_tight,
    )
    held = {ticket.endpoint.address: ticket.tokens for ticket in found.tickets}
    helpers = (
        Use(
            address=helper.address,
            read_ms=found.part_ms,
            kv_tokens=held.get(helper.address, 0),
            is_stream=False,
        )
        for helper in found.helpers
    )
    return (first, *helpers)
