"""Fakes of the log and of the network between replicas."""

import random

import attrs

from sorrelhoist.clients.exceptions import (
    AppendOutcomeUnknownError,
    LogRateLimitedError,
    OffsetExpiredError,
)
from sorrelhoist.clients.log import Appended, LogPage, LogRecord
from sorrelhoist.exceptions import LogUnavailableError, PeerError
from sorrelhoist.messages import frames
from sorrelhoist.node.configuration import ConfigurationReplica
from sorrelhoist.node.configuration_options import ReplicaOptions
from sorrelhoist.standins.platform_log import Log

RETENTION_S = 1000.0


@attrs.frozen
class FakeMember:
    node_id: str
    failure_domain: str


@attrs.define
class FakeLog:
    log: Log = attrs.field(factory=Log)
    now_s: float = 0.0
    is_down: bool = False
    faults: list[str] = attrs.field(factory=list)
    append_hook: object = None

    def clock(self) -> float:
        return self.now_s

    def advance(self, duration_s: float) -> None:
        self.now_s += duration_s
        self.log.expire(self.now_s - RETENTION_S)

    async def append(self, values: list[str]) -> Appended:
        fault = self.faults.pop(0) if self.faults else ""
        if self.is_down:
            raise LogUnavailableError("down", not_run=True)
        if fault == "rate_limited":
            raise LogRateLimitedError("busy", not_run=True, retry_after_s=0.0)
        if fault == "lost_before":
            raise AppendOutcomeUnknownError("lost")
        first_offset = self.log.append(values, self.now_s)
        if fault == "down_after":
            self.is_down = True
        if fault in ("lost_after", "down_after"):
            raise AppendOutcomeUnknownError("lost")
        return Appended(first_offset, self.log.next_offset)

    async def read(
        self, from_offset: int, limit: int = 500, wait_s: float = 0.0
    ) -> LogPage:
        if self.is_down:
            raise LogUnavailableError("down", not_run=True)
        first_offset = self.log.first_offset
        if from_offset < first_offset:
            raise OffsetExpiredError(first_offset, "expired")
        records = tuple(
            LogRecord(item.offset, self.now_s - item.appended_at_s, item.value)
            for item in self.log.read(from_offset, limit)
        )
        return LogPage(records, first_offset, self.log.next_offset)


@attrs.define
class FakeNetwork:
    log: FakeLog = attrs.field(factory=FakeLog)
    replicas: dict[str, ConfigurationReplica] = attrs.field(factory=dict)
    cut: set[str] = attrs.field(factory=set)

    def add(self, node_id: str, **options: float) -> ConfigurationReplica:
        domain = node_id.partition("-")[0]
        replica = ConfigurationReplica(
            ReplicaOptions(node_id, domain, log_retention_s=RETENTION_S, **options),
            self.log,
            FakePeers(self, node_id),
            random.Random(node_id),
            clock=self.log.clock,
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
            raise PeerError("unreachable")
        request = frames.decode(frames.encode(frames.Message(1, body)))
        reply = frames.Message(1, replica.handle(request.body))
        return frames.decode(frames.encode(reply)).body
