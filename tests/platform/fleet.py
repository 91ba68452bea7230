"""Runs a gateway in this process with stand-ins for the store and the endpoints."""

import asyncio
import contextlib
import random
import time
from contextlib import asynccontextmanager

import attrs
import h11

from sorrelhoist.bench.fleet import free_port
from sorrelhoist.decisions.store_contact import StoreContact
from sorrelhoist.gateway.app import Addresses, Gateway
from sorrelhoist.gateway.peer_exchange import running
from sorrelhoist.gateway.state import GatewayState
from sorrelhoist.platform.dialect import PlatformDialect
from sorrelhoist.platform.settings import PlatformSettings
from sorrelhoist.platform.source import PlatformSource
from tests.platform.standins import HOST, READ_BYTES, Endpoint, Store

KEY = "key-1"
WAIT_TIMEOUT_S = 10.0
RUNTIME = {
    "capacity": 8,
    "kv_capacity": 405_000,
    "step_count": 34,
    "step_ms": 1.31,
    "read_per_s": 154_000.0,
    "pairs_per_m": 0.162,
    "hop_ms": 0.1,
}


def route(name, kind, service, **more):
    return {
        "name": name,
        "host": "example.test",
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 3000,
        "goal_ms": 300,
        "priority": 1,
        "backend": service,
        "attempts": 2,
        "public": False,
    } | more


def configuration(version=1, keys=(KEY,), routes=None, **more):
    """Return a configuration with a streaming, a non-idempotent and a lookup route."""
    stream = route("stream", "streaming", "llm", resumable=True, gap_target_ms=250)
    return {
        "version": version,
        "routes": routes
        or [
            stream,
            route("once", "non_idempotent", "app"),
            route("look", "idempotent", "app"),
        ],
        "backends": [
            {"name": "llm", "health_path": "/healthz", "runtime": RUNTIME},
            {"name": "app", "health_path": "/healthz"},
        ],
        "limits": {},
        "tenants": [{"name": "tenant-1", "api_keys": list(keys)}],
    } | more


@attrs.define(eq=False)
class Answer:
    """Answer that a caller received."""

    status: int = 0
    headers: dict = attrs.field(factory=dict)
    body: bytes = b""
    is_complete: bool = False
    took_s: float = 0.0


@attrs.define(eq=False)
class Fleet:
    """One gateway with its store and endpoints."""

    store: Store
    front_port: int
    ready_port: int
    state: GatewayState
    gateway: Gateway
    main: asyncio.Task
    exchange: object = None
    endpoints: list = attrs.field(factory=list)

    async def add(self, *scripts, service="llm", name=None, **entry):
        """Start an endpoint and wait until the gateway has it in its directory."""
        endpoint_id = name or f"i-{len(self.endpoints) + 1}"
        endpoint = Endpoint(endpoint_id=endpoint_id, scripts=list(scripts))
        await endpoint.start()
        self.endpoints.append(endpoint)
        self.register(endpoint, backend=service, **entry)
        now = asyncio.get_running_loop().time
        await until(lambda: self.knows(endpoint, service, now()))
        return endpoint

    def register(self, endpoint, **entry):
        self.store.put("keyed.servers", endpoint.endpoint_id, endpoint.entry(**entry))

    def is_reader(self, now_s):
        return self.exchange.freshness.is_reader(now_s)

    def knows(self, endpoint, service, now_s):
        usable = self.state.directory.usable(service, now_s)
        return endpoint.endpoint_id in {one.endpoint_id for one in usable}

    async def configure(self, value):
        """Write a configuration and wait until the gateway has applied it."""
        self.store.put("keyed.op", "config", value)
        await until(
            lambda: self.state.table and self.state.table.version >= value["version"]
        )

    async def fetch(self, path="/look/1", method="GET", body=b"", **more):
        """Send a request as a caller and read its answer."""
        reader, writer = await self.send(path, method, body, **more)
        return await read_answer(reader, writer)

    async def send(
        self,
        path="/look/1",
        method="GET",
        body=b"",
        key=KEY,
        request_id=None,
        wait_ms=2000,
        headers=(),
        size="5000,200",
        host=HOST,
    ):
        reader, writer = await asyncio.open_connection(host, self.front_port)
        lines = [
            f"{method} {path} HTTP/1.1",
            "Host: example.test",
            f"X-Attempt-Id: {request_id or random.randbytes(8).hex()}",
            f"X-Deadline-Ms: {wait_ms}",
        ]
        if key:
            lines.append(f"Authorization: Token {key}")
        if path.startswith("/stream"):
            lines += [f"X-Token-Count: {size}", "X-Model: m"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        return reader, writer

    async def stream(self, **more):
        """Send a streaming request and read its answer."""
        return await self.fetch("/stream/1", "POST", b"prompt", **more)

    async def is_ready(self):
        reader, writer = await asyncio.open_connection(HOST, self.ready_port)
        writer.write(b"GET /readyz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
        return (await read_answer(reader, writer)).status == 200


async def read_answer(reader, writer, first_only=False, keep_open=False):
    """Read one answer; it is incomplete if the connection ends early."""
    protocol = h11.Connection(h11.CLIENT)
    protocol.send(h11.Request(method="GET", target="/", headers=[("Host", "a")]))
    protocol.send(h11.EndOfMessage())
    answer, started_s = Answer(), time.monotonic()
    try:
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                protocol.receive_data(await reader.read(READ_BYTES))
            elif isinstance(event, h11.Response):
                answer.status = event.status_code
                answer.headers = {
                    n.decode().lower(): v.decode() for n, v in event.headers
                }
            elif isinstance(event, h11.Data):
                answer.body += bytes(event.data)
                if first_only:
                    break
            elif isinstance(event, h11.EndOfMessage):
                answer.is_complete = True
                break
            else:
                break
    except (h11.RemoteProtocolError, ConnectionError):
        pass
    answer.took_s = time.monotonic() - started_s
    if not first_only and not keep_open:
        writer.close()
    return answer


async def until(condition):
    """Wait until a condition is true."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.01)


def settings_for(store, front_port, ready_port, **more):
    values = {
        "node_id": "gateway-1",
        "role": "gateway",
        "failure_domain": "zone-a",
        "address": HOST,
        "front_address": f"{HOST}:{front_port}",
        "ready_address": f"{HOST}:{ready_port}",
        "peer_port": free_port(),
        "metrics_port": free_port(),
        "store_address": store.address,
        "revoke_s": 5.0,
        "grace_s": 8.0,
        "retry_ratio": 0.2,
        "retry_slack": 100.0,
        "retry_window_s": 10.0,
    }
    return PlatformSettings(**values | more)


@asynccontextmanager
async def running_gateway(store, **settings):
    """Run one gateway connected to a store."""
    found = settings_for(store, free_port(), free_port(), **settings)
    state = GatewayState(
        node_id=found.node_id,
        failure_domain=found.failure_domain,
        contact=StoreContact(found.revoke_s),
        rng=random.Random(found.node_id),
        limits=found.limits,
    )
    fleet = None

    async def follow(exchange):
        await until(lambda: fleet is not None)
        fleet.exchange = exchange
        await PlatformSource(found, state, exchange).run()

    gateway = Gateway(
        state=state,
        dialect=PlatformDialect(),
        addresses=Addresses(
            host=HOST,
            front=found.front_address,
            ready=found.ready_address,
            peer_port=found.peer_port,
            metrics_port=found.metrics_port,
        ),
        grace_s=found.grace_s,
        boot_ms=int(time.time() * 1000),
        follow=follow,
        reload=lambda: None,
    )
    with running(gateway.run()) as main:
        fleet = Fleet(
            store,
            int(found.front_address.rpartition(":")[2]),
            int(found.ready_address.rpartition(":")[2]),
            state,
            gateway,
            main,
        )
        yield fleet
    with contextlib.suppress(asyncio.CancelledError):
        await main


@asynccontextmanager
async def running_fleet(first=None, **settings):
    """Run a gateway with a store and an applied configuration."""
    store = await Store().start()
    store.put("keyed.op", "config", first or configuration())
    async with running_gateway(store, **settings) as fleet:
        await until(lambda: fleet.state.table is not None)
        yield fleet
        for endpoint in fleet.endpoints:
            await endpoint.stop()
        await store.stop()


def run_with_fleet(main, **settings):
    """Run a test's coroutine function with a running fleet."""

    async def run():
        async with asyncio.timeout(60.0), running_fleet(**settings) as fleet:
            await main(fleet)

    asyncio.run(run())
