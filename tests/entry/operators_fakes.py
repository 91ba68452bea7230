"""Operator API on loopback, over a fake log."""

import asyncio
import hashlib
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import attrs
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application

from sorrelhoist.entry.operators import OperatorServices, operator_handlers
from sorrelhoist.node.configuration import ConfigurationReplica
from sorrelhoist.node.configuration_apply import ConfigurationApplier
from sorrelhoist.node.configuration_options import ReplicaOptions
from tests.node.configuration_fakes import FakeLog

KEY = "operator-key"


class NoPeers:
    def members(self) -> list:
        return []

    async def call(self, member: object, body: object, timeout_s: float) -> object:
        raise AssertionError("there is nobody to call")


@attrs.define
class OperatorsFake:
    address: str
    log: FakeLog
    replica: ConfigurationReplica
    status: dict[str, Any]


@asynccontextmanager
async def running_operators(**timeouts: float) -> AsyncIterator[OperatorsFake]:
    log = FakeLog(asyncio.get_running_loop())
    options = ReplicaOptions("entry-1", "praha-a")
    replica = ConfigurationReplica(options, log, NoPeers(), random.Random(1))
    status: dict[str, Any] = {"alarms": []}
    services = OperatorServices(
        replica,
        ConfigurationApplier(replica, **timeouts),
        [hashlib.sha256(KEY.encode()).hexdigest()],
        status=lambda: status,
        dump=replica.dump,
    )
    sock, port = bind_unused_port()
    server = HTTPServer(Application(operator_handlers(services)))
    server.add_sockets([sock])
    try:
        yield OperatorsFake(f"127.0.0.1:{port}", log, replica, status)
    finally:
        server.stop()
        await server.close_all_connections()
