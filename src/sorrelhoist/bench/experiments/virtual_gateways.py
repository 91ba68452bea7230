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
from ...decisions.placement.load_tracker import EndpointUse, LoadTracker
from ...decisions.placement.pause_monitor import PassCorrections, StreamPauses
from ...decisions.placement.pauses import is_tight
from ...decisions.placement.queue import PendingPlacement, PlacementQueue
from ...decisions.placement.strategy import place_prompt
from ...decisions.report_rate import UpdateRate, report_interval_s
from ...decisions.routes import EngineCosts
from ...gateway.dispatch import PROMPT_WAIT_SHARE, RETRY_INTERVAL_S
from .split_prefill_engine import (
    CHUNK_TOKENS,
    DecodeStream,
    PrefillPart,
    SplitPrefillEngine,
)
from .virtual_fleet import Clock
from .virtual_prompts import MS_PER_S, Arrival

NETWORK_S = 0.001
"""Delay between two gateways, as in the users' failure domains."""

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
    late_pauses: int = 0
    is_complete: bool = False
    is_over: bool = False
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
    """A set of gateways in front of shared engines, on one virtual clock.

    Parameters
    ----------
    engines, gateways : int
    costs : EngineCosts
    seed : int
    delay_s : float
        One-way delay between two gateways.
    has_updates : bool
        Whether placements of long prompts are sent to all gateways at once, where
        reports are slower.
    """

    def __init__(
        self,
        engines: int,
        gateways: int,
        costs: EngineCosts,
        seed: int,
        delay_s: float = NETWORK_S,
        has_updates: bool = False,
    ):
        self.clock = Clock()
        self.delay_s = delay_s
        self.has_updates = has_updates and UpdateRate().is_useful(gateways - 1)
        self.costs = costs
        self._shortest_pause_ms = math.inf
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
            one.address: SplitPrefillEngine(self.clock, costs) for one in self.endpoints
        }
        self.gateways = [
            Gateway(self, number, random.Random(f"{seed}/{number}"))
            for number in range(gateways)
        ]

    @property
    def shortest_pause_ms(self) -> float:
        """Shortest pause target of the prompts that are replayed."""
        return self._shortest_pause_ms

    def replay(self, arrivals: Sequence[Arrival], rng: random.Random) -> list[Request]:
        """Serve all arrivals and return their final states."""
        requests = [Request(key, arrival) for key, arrival in enumerate(arrivals)]
        start_s = arrivals[0].at_s
        pauses_s = {arrival.kind.pause_s for arrival in arrivals}
        self._shortest_pause_ms = min(pauses_s) * MS_PER_S
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
        limit_s = requests[-1].arrival.at_s + DRAIN_S
        self.clock.run_until(lambda: all(one.is_over for one in requests), limit_s)
        return requests


class Gateway:
    """A gateway: load tracker, placement queue and placement decisions."""

    def __init__(self, fleet: GatewayFleet, number: int, rng: random.Random) -> None:
        self.fleet = fleet
        self.number = number
        self.rng = rng
        self.load_tracker = LoadTracker()
        self.pass_corrections = PassCorrections()
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
                    other.load_tracker.peer_reported(
                        str(self.number), 1, sequence, uses, other.now_s
                    )

        self.fleet.clock.after(self.fleet.delay_s, arrive)
        interval_s = report_interval_s(len(self.fleet.gateways))
        self.fleet.clock.after(interval_s, self.report)

    def _update(self, addresses: set[str]) -> None:
        """Send the loads of some endpoints to the others before the next report."""
        self.sequence += 1
        uses = [u for u in self.load_tracker.own_uses() if u.address in addresses]
        sequence = self.sequence

        def arrive() -> None:
            for other in self.fleet.gateways:
                if other is not self:
                    other.load_tracker.peer_updated(
                        str(self.number), 1, sequence, uses, other.now_s
                    )

        self.fleet.clock.after(self.fleet.delay_s, arrive)

    def arrive(self, request: Request) -> None:
        """Queue a request and schedule its deadline."""
        kind = request.arrival.kind
        waiting = PendingPlacement(
            str(request.key),
            self.now_s + kind.objective_s,
            self.now_s + kind.objective_s * PROMPT_WAIT_SHARE,
            self.now_s + kind.objective_s * PROMPT_WAIT_SHARE,
            (
                is_tight(kind.pause_s, self.fleet.costs),
                request.arrival.prompt_tokens.bit_length(),
            ),
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
            is_tight=is_tight(kind.pause_s, self.fleet.costs),
            objective_s=kind.objective_s,
            pause_ms=kind.pause_s * MS_PER_S,
            service_pause_ms=self.fleet.shortest_pause_ms,
            objective_left_s=arrival.at_s + kind.objective_s - self.now_s,
            deadline_left_s=arrival.at_s + kind.deadline_s - self.now_s,
            may_be_late=may_be_late,
        )
        totals = self.load_tracker.totals(self.now_s)
        views = [
            EndpointView(
                endpoint=one,
                use=totals.get(one.address) or EndpointUse(address=one.address),
                slowness=self.pass_corrections.slowness(one.endpoint_id, self.now_s),
            )
            for one in self.fleet.endpoints
        ]
        gateways = len(self.fleet.gateways)
        found = place_prompt(
            demand,
            views,
            self.fleet.costs,
            gateways,
            self.rng,
            self.now_s,
            gateways_without_updates=0 if self.fleet.has_updates else None,
        )
        if isinstance(found, Assignment):
            uses = request_uses(found, demand, self.fleet.costs, self.now_s)
            self.load_tracker.place(str(request.key), uses, self.now_s)
            if found.is_long and self.fleet.has_updates:
                self._update({use.address for use in uses})
        return found

    def send(self, request: Request, found: Assignment) -> None:
        """Send the parts of a prompt to their engines."""
        engines = self.fleet.engines
        locations = [found.first, *found.helpers]
        chunks = request.arrival.prompt_tokens / len(locations) / CHUNK_TOKENS
        request.prefills_left = len(locations)

        def on_part_prefilled() -> None:
            request.prefills_left -= 1
            if not request.prefills_left and not request.is_over:
                self.decode(request, found.first)

        for location in locations:
            engine = engines[location.address]
            part = PrefillPart(
                found.part_ms, found.part_ms / max(1.0, chunks), on_part_prefilled
            )
            request.items.append((engine, part))
            (engine.prefill if location is found.first else engine.prefill_for_peer)(
                part
            )

    def decode(self, request: Request, endpoint: Endpoint) -> None:
        """Decode the answer and record its events."""
        engine = self.fleet.engines[endpoint.address]
        pauses = StreamPauses(target_s=request.arrival.kind.pause_s)

        def received(left_events: int) -> None:
            pauses.relayed(1, self.now_s)
            if math.isinf(request.first_event_s):
                request.first_event_s = self.now_s
                self.load_tracker.prefill_completed(str(request.key))
            else:
                pause_s = self.now_s - request.last_event_s
                request.longest_pause_s = max(request.longest_pause_s, pause_s)
                request.late_pauses += pause_s > request.arrival.kind.pause_s
            request.last_event_s = self.now_s
            if not left_events:
                request.is_complete = True
                use = self.load_tracker.endpoint_use(endpoint.address, self.now_s)
                self.pass_corrections.stream_ended(
                    endpoint.endpoint_id, pauses, use, self.fleet.costs, self.now_s
                )
                self.end(request)

        stream = DecodeStream(
            request.arrival.kind.events, received, request.arrival.prompt_tokens
        )
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
