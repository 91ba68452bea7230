"""Simulated log, plain service and agents with fault injection, in virtual time."""

import asyncio
import json
import random
import uuid

import attrs
import uuid6

from sorrelhoist.agent.claims import ClaimedCalls, ServiceOptions
from sorrelhoist.clients.exceptions import (
    AppendOutcomeUnknownError,
    LogRateLimitedError,
    OffsetExpiredError,
    ServiceNotReachedError,
    ServiceOutcomeUnknownError,
)
from sorrelhoist.clients.log import Appended, LogPage, LogRecord
from sorrelhoist.clients.plain_service import PlainReply
from sorrelhoist.decisions.claims_records import Claimant
from sorrelhoist.exceptions import LogUnavailableError, NotReadyError, SorrelhoistError
from sorrelhoist.messages.gen import ttypes

WALL_OFFSET_S = 1.7e9
LATE_DELIVERY_S = 7.0
PAUSE_S = 30.0
LOG_DELAY_S = 0.01
FOREVER_S = 1e6
# Raised before the log was read, when nothing is known about calls of other agents.
ERRORS_BEFORE_CLAIM = (LogUnavailableError, NotReadyError)


@attrs.define
class World:
    """State of the log and the service, and the answer to each attempt."""

    seed: int = 0
    offers_lookup: bool = False
    records: list = attrs.field(factory=list)
    first_offset: int = 1
    log_down: bool = False
    effects: list = attrs.field(factory=list)  # (key, attempt)
    answers: dict = attrs.field(factory=dict)  # attempt -> reply or error
    appended: asyncio.Event = attrs.field(factory=asyncio.Event)
    background: set = attrs.field(factory=set)

    @property
    def now_s(self):
        return asyncio.get_running_loop().time()

    def wall_s(self):
        return self.now_s + WALL_OFFSET_S

    def key(self):
        value = int(self.wall_s() * 1000) << 80
        value |= random.Random(self.now_s + self.seed).getrandbits(76)
        return str(uuid6.UUID(int=value, version=7))

    def put(self, values):
        first = len(self.records) + 1
        self.records += [(self.now_s, value) for value in values]
        self.appended.set()
        self.appended = asyncio.Event()
        return Appended(first, len(self.records) + 1)

    def later(self, delay_s, action):
        async def act():
            await asyncio.sleep(delay_s)
            action()

        task = asyncio.get_running_loop().create_task(act())
        self.background.add(task)

    def effects_of(self, key):
        return sum(1 for effect, _ in self.effects if effect == key)

    def stop(self):
        for task in self.background:
            task.cancel()

    def check(self):
        """Check: at most one effect per key; none for attempts answered `not_run`."""
        for key in {key for key, _ in self.effects}:
            assert self.effects_of(key) == 1, self.effects
        ran = {attempt for _, attempt in self.effects}
        for attempt, answer in self.answers.items():
            if isinstance(answer, SorrelhoistError) and answer.not_run:
                assert attempt not in ran, (attempt, answer)
            if isinstance(answer, ttypes.ServiceReply):
                assert answer.body == b"ran deposit", answer
                assert self.effects, answer


class LogPort:
    """Log client of one process, with fault injection.

    ``faults`` maps a step to the faults of its next uses, in order. Steps are the
    kinds of records, ``read``, and those that subclasses add.
    """

    is_started = True

    def __init__(self, world, faults=()):
        self.world = world
        self.faults = {step: list(planned) for step, planned in dict(faults).items()}
        self.steps = []
        self.killed = asyncio.Event()

    async def append(self, values):
        step = next(
            (kind for kind in map(_kind, values) if self.faults.get(kind)),
            _kind(values[0]),
        )
        fault = await self._fault(step)
        await asyncio.sleep(LOG_DELAY_S)
        if self.world.log_down or fault == "refused":
            raise LogUnavailableError("down", not_run=True, retry_after_s=1.0)
        if fault == "rate_limited":
            raise LogRateLimitedError("slow down", retry_after_s=1.0)
        if fault == "late":
            self.world.later(LATE_DELIVERY_S, lambda: self.world.put(values))
            raise AppendOutcomeUnknownError("lost")
        if fault == "not_sent":
            raise AppendOutcomeUnknownError("lost")
        appended = self.world.put(values)
        if fault == "duplicated":
            self.world.put(values)
        if fault == "duplicated_late":
            self.world.later(LATE_DELIVERY_S, lambda: self.world.put(values))
        if fault == "answer_lost":
            raise AppendOutcomeUnknownError("lost")
        await self._after(fault)
        return appended

    async def read(self, from_offset, limit=500, wait_s=0.0):
        fault = await self._fault("read") if self.is_started else None
        await asyncio.sleep(LOG_DELAY_S)
        world = self.world
        if world.log_down or fault == "refused":
            raise LogUnavailableError("down", retry_after_s=1.0)
        if from_offset < world.first_offset:
            raise OffsetExpiredError(world.first_offset, "gone")
        if from_offset > len(world.records) and wait_s:
            try:
                async with asyncio.timeout(wait_s):
                    await world.appended.wait()
            except TimeoutError:
                pass
        if world.log_down:
            raise LogUnavailableError("down", retry_after_s=1.0)
        taken = world.records[from_offset - 1 : from_offset - 1 + limit]
        page = [
            LogRecord(from_offset + index, world.now_s - at_s, value)
            for index, (at_s, value) in enumerate(taken)
        ]
        if fault == "duplicated":
            page = page + page
        if fault == "reordered":
            page.reverse()
        await self._after(fault)
        return LogPage(tuple(page), world.first_offset, len(world.records) + 1)

    async def _fault(self, step):
        self.steps.append(step)
        planned = self.faults.get(step)
        fault = planned.pop(0) if planned else None
        if fault == "killed_before":
            await self._kill_self()
        if fault == "paused":
            await asyncio.sleep(PAUSE_S)
        if fault == "slow":
            await asyncio.sleep(LATE_DELIVERY_S)
        return fault

    async def _after(self, fault):
        if fault == "killed_after":
            await self._kill_self()
        if fault == "paused_after":
            await asyncio.sleep(PAUSE_S)

    async def _kill_self(self):
        self.killed.set()
        await asyncio.sleep(FOREVER_S)


class Agent(LogPort):
    """Process of one agent: clients of the log and the service, and a main task.

    Adds the steps ``call`` and ``lookup``.
    """

    def __init__(self, world, node_id, faults=(), **options):
        super().__init__(world, faults)
        self.node_id = node_id
        self.attempts = {}
        self.deadlines_s = {}
        rng = random.Random(f"{node_id}{world.seed}{world.now_s}")
        self.boot_id = uuid.UUID(int=rng.getrandbits(128)).hex
        self.calls = ClaimedCalls(
            self,
            self,
            Claimant(node_id, self.boot_id),
            ServiceOptions(offers_lookup=world.offers_lookup, **options),
            rng=rng,
            clock=lambda: world.now_s,
            wall_clock=world.wall_s,
        )
        self.lifetime_task = asyncio.get_running_loop().create_task(self._run())

    @property
    def is_started(self):
        return self.calls.ready

    async def _run(self):
        async with self.calls.running():
            await self.killed.wait()

    async def kill(self):
        self.killed.set()
        await asyncio.wait({self.lifetime_task})

    async def attempt_call(self, key, body=b"deposit", budget_s=10.0):
        """Call, and record the answer under a new attempt."""
        attempt = (self.node_id, len(self.world.answers))
        self.world.answers[attempt] = None
        self.attempts.setdefault(key, []).append(attempt)
        self.deadlines_s[attempt] = self.world.now_s + budget_s
        call = ttypes.ServiceCall(
            request_id="r",
            workspace="garden",
            service_name="bookings",
            method="POST",
            path="/deposits",
            idempotency_key=key,
            body=body,
            content_type="text/plain",
            budget_ms=int(budget_s * 1000),
        )
        task = asyncio.get_running_loop().create_task(self.calls.call(call))
        await asyncio.wait({task, self.lifetime_task}, return_when="FIRST_COMPLETED")
        self.attempts[key].remove(attempt)
        if not task.done() or task.cancelled():
            task.cancel()
            return None
        answer = task.exception() or task.result()
        self.world.answers[attempt] = answer
        if getattr(answer, "not_run", False) and not isinstance(
            answer, ERRORS_BEFORE_CLAIM
        ):
            assert not self.world.effects_of(key), answer
        return answer

    async def ready(self):
        await self.calls.wait_ready()

    # Interface of the client of the plain service.

    async def call(self, method, path, key, workspace, body, content_type, timeout_s):
        attempt = self.attempts[key][0]
        assert self.world.now_s < self.deadlines_s[attempt], "called too late"
        fault = await self._fault("call")
        if fault == "refused":
            raise ServiceNotReachedError("refused", not_run=True)
        if fault == "not_sent":
            raise ServiceOutcomeUnknownError("cut")
        if fault == "late":
            self.world.later(
                LATE_DELIVERY_S, lambda: self.world.effects.append((key, attempt))
            )
            raise ServiceOutcomeUnknownError("cut")
        self.world.effects.append((key, attempt))
        if fault == "answer_lost":
            raise ServiceOutcomeUnknownError("cut")
        await self._after(fault)
        return PlainReply(200, "text/plain", b"ran " + body)

    async def lookup(self, key):
        fault = await self._fault("lookup")
        if fault:
            raise ServiceNotReachedError("cut")
        if self.world.effects_of(key):
            return PlainReply(200, "text/plain", b"ran deposit")
        return None


def _kind(value):
    return json.loads(value)["t"]
