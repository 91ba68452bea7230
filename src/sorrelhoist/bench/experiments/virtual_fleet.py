"""Model of engines, agents and entries in virtual time, to compare routing policies.

The agents use the real grant ledger and the entries the real router; the engines batch
as the stand-in does. An entry learns an endpoint's load only from grants, denials and
completions, each one network delay old.
"""

import heapq
import random
from collections.abc import Callable, Sequence

import attrs

from ...decisions.endpoint_limits import EndpointLimits
from ...decisions.grants import (
    AdmissionRequest,
    Completed,
    Denied,
    EndpointObservation,
    Granted,
    Queued,
)
from ...decisions.ledger import GrantLedger
from ...decisions.routing import Policy, Router, RouteRequest, Target
from ...messages.gen import ttypes
from ...standins.engine_model import CostModel
from ..load_client import Outcome, Sample
from ..load_plan import Arrival

NETWORK_S = 0.0005
REPORT_INTERVAL_S = 0.25
PUMP_INTERVAL_S = 0.05
CHUNK_TOKENS = 2048
MAX_ENDPOINTS_TRIED = 6
DEADLINE_S = 60.0
LEASE_S = 1e6
MODEL = "clown-large"
KV_CAPACITY_TOKENS = 450_000
MAX_RUNNING_REQUESTS = 16
PREFILL_TOKENS_PER_S = 40_000
LONG_PROMPT_TOKENS = 32_000
FIRST_TOKEN_TARGET_S = 0.61
LIMITS = EndpointLimits(
    kv_capacity_tokens=KV_CAPACITY_TOKENS,
    max_running_requests=MAX_RUNNING_REQUESTS,
    cold_running_requests=MAX_RUNNING_REQUESTS,
    prefill_tokens_per_s=PREFILL_TOKENS_PER_S,
    long_prompt_tokens=LONG_PROMPT_TOKENS,
    lease_s=LEASE_S,
)


@attrs.define
class Clock:
    """Virtual clock with a queue of scheduled actions."""

    now_s: float = 0.0
    _due: list[tuple[float, int, Callable[[], None]]] = attrs.field(factory=list)
    _count: int = 0

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        self._count += 1
        heapq.heappush(self._due, (self.now_s + delay_s, self._count, action))

    def run_until(self, is_done: Callable[[], bool], limit_s: float) -> None:
        """Run the actions until `is_done()`, the time limit or an empty queue."""
        while self._due and self.now_s < limit_s and not is_done():
            self.now_s, _, action = heapq.heappop(self._due)
            action()


@attrs.define(eq=False)
class Stream:
    """A request that runs on an engine."""

    grant_id: str
    to_prefill_tokens: int
    output_tokens: int
    priority: int
    rank: int
    on_first: Callable[[], None]
    on_end: Callable[[], None]
    emitted: int = 0


@attrs.define(eq=False)
class Engine:
    """Continuous batching: a step prefills one chunk and decodes a token per stream."""

    clock: Clock
    cost: CostModel
    streams: list[Stream] = attrs.field(factory=list)
    _is_stepping: bool = False

    def submit(self, stream: Stream) -> None:
        """Add a stream to the batch."""
        self.streams.append(stream)
        if not self._is_stepping:
            self._step()

    def _step(self) -> None:
        chunks = self._chunks()
        decoding = [s for s in self.streams if not s.to_prefill_tokens]
        self._is_stepping = bool(self.streams)
        if not self.streams:
            return
        work_tokens = sum(tokens for _, tokens in chunks)
        duration_s = self.cost.step_s(work_tokens, len(decoding), False, 1.0)
        self.clock.after(duration_s, lambda: self._stepped(chunks, decoding))

    def _chunks(self) -> list[tuple[Stream, int]]:
        budget = CHUNK_TOKENS
        chunks = []
        for stream in sorted(self.streams, key=lambda s: (s.priority, s.rank)):
            tokens = min(stream.to_prefill_tokens, budget)
            if tokens:
                chunks.append((stream, tokens))
                budget -= tokens
        return chunks

    def _stepped(
        self, chunks: list[tuple[Stream, int]], decoding: list[Stream]
    ) -> None:
        for stream, tokens in chunks:
            stream.to_prefill_tokens -= tokens
        for stream in decoding:
            stream.emitted += 1
            if stream.emitted == 1:
                stream.on_first()
            if stream.emitted >= stream.output_tokens:
                self.streams.remove(stream)
                stream.on_end()
        self._step()


Reply = Callable[[Granted | Denied, ttypes.Load], None]


@attrs.define(eq=False)
class Agent:
    """An agent: the real grant ledger in front of one engine."""

    name: str
    clock: Clock
    engine: Engine
    ledger: GrantLedger
    _waiting: dict[str, Reply] = attrs.field(factory=dict)
    _rank: int = 0

    def start(self) -> None:
        """Start to report the engine's state and pump the queue periodically."""
        self._report()
        self._pump_periodically()

    def _report(self) -> None:
        usage = self.ledger.usage
        report = EndpointObservation(
            boot_id="boot",
            is_cold=False,
            kv_used_tokens=usage.kv_tokens,
            kv_capacity_tokens=KV_CAPACITY_TOKENS,
            running_requests=usage.requests,
            prefill_tokens_per_s=PREFILL_TOKENS_PER_S,
        )
        self.ledger.observe(report, self.clock.now_s)
        self.clock.after(REPORT_INTERVAL_S, self._report)

    def _pump_periodically(self) -> None:
        self.pump()
        self.clock.after(PUMP_INTERVAL_S, self._pump_periodically)

    def load(self) -> ttypes.Load:
        """Return the load as it is attached to messages."""
        figures = self.ledger.load(self.clock.now_s)
        return ttypes.Load(endpoint=self.name, **attrs.asdict(figures))

    def request(self, request: AdmissionRequest, reply: Reply) -> None:
        """Grant or deny a request, at once or from the queue."""
        answer = self.ledger.request(request, self.clock.now_s)
        if isinstance(answer, Queued):
            self._waiting[request.request_id] = reply
        else:
            self._reply(reply, answer)
        self.pump()

    def pump(self) -> None:
        """Send the decisions on queued requests."""
        for decision in self.ledger.pump(self.clock.now_s):
            reply = self._waiting.pop(decision.request_id)
            self._reply(reply, decision)

    def _reply(self, reply: Reply, decision: Granted | Denied) -> None:
        load = self.load()
        self.clock.after(NETWORK_S, lambda: reply(decision, load))

    def submit(self, granted: Granted, stream: Stream) -> bool:
        """Run a granted request; return False if the grant is no longer valid."""
        found = self.ledger.submitted(granted.grant_id, self.clock.now_s)
        if found.value_or(True) is not None:
            self.pump()
            return False
        self._rank += 1
        stream.rank = self._rank
        stream.priority = granted.lane.priority
        self.engine.submit(stream)
        return True

    def first_token(self, grant_id: str) -> None:
        """Record that the prefill of a prompt is complete."""
        self.ledger.first_token(grant_id, self.clock.now_s)

    def completed(self, grant_id: str) -> None:
        """Record that an answer is complete, and release its grant."""
        self.ledger.release(grant_id, self.clock.now_s, Completed())
        self.pump()


@attrs.define(eq=False)
class Entry:
    """An entry: the real router, which requests grants from agents."""

    name: str
    failure_domain: str
    clock: Clock
    router: Router
    agents: dict[str, Agent]
    targets: Sequence[Target]

    def serve(self, arrival: Arrival, done: Callable[[Sample], None]) -> None:
        """Serve one request; `done` is called with its sample."""
        _Request(self, arrival, done, list(self.targets)).try_next_endpoint()


@attrs.define(eq=False)
class _Request:
    entry: Entry
    arrival: Arrival
    done: Callable[[Sample], None]
    left: list[Target]
    endpoints_tried: int = 0
    first_token_s: float = 0.0

    def try_next_endpoint(self) -> None:
        entry, clock = self.entry, self.entry.clock
        chosen = entry.router.choose(self._route(), self.left, clock.now_s)
        if not chosen or self.endpoints_tried >= MAX_ENDPOINTS_TRIED:
            self._finish(Outcome.REFUSED)
            return
        self.endpoints_tried += 1
        target = chosen[0]
        self.left.remove(target)
        entry.router.sent(target.endpoint, self.arrival.prompt_tokens)
        agent = entry.agents[target.endpoint]
        request = AdmissionRequest(
            request_id=f"r{self.arrival.number}",
            workspace=self.arrival.workspace.name,
            entry_id=entry.name,
            prompt_tokens=self.arrival.prompt_tokens,
            output_tokens=self.arrival.output_tokens,
            deadline_s=self.arrival.at_s + DEADLINE_S,
            weight=self.arrival.workspace.weight,
        )
        clock.after(
            NETWORK_S,
            lambda: agent.request(
                request, lambda d, load: self._handle_decision(agent, d, load)
            ),
        )

    def _route(self) -> RouteRequest:
        return RouteRequest(
            model=MODEL,
            failure_domain=self.entry.failure_domain,
            prompt_tokens=self.arrival.prompt_tokens,
            output_tokens=self.arrival.output_tokens,
            # Prompts share no prefix: each has its own first block.
            prefix_hashes=[self.arrival.number + 1],
            is_long=self.arrival.prompt_tokens >= LONG_PROMPT_TOKENS,
        )

    def _handle_decision(
        self, agent: Agent, decision: Granted | Denied, load: ttypes.Load
    ) -> None:
        clock = self.entry.clock
        self.entry.router.observe(load, clock.now_s)
        if isinstance(decision, Denied):
            self.try_next_endpoint()
            return
        if self._route().is_long:
            self.entry.router.long_started(MODEL, self.arrival.prompt_tokens)
        stream = Stream(
            decision.grant_id,
            self.arrival.prompt_tokens,
            self.arrival.output_tokens,
            0,
            0,
            lambda: self._handle_first_token(agent, decision),
            lambda: self._handle_completion(agent, decision),
        )
        clock.after(NETWORK_S, lambda: self._submit(agent, decision, stream))

    def _submit(self, agent: Agent, granted: Granted, stream: Stream) -> None:
        if not agent.submit(granted, stream):
            self.try_next_endpoint()

    def _handle_first_token(self, agent: Agent, granted: Granted) -> None:
        agent.first_token(granted.grant_id)
        seen_s = self.entry.clock.now_s + NETWORK_S
        self.first_token_s = seen_s - self.arrival.at_s

    def _handle_completion(self, agent: Agent, granted: Granted) -> None:
        agent.completed(granted.grant_id)
        load, clock = agent.load(), self.entry.clock
        clock.after(NETWORK_S, lambda: self._receive_completion(load))

    def _receive_completion(self, load: ttypes.Load) -> None:
        router = self.entry.router
        router.observe(load, self.entry.clock.now_s)
        if self._route().is_long:
            router.long_ended(MODEL, self.arrival.prompt_tokens)
        reading_s = self.arrival.prompt_tokens / PREFILL_TOKENS_PER_S
        is_late = self.first_token_s > FIRST_TOKEN_TARGET_S + reading_s
        self._finish(Outcome.LATE if is_late else Outcome.WHOLE)

    def _finish(self, outcome: Outcome) -> None:
        total_s = self.entry.clock.now_s - self.arrival.at_s
        sample = Sample(
            self.arrival, self.arrival.at_s, outcome, 0, self.first_token_s, total_s
        )
        self.done(sample)


def run_fleet(
    policy: Policy, plan: Sequence[Arrival], engines: int, entries: int, seed: int
) -> list[Sample]:
    """Run a load plan under a routing policy.

    Parameters
    ----------
    policy : Policy
    plan : sequence of Arrival
    engines, entries : int
        Numbers of each, spread over three failure domains.
    seed : int

    Returns
    -------
    list of Sample
        One for each request, in the order of completion.
    """
    clock = Clock()
    cost = CostModel(prefill_tokens_per_s=PREFILL_TOKENS_PER_S)
    agents = {}
    for number in range(engines):
        name = f"e{number}"
        rng = random.Random(seed * 1000 + number)
        ledger = GrantLedger(LIMITS, name, 0.0, rng=rng)
        agents[name] = Agent(name, clock, Engine(clock, cost), ledger)
        agents[name].start()
    targets = [
        Target(name, f"agent-{name}", f"domain-{number % 3}", KV_CAPACITY_TOKENS)
        for number, name in enumerate(agents)
    ]
    entry_nodes = [
        Entry(
            f"entry-{number}",
            f"domain-{number % 3}",
            clock,
            Router(policy, random.Random(seed * 2000 + number)),
            agents,
            targets,
        )
        for number in range(entries)
    ]
    samples: list[Sample] = []
    for arrival in plan:
        entry = entry_nodes[arrival.number % entries]
        clock.after(arrival.at_s, lambda a=arrival, e=entry: e.serve(a, samples.append))  # type: ignore[misc]
    clock.run_until(lambda: len(samples) == len(plan), plan[-1].at_s + DEADLINE_S * 2)
    return samples
