"""Replay prompts through the decisions of the gateways, in virtual time.

Arrivals are drawn, or recorded in a gateway's log. Run it by ``python -m
sorrelhoist.bench.experiments.placement``.
"""

import json
import math
import random
from collections.abc import Iterable, Iterator, Sequence
from functools import partial

import attrs
import click

from ...decisions.directory import Endpoint
from ...decisions.load_book import TIGHT_PAUSE_S, EndpointUse, LoadBook
from ...decisions.routes import EngineCosts
from ...decisions.spreading import spread
from ...decisions.spreading_demand import (
    Demand,
    EndpointView,
    Placement,
    Spread,
    uses_of,
)
from ...decisions.waiting_room import Waiting, WaitingRoom
from ...gateway.dispatch import RETRY_INTERVAL_S, WAIT_SHARE
from ...gateway.peer_exchange import SENDS_PER_S, SHORTEST_INTERVAL_S
from .reading_engine import CHUNK_TOKENS, MS_PER_S, Part, ReadingEngine, Writer
from .virtual_fleet import Clock

NETWORK_S = 0.001
SETTLED_S = 60.0

COSTS = EngineCosts(
    max_running=8,
    kv_capacity_tokens=405_000,
    tokens_per_event=34,
    step_ms=1.31,
    prefill_tokens_per_s=154_000.0,
    pair_ms_per_million=0.162,
    hop_ms=0.1,
)


@attrs.frozen(kw_only=True)
class Kind:
    """A kind of prompt, as the users describe theirs.

    Parameters
    ----------
    name : str
    per_s : float
    mean_tokens, spread, most_tokens : float
        Of a log-normal distribution.
    events : int
    objective_s, deadline_s, pause_s : float
    worth, late_worth : float
    """

    name: str
    per_s: float
    mean_tokens: float
    spread: float
    most_tokens: float
    events: int
    objective_s: float
    deadline_s: float
    pause_s: float
    worth: float
    late_worth: float


KINDS = (
    Kind(
        name="quick",
        per_s=40.0,
        mean_tokens=5_000,
        spread=0.9,
        most_tokens=24_000,
        events=38,
        objective_s=0.3,
        deadline_s=10.0,
        pause_s=0.25,
        worth=1.3,
        late_worth=0.33,
    ),
    Kind(
        name="middle",
        per_s=2.5,
        mean_tokens=45_000,
        spread=0.5,
        most_tokens=110_000,
        events=23,
        objective_s=1.5,
        deadline_s=10.0,
        pause_s=0.6,
        worth=3.9,
        late_worth=0.97,
    ),
    Kind(
        name="long",
        per_s=1.2,
        mean_tokens=182_000,
        spread=0.55,
        most_tokens=900_000,
        events=19,
        objective_s=3.0,
        deadline_s=15.0,
        pause_s=1.0,
        worth=24.0,
        late_worth=6.1,
    ),
)


@attrs.frozen
class Arrival:
    """One prompt."""

    at_s: float
    kind: Kind
    prompt_tokens: int

    @property
    def size_factor(self) -> float:
        """Worth against the mean of its kind."""
        return min(4.0, 0.3 + 0.7 * self.prompt_tokens / self.kind.mean_tokens)


def drawn(
    rng: random.Random, seconds_s: float, factor: float, burst: float
) -> list[Arrival]:
    """Draw arrivals; each kind has its own burst, one after the other, and again."""
    arrivals = []
    for number, kind in enumerate(KINDS):
        at_s = 0.0
        most = kind.per_s * factor * burst
        while (at_s := at_s + rng.expovariate(most)) < seconds_s:
            is_burst = int(at_s / 4.0) % (len(KINDS) + 1) == number
            if rng.random() > (1.0 if is_burst else 1.0 / burst):
                continue
            mu = math.log(kind.mean_tokens) - kind.spread**2 / 2
            tokens = min(rng.lognormvariate(mu, kind.spread), kind.most_tokens)
            arrivals.append(Arrival(at_s, kind, max(50, int(tokens))))
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


def recorded(lines: Iterable[str]) -> list[Arrival]:
    """Take arrivals from the ``sent`` lines of gateways' logs.

    The kind is told from the size: a log says nothing of objectives.
    """
    arrivals: dict[str, Arrival] = {}
    for line in lines:
        start = line.find("{")
        if start < 0 or '"event": "sent"' not in line:
            continue
        fields = json.loads(line[start:])
        tokens = fields.get("prompt_tokens")
        if not tokens or fields["request_id"] in arrivals:
            continue
        at_s = float(line.split()[0]) - fields["waited_ms"] / MS_PER_S
        arrivals[fields["request_id"]] = Arrival(at_s, _kind_of(tokens), tokens)
    return sorted(arrivals.values(), key=lambda arrival: arrival.at_s)


def _kind_of(prompt_tokens: int) -> Kind:
    quick, middle, long = KINDS
    if prompt_tokens <= quick.most_tokens:
        return quick
    return middle if prompt_tokens <= middle.most_tokens * 0.9 else long


@attrs.define(eq=False)
class Request:
    """One prompt on its way."""

    key: int
    arrival: Arrival
    expected_s: float = math.nan
    placed_s: float = math.nan
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
        self.declined = 0

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
        self.book = LoadBook()
        self.room = WaitingRoom()
        self.waiting: dict[Waiting, Request] = {}
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
        interval_s = max(SHORTEST_INTERVAL_S, len(self.world.gateways) / SENDS_PER_S)
        self.world.clock.after(interval_s, self.report)

    def arrive(self, request: Request) -> None:
        """Take a request in."""
        kind = request.arrival.kind
        waiting = Waiting(
            str(request.key),
            self.now_s + kind.objective_s,
            self.now_s + kind.objective_s * WAIT_SHARE,
            self.now_s + kind.objective_s * WAIT_SHARE,
            (kind.pause_s < TIGHT_PAUSE_S, request.arrival.prompt_tokens.bit_length()),
        )
        self.room.enter(waiting)
        self.waiting[waiting] = request
        self.world.clock.after(kind.deadline_s, lambda: self.end(request))
        self.settle()

    def settle(self) -> None:
        """Place those that wait, as far as there is room."""
        for waiting, found in self.room.settle(self._try, self.now_s):
            request = self.waiting.pop(waiting)
            if isinstance(found, Spread):
                self.send(request, found)
            else:
                request.is_over = True
        if self.waiting and not self.is_armed:
            self.is_armed = True
            self.world.clock.after(RETRY_INTERVAL_S, self._retry)

    def _retry(self) -> None:
        self.is_armed = False
        self.settle()

    def _try(self, waiting: Waiting, may_be_late: bool) -> Placement:
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
        found = spread(demand, views, self.world.costs, gateways, self.rng, self.now_s)
        if isinstance(found, Spread):
            uses = uses_of(found, demand, self.world.costs, self.now_s)
            self.book.place(str(request.key), uses, self.now_s)
        return found

    def send(self, request: Request, found: Spread) -> None:
        """Give a prompt to its engines."""
        engines = self.world.engines
        places = [found.first, *found.helpers]
        chunks = request.arrival.prompt_tokens / len(places) / CHUNK_TOKENS
        request.unread = len(places)
        request.placed_s = self.now_s
        request.expected_s = found.first_event_ms / MS_PER_S

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
                self.book.read_ended(str(request.key))
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


def table(requests: Sequence[Request]) -> Iterator[str]:
    """Give a line for each kind, and the worth of all."""
    earned = owed = 0.0
    for kind in KINDS:
        own = [one for one in requests if one.arrival.kind.name == kind.name]
        if not own:
            continue
        weights = [one.arrival.size_factor * kind.worth for one in own]
        got = sum(w * one.earned for w, one in zip(weights, own, strict=True))
        earned, owed = earned + got, owed + sum(weights)
        waits = sorted(one.first_event_s - one.arrival.at_s for one in own)
        in_time = sum(one.earned == 1.0 for one in own)
        whole = sum(one.is_whole for one in own)
        large = sorted(own, key=lambda one: one.arrival.prompt_tokens)
        tenth = large[-max(1, len(own) // 10) :]
        yield (
            f"{kind.name:8} {len(own):5} in time {in_time:5} late {whole - in_time:4}"
            f" not {len(own) - whole:4} worth {got / sum(weights):.3f}"
            f" largest tenth served {sum(o.is_whole for o in tenth) / len(tenth):.2f}"
            f" first event {waits[len(waits) // 2]:.2f}"
            f" / {waits[int(len(waits) * 0.95)]:.2f} s"
        )
    yield f"worth {earned / owed:.3f}"


def worth(requests: Sequence[Request]) -> float:
    """Return the earned share of the worth of all requests."""
    owed = sum(o.arrival.size_factor * o.arrival.kind.worth for o in requests)
    return (
        sum(o.earned * o.arrival.size_factor * o.arrival.kind.worth for o in requests)
        / owed
    )


@click.command()
@click.option("--engines", default=22, show_default=True)
@click.option("--gateways", default=5, show_default=True)
@click.option("--seconds", default=36.0, show_default=True)
@click.option("--factor", default=1.0, show_default=True, help="times the usual load")
@click.option("--burst", default=2.0, show_default=True, help="times a kind's load")
@click.option("--log", type=click.File(), help="take the arrivals from this log")
@click.option("--seed", "seeds", multiple=True, type=int, default=(1,))
def main(
    engines: int,
    gateways: int,
    seconds: float,
    factor: float,
    burst: float,
    log: Iterable[str] | None,
    seeds: tuple[int, ...],
) -> None:
    """Print what became of each kind of prompt."""
    from_log = recorded(log) if log is not None else None
    for seed in seeds:
        rng = random.Random(seed)
        arrivals = from_log or drawn(rng, seconds, factor, burst)
        world = World(engines, gateways, COSTS, seed)
        requests = world.play(arrivals, rng)
        click.echo(f"seed {seed}: {len(requests)} prompts")
        for line in table(requests):
            click.echo("  " + line)


if __name__ == "__main__":
    main()
