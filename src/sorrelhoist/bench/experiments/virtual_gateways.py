"""Gateways with their real decisions, before engines in virtual time."""

import math
import random
from collections.abc import Sequence
from functools import partial

import attrs

from ...decisions.directory import Endpoint
from ...decisions.load_tracker import TIGHT_PAUSE_S, EndpointUse, LoadTracker
from ...decisions.placement import place_prompt
from ...decisions.placement_demand import (
    Assignment,
    Demand,
    EndpointView,
    Placement,
    request_uses,
)
from ...decisions.placement_queue import PendingPlacement, PlacementQueue
from ...decisions.routes import EngineCosts
from ...gateway.dispatch import PROMPT_WAIT_SHARE, RETRY_INTERVAL_S
from ...gateway.peer_exchange import MAX_DATAGRAMS_PER_S, MIN_REPORT_INTERVAL_S
from .reading_engine import CHUNK_TOKENS, Part, ReadingEngine, Writer
from .virtual_fleet import Clock
from .virtual_prompts import Arrival

NETWORK_S = 0.001
"""Between two gateways, as in the users' failure domains."""

SETTLED_S = 60.0
"""After the last arrival all requests are over: four times the longest deadline."""

COSTS = EngineCosts(
    max_running=8,
    kv_capacity_tokens=405_000,
    tokens_per_event=34,
    step_ms=1.31,
    prefill_tokens_per_s=154_000.0,
    pair_ms_per_million=0.162,
    hop_ms=0.1,
)
"""One engine of the users' platform, from its pages."""


@attrs.define(eq=False)
class Request:
    """One prompt on its way."""

    key: int
    arrival: Arrival
    first_event_s: float = math.inf
    last_event_s: float = math.inf
    longest_pause_s: float = 0.0
    is_whole: bool = False
    is_over: bool = False
    unread: int = 0
    items: list[tuple[ReadingEngine, Part | Writer]] = attrs.field(factory=list)

    @property
    def earned(self) -> float:
        """Share of its worth."""
        kind = self.arrival.kind
        if not self.is_whole:
            return 0.0
        is_in_time = self.first_event_s - self.arrival.at_s <= kind.objective_s
        if is_in_time and self.longest_pause_s <= kind.pause_s:
            return 1.0
        return kind.late_worth / kind.worth


class World:
    """Engines and gateways."""

    def __init__(self, engines: int, gateways: int, costs: EngineCosts, seed: int):
        self.clock = Clock()
        self.costs = costs
        self.endpoints = [
            Endpoint(
                endpoint_id=f"i-{number}",
                service="llm",
                address=f"10.0.{number // 250}.{number % 250}:80",
                failure_domain="a",
                capacity=costs.max_running,
            )
            for number in range(engines)
        ]
        self.engines = {
            one.address: ReadingEngine(self.clock, costs) for one in self.endpoints
        }
        self.gateways = [
            Gateway(self, number, random.Random(f"{seed}/{number}"))
            for number in range(gateways)
        ]

    def play(self, arrivals: Sequence[Arrival], rng: random.Random) -> list[Request]:
        """Serve all arrivals and return what became of them."""
        requests = [Request(key, arrival) for key, arrival in enumerate(arrivals)]
        start_s = arrivals[0].at_s
        for request in requests:
            gateway = rng.choice(self.gateways)
            self.clock.after(
                request.arrival.at_s - start_s, partial(gateway.arrive, request)
            )
            request.arrival = attrs.evolve(
                request.arrival, at_s=request.arrival.at_s - start_s
            )
        for gateway in self.gateways:
            gateway.report()
        limit_s = requests[-1].arrival.at_s + SETTLED_S
        self.clock.run_until(lambda: all(one.is_over for one in requests), limit_s)
        return requests


class Gateway:
    """One gateway: its book, those that wait, and the decision."""

    def __init__(self, world: World, number: int, rng: random.Random) -> None:
        self.world = world
        self.number = number
        self.rng = rng
        self.book = LoadTracker()
        self.room = PlacementQueue()
        self.waiting: dict[PendingPlacement, Request] = {}
        self.sequence = 0
        self.is_armed = False

    @property
    def now_s(self) -> float:
        """Virtual time."""
        return self.world.clock.now_s

    def report(self) -> None:
        """Tell the others what is placed here, again and again."""
        self.sequence += 1
        uses, sequence = self.book.own_uses(), self.sequence

        def arrive() -> None:
            for other in self.world.gateways:
                if other is not self:
                    other.book.peer_reported(
                        str(self.number), 1, sequence, uses, other.now_s
                    )

        self.world.clock.after(NETWORK_S, arrive)
        interval_s = max(
            MIN_REPORT_INTERVAL_S, len(self.world.gateways) / MAX_DATAGRAMS_PER_S
        )
        self.world.clock.after(interval_s, self.report)

    def arrive(self, request: Request) -> None:
        """Take a request in."""
        kind = request.arrival.kind
        waiting = PendingPlacement(
            str(request.key),
            self.now_s + kind.objective_s,
            self.now_s + kind.objective_s * PROMPT_WAIT_SHARE,
            self.now_s + kind.objective_s * PROMPT_WAIT_SHARE,
            (kind.pause_s < TIGHT_PAUSE_S, request.arrival.prompt_tokens.bit_length()),
        )
        self.room.push(waiting)
        self.waiting[waiting] = request
        self.world.clock.after(kind.deadline_s, lambda: self.end(request))
        self.place_pending()

    def place_pending(self) -> None:
        """Place those that wait, as far as there is room."""
        for waiting, found in self.room.place_pending(self._try, self.now_s):
            request = self.waiting.pop(waiting)
            if isinstance(found, Assignment):
                self.send(request, found)
            else:
                request.is_over = True
        if self.waiting and not self.is_armed:
            self.is_armed = True
            self.world.clock.after(RETRY_INTERVAL_S, self._retry)

    def _retry(self) -> None:
        self.is_armed = False
        self.place_pending()

    def _try(self, waiting: PendingPlacement, may_be_late: bool) -> Placement:
        request = self.waiting[waiting]
        arrival = request.arrival
        kind = arrival.kind
        demand = Demand(
            prompt_tokens=arrival.prompt_tokens,
            output_tokens=kind.events * self.world.costs.tokens_per_event,
            is_tight=kind.pause_s < TIGHT_PAUSE_S,
            objective_left_s=arrival.at_s + kind.objective_s - self.now_s,
            deadline_left_s=arrival.at_s + kind.deadline_s - self.now_s,
            may_be_late=may_be_late,
        )
        totals = self.book.totals(self.now_s)
        views = [
            EndpointView(
                endpoint=one,
                use=totals.get(one.address) or EndpointUse(address=one.address),
            )
            for one in self.world.endpoints
        ]
        gateways = len(self.world.gateways)
        found = place_prompt(
            demand, views, self.world.costs, gateways, self.rng, self.now_s
        )
        if isinstance(found, Assignment):
            uses = request_uses(found, demand, self.world.costs, self.now_s)
            self.book.place(str(request.key), uses, self.now_s)
        return found

    def send(self, request: Request, found: Assignment) -> None:
        """Give a prompt to its engines."""
        engines = self.world.engines
        places = [found.first, *found.helpers]
        chunks = request.arrival.prompt_tokens / len(places) / CHUNK_TOKENS
        request.unread = len(places)

        def was_read() -> None:
            request.unread -= 1
            if not request.unread and not request.is_over:
                self.write(request, engines[found.first.address])

        for place in places:
            engine = engines[place.address]
            part = Part(found.part_ms, found.part_ms / max(1.0, chunks), was_read)
            request.items.append((engine, part))
            (engine.read if place is found.first else engine.help)(part)

    def write(self, request: Request, engine: ReadingEngine) -> None:
        """Receive the events of an answer."""

        def received(left_events: int) -> None:
            if math.isinf(request.first_event_s):
                request.first_event_s = self.now_s
                self.book.prefill_completed(str(request.key))
            else:
                pause_s = self.now_s - request.last_event_s
                request.longest_pause_s = max(request.longest_pause_s, pause_s)
            request.last_event_s = self.now_s
            if not left_events:
                request.is_whole = True
                self.end(request)

        writer = Writer(request.arrival.kind.events, received)
        request.items.append((engine, writer))
        # The first event holds the first token only.
        received(writer.left_events)
        engine.write(writer)

    def end(self, request: Request) -> None:
        """Close a request, whole or not."""
        if request.is_over:
            return
        request.is_over = True
        self.book.release(str(request.key))
        for engine, item in request.items:
            engine.forget(item)
