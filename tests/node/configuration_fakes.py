"""Fakes of the log and of the network between replicas, on virtual time."""

import asyncio
import random
from collections.abc import Coroutine
from typing import Any

import attrs

from sorrelhoist.clients.exceptions import (
    AppendOutcomeUnknownError,
    LogRateLimitedError,
    OffsetExpiredError,
)
from sorrelhoist.clients.log import Appended, LogPage, LogRecord
from sorrelhoist.decisions.documents import DocumentSet, FailureDomain
from sorrelhoist.exceptions import LogUnavailableError, PeerError
from sorrelhoist.messages import frames
from sorrelhoist.node.configuration import ConfigurationReplica
from sorrelhoist.node.configuration_apply import ConfigurationApplier, Proposal
from sorrelhoist.node.configuration_options import ReplicaOptions
from sorrelhoist.standins.platform_log import Log
from tests.virtual_loop import VirtualLoop

RETENTION_S = 1000.0


def domains(**states: str) -> DocumentSet:
    documents = [FailureDomain(name, state=state) for name, state in states.items()]
    return DocumentSet.from_documents(documents)


@attrs.frozen
class FakeMember:
    node_id: str
    failure_domain: str


@attrs.define
class FakeLog:
    """In-memory log; each append consumes one of `faults`.

    `history` retains all records without expiry. Records in `racing`, as if from
    another process, are appended just before the next append.
    """

    loop: VirtualLoop
    log: Log = attrs.field(factory=Log)
    history: list[str] = attrs.field(factory=list)
    is_down: bool = False
    faults: list[str] = attrs.field(factory=list)
    racing: list[str] = attrs.field(factory=list)

    def put(self, values: list[str]) -> int:
        self.history.extend(values)
        return self.log.append(values, self.loop.time())

    async def append(self, values: list[str]) -> Appended:
        fault = self.faults.pop(0) if self.faults else ""
        if self.is_down:
            raise LogUnavailableError("down", not_run=True)
        if fault == "rate_limited":
            raise LogRateLimitedError("busy", not_run=True, retry_after_s=1.0)
        self.put(self.racing)
        self.racing = []
        if fault != "lost_before":
            first_offset = self.put(values)
        if fault == "down_after":
            self.is_down = True
        if fault:
            raise AppendOutcomeUnknownError("lost")
        return Appended(first_offset, self.log.next_offset)

    async def read(
        self, from_offset: int, limit: int = 500, wait_s: float = 0.0
    ) -> LogPage:
        if from_offset >= self.log.next_offset:
            await asyncio.sleep(wait_s)
        self.log.expire(self.loop.time() - RETENTION_S)
        if self.is_down:
            raise LogUnavailableError("down", not_run=True)
        first_offset = self.log.first_offset
        if from_offset < first_offset:
            raise OffsetExpiredError(first_offset, "expired")
        now_s = self.loop.time()
        records = tuple(
            LogRecord(item.offset, now_s - item.appended_at_s, item.value)
            for item in self.log.read(from_offset, limit)
        )
        return LogPage(records, first_offset, self.log.next_offset)


class FakeNetwork:
    """Network of replicas named DOMAIN-NUMBER; those in `cut` are partitioned off."""

    def __init__(self) -> None:
        self.loop = VirtualLoop()
        self.log = FakeLog(self.loop)
        self.replicas: dict[str, ConfigurationReplica] = {}
        self.cut: set[str] = set()

    def run(self, work: Coroutine[Any, Any, Any]) -> Any:
        return self.loop.run_until_complete(work)

    def advance_time(self, duration_s: float) -> None:
        self.run(asyncio.sleep(duration_s))

    def step(self, *node_ids: str) -> None:
        for node_id in node_ids or tuple(self.replicas):
            self.run(self.replicas[node_id].step())

    def settle(self) -> None:
        """Let the background tasks finish."""
        self.run(asyncio.sleep(0.001))

    def gossip(self, sender: str, receiver: str) -> None:
        if {sender, receiver} & self.cut:
            return
        digest = self.replicas[sender].digest()

        async def deliver() -> None:
            self.replicas[receiver].on_digest(self.member(sender), digest)
            await asyncio.sleep(0.001)

        self.run(deliver())

    def apply(self, node_id: str, documents: DocumentSet, apply_id: str, **more: Any):
        applier = ConfigurationApplier(self.replicas[node_id])
        return self.run(applier.apply(Proposal(apply_id, documents, **more)))

    def add(self, node_id: str, **options: float) -> ConfigurationReplica:
        domain = self.member(node_id).failure_domain
        replica = ConfigurationReplica(
            ReplicaOptions(node_id, domain, log_retention_s=RETENTION_S, **options),
            self.log,
            FakePeers(self, node_id),
            random.Random(node_id),
            clock=self.loop.time,
        )
        self.replicas[node_id] = replica
        return replica

    def member(self, node_id: str) -> FakeMember:
        return FakeMember(node_id, node_id.partition("-")[0])


@attrs.define
class FakePeers:
    network: FakeNetwork
    node_id: str

    def members(self) -> list[FakeMember]:
        others = sorted(set(self.network.replicas) - {self.node_id})
        return [self.network.member(node_id) for node_id in others]

    async def call(self, member: FakeMember, body: object, timeout_s: float) -> object:
        replica = self.network.replicas.get(member.node_id)
        if replica is None or {self.node_id, member.node_id} & self.network.cut:
            await asyncio.sleep(timeout_s)
            raise PeerError("unreachable")
        request = frames.decode(frames.encode(frames.Message(1, body)))
        reply = frames.Message(1, replica.handle(request.body))
        return frames.decode(frames.encode(reply)).body
