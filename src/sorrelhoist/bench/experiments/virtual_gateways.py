"""Model of gateways in virtual time: real placement decisions, simulated engines."""

import math
import random
from collections.abc import Sequence
from functools import partial

import attrs

from ...decisions.directory import Endpoint
from ...decisions.placement.demand import (
    Assignment,
    Demand,
    EndpointView,
    Placement,
    request_uses,
)
from ...decisions.placement.load_tracker import TIGHT_PAUSE_S, EndpointUse, LoadTracker
from ...decisions.placement.locality import (
    EVENT_BYTES,
    SHORT_READ_MS,
    Localities,
    LocatedRequest,
    RequestKind,
    crossing_s,
)
from ...decisions.placement.queue import PendingPlacement, PlacementQueue
from ...decisions.placement.strategy import place_prompt
from ...decisions.report_rate import report_interval_s
from ...decisions.routes import EngineCosts
from ...gateway.dispatch import PROMPT_WAIT_SHARE, RETRY_INTERVAL_S
from .split_prefill_engine import (
    CHUNK_TOKENS,
    DecodeStream,
    PrefillPart,
    SplitPrefillEngine,
)
from .virtual_domains import DOMAINS, Deployment
from .virtual_fleet import Clock
from .virtual_prompts import Arrival

NETWORK_S = 0.001
"""Delay between two gateways, as in the users' failure domains."""

REQUEST_BYTES = 4_000
"""Size of a request between domains, within the first TCP window."""

DRAIN_S = 60.0
"""Time after the last arrival by which all requests have ended: four times the
longest deadline."""

COSTS = EngineCosts(
    max_running=8,
    kv_capacity_tokens=405_000,
    tokens_per_event=34,
    step_ms=1.31,
    prefill_tokens_per_s=154_000.0,
    pair_ms_per_million=0.162,
    hop_ms=0.1,
)
"""Costs of one engine, from the pages of the users' platform."""


@attrs.define(eq=False)
class Request:
    """State of one prompt."""

    key: int
    arrival: Arrival
    first_event_s: float = math.inf
    last_event_s: float = math.inf
    longest_pause_s: float = 0.0
    is_complete: bool = False
    is_over: bool = False
    is_outside: bool = False
    prefills_left: int = 0
    items: list[tuple[SplitPrefillEngine, PrefillPart | DecodeStream]] = attrs.field(
        factory=list
    )

    @property
    def earned(self) -> float:
        """Earned share of the worth of a prompt: 1 if it met all its objectives."""
        kind = self.arrival.kind
        if not self.is_complete:
            return 0.0
        is_in_time = self.first_event_s - self.arrival.at_s <= kind.objective_s
        if is_in_time and self.longest_pause_s <= kind.pause_s:
            return 1.0
        return kind.late_worth / kind.worth


class GatewayFleet:
    """A set of gateways in front of shared engines, on one virtual clock."""

    def __init__(
        self,
        engines: int,
        gateways: int,
        costs: EngineCosts,
        seed: int,
        deployment: Deployment | None = None,
        is_local: bool = False,
    ):
        self.clock = Clock()
        self.deployment = deployment
        self.is_local = is_local
        self.costs = costs
        self.endpoints = [
            Endpoint(
                endpoint_id=f"i-{number}",
                service="llm",
                address=f"10.0.{number // 250}.{number % 250}:80",
                failure_domain=DOMAINS[number % len(DOMAINS)],
                capacity=costs.max_running,
            )
            for number in range(engines)
        ]
        self.engines = {
            one.address: SplitPrefillEngine(self.clock, costs) for one in self.endpoints
        }
        self.gateways = [
            Gateway(self, number, random.Random(f"{seed}/{number}"))
            for number in range(gateways)
        ]

    def replay(self, arrivals: Sequence[Arrival], rng: random.Random) -> list[Request]:
        """Serve all arrivals and return their final states."""
        requests = [Request(key, arrival) for key, arrival in enumerate(arrivals)]
        start_s = arrivals[0].at_s
        for request in requests:
            domain = request.arrival.domain
            gateway = rng.choice(
                [one for one in self.gateways if domain in ("", one.domain)]
            )
            self.clock.after(
                request.arrival.at_s - start_s, partial(gateway.arrive, request)
            )
            request.arrival = attrs.evolve(
                request.arrival, at_s=request.arrival.at_s - start_s
            )
        for gateway in self.gateways:
            gateway.report()
        limit_s = requests[-1].arrival.at_s + DRAIN_S
        self.clock.run_until(lambda: all(one.is_over for one in requests), limit_s)
        return requests


class Gateway:
    """A gateway: load tracker, placement queue and placement decisions."""

    def __init__(self, fleet: GatewayFleet, number: int, rng: random.Random) -> None:
        self.fleet = fleet
        self.number = number
        self.domain = DOMAINS[number % len(DOMAINS)]
        self.rng = rng
        self.localities = Localities(self.domain)
        self.load_tracker = LoadTracker()
        self.queue = PlacementQueue()
        self.waiting: dict[PendingPlacement, Request] = {}
        self.sequence = 0
        self.is_armed = False

    @property
    def now_s(self) -> float:
        """Virtual time."""
        return self.fleet.clock.now_s

    def report(self) -> None:
        """Report this gateway's placements to the others at regular intervals."""
        self.sequence += 1
        uses, sequence = self.load_tracker.own_uses(), self.sequence

        def arrive() -> None:
            for other in self.fleet.gateways:
                if other is not self:
                    other.localities.heard(str(self.number), self.domain)
                    other.load_tracker.peer_reported(
                        str(self.number), 1, sequence, uses, other.now_s
                    )

        self.fleet.clock.after(NETWORK_S, arrive)
        interval_s = report_interval_s(len(self.fleet.gateways))
        self.fleet.clock.after(interval_s, self.report)

    def arrive(self, request: Request) -> None:
        """Queue a request and schedule its deadline."""
        kind = request.arrival.kind
        waiting = PendingPlacement(
            str(request.key),
            self.now_s + kind.objective_s,
            self.now_s + kind.objective_s * PROMPT_WAIT_SHARE,
            self.now_s + kind.objective_s * PROMPT_WAIT_SHARE,
            (kind.pause_s < TIGHT_PAUSE_S, request.arrival.prompt_tokens.bit_length()),
        )
        self.queue.push(waiting)
        self.waiting[waiting] = request
        self.fleet.clock.after(kind.deadline_s, lambda: self.end(request))
        self.place_pending()

    def place_pending(self) -> None:
        """Place queued requests as far as capacity allows."""
        for waiting, found in self.queue.place_pending(self._try_placement, self.now_s):
            request = self.waiting.pop(waiting)
            if isinstance(found, Assignment):
                self.send(request, found)
            else:
                request.is_over = True
        if self.waiting and not self.is_armed:
            self.is_armed = True
            self.fleet.clock.after(RETRY_INTERVAL_S, self._retry)

    def _retry(self) -> None:
        self.is_armed = False
        self.place_pending()

    def _try_placement(self, waiting: PendingPlacement, may_be_late: bool) -> Placement:
        request = self.waiting[waiting]
        arrival = request.arrival
        kind = arrival.kind
        demand = Demand(
            prompt_tokens=arrival.prompt_tokens,
            output_tokens=kind.events * self.fleet.costs.tokens_per_event,
            is_tight=kind.pause_s < TIGHT_PAUSE_S,
            objective_left_s=arrival.at_s + kind.objective_s - self.now_s,
            deadline_left_s=arrival.at_s + kind.deadline_s - self.now_s,
            may_be_late=may_be_late,
        )
        totals = self.load_tracker.totals(self.now_s)
        views = [
            EndpointView(
                endpoint=one,
                use=totals.get(one.address) or EndpointUse(address=one.address),
            )
            for one in self.fleet.endpoints
        ]
        found = self._place(demand, views)
        if isinstance(found, Assignment):
            uses = request_uses(found, demand, self.fleet.costs, self.now_s)
            self.load_tracker.place(str(request.key), uses, self.now_s)
        return found

    def _place(self, demand: Demand, views: Sequence[EndpointView]) -> Placement:
        costs, deployment = self.fleet.costs, self.fleet.deployment

        def place(
            views: Sequence[EndpointView], gateways: int, lost_s: float
        ) -> Placement:
            left_s = demand.objective_left_s - lost_s
            located = attrs.evolve(demand, objective_left_s=left_s)
            return place_prompt(located, views, costs, gateways, self.rng, self.now_s)

        table = deployment.table if deployment and self.fleet.is_local else None
        locality = self.localities.of("llm", table)
        if locality is None:
            return place(views, len(self.fleet.gateways), 0.0)
        is_short = costs.read_ms(demand.prompt_tokens) <= SHORT_READ_MS
        located = LocatedRequest(
            kind=RequestKind.SHORT if is_short else RequestKind.LONG,
            objective_left_s=demand.objective_left_s,
            request_bytes=REQUEST_BYTES,
            answer_bytes=demand.output_tokens // costs.tokens_per_event * EVENT_BYTES,
        )
        gateways = self.localities.gateways(self.load_tracker.peers(self.now_s))
        return locality.place(
            located, views, gateways, costs, place, self.rng, self.now_s
        )

    def send(self, request: Request, found: Assignment) -> None:
        """Send the parts of a prompt to their engines."""
        request.is_outside = found.first.failure_domain != self.domain
        if request.is_outside and self.fleet.deployment:
            crossing = crossing_s(self.fleet.deployment.delay_s, REQUEST_BYTES)
            self.fleet.clock.after(crossing, partial(self._start, request, found))
        else:
            self._start(request, found)

    def _start(self, request: Request, found: Assignment) -> None:
        if request.is_over:
            return
        engines = self.fleet.engines
        locations = [found.first, *found.helpers]
        chunks = request.arrival.prompt_tokens / len(locations) / CHUNK_TOKENS
        request.prefills_left = len(locations)

        def on_part_prefilled() -> None:
            request.prefills_left -= 1
            if not request.prefills_left and not request.is_over:
                self.decode(request, engines[found.first.address])

        for location in locations:
            engine = engines[location.address]
            part = PrefillPart(
                found.part_ms, found.part_ms / max(1.0, chunks), on_part_prefilled
            )
            request.items.append((engine, part))
            (engine.prefill if location is found.first else engine.prefill_for_peer)(
                part
            )

    def decode(self, request: Request, engine: SplitPrefillEngine) -> None:
        """Decode the answer and record its events."""

        def received(left_events: int) -> None:
            if math.isinf(request.first_event_s):
                request.first_event_s = self.now_s
                self.load_tracker.prefill_completed(str(request.key))
            else:
                pause_s = self.now_s - request.last_event_s
                request.longest_pause_s = max(request.longest_pause_s, pause_s)
            request.last_event_s = self.now_s
            if not left_events:
                request.is_complete = True
                self.end(request)

        stream = DecodeStream(request.arrival.kind.events, received)
        request.items.append((engine, stream))
        # The first event contains only the first token.
        received(stream.left_events)
        engine.decode(stream)

    def end(self, request: Request) -> None:
        """End a request, complete or not, and release its load."""
        if request.is_over:
            return
        request.is_over = True
        self.load_tracker.release(str(request.key))
        for engine, item in request.items:
            engine.discard(item)
