"""System under soak: gateway processes, stand-ins behind proxies, and callers."""

import asyncio
import os
import random
import signal
import subprocess
import sys
import time
from collections import deque
from pathlib import Path

import attrs

from sorrelhoist.bench.fleet import free_port
from tests.platform.fleet import Fleet, configuration, read_answer, route
from tests.platform.standins import (
    Endpoint,
    Store,
    answer_bytes,
    chunk,
    echo_headers,
    event,
)
from tests.soak.faults import HOST, Proxy

ROOT = Path(__file__).parents[2]
REVOCATION_LIMIT_S = 5.0
EXIT_CODES = (None, 0, -signal.SIGKILL)
CALL_TIMEOUT_S = 4.0
DENIALS = (400, 404, 413, 422, 431)
LIMITS = {
    "max_header_bytes": 65_536,
    "max_body_bytes": 16 << 20,
    "header_timeout_ms": 2000,
    "idle_timeout_ms": 3000,
}
HEARTBEAT_S = 1.2
COPIES_KEPT = 4
"""Copies of the store, one at each heartbeat: up to five seconds old."""

STREAM_EVENTS = 8
SETTINGS = """
node = "{name}"
role = "gateway"
ip = "{ip}"
zone = "zone-a"
port_range = [{peer_port}, {peer_port}]
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[bounds]
revoke_ms = 5000
grace_period_s = 8
retry_ratio = 0.2
retry_slack = 100
retry_window_s = 10
[provider]
addr = "127.0.0.1:{store}"
"""

BASIC = b"Host: example.test\r\nX-Attempt-Id: ID\r\nX-Deadline-Ms: 3000\r\n"
AUTHORIZED = BASIC + b"Authorization: Token KEY\r\n"
KEPT = b"GET /look/1 HTTP/1.1\r\n" + AUTHORIZED + b"\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
ODD_REQUESTS = {
    "absolute form": KEPT.replace(b"/look", b"http://example.test/look"),
    "scheme in lower case": KEPT.replace(b"Token", b"token"),
    "fractional deadline": KEPT.replace(b"3000", b"3000.5"),
    "chunk extension": b"POST /look/1 HTTP/1.1\r\n" + AUTHORIZED + CHUNKED
    + b"5;a=b\r\nhello\r\n0\r\n\r\n",
    "trailer": b"POST /look/1 HTTP/1.1\r\n" + AUTHORIZED + CHUNKED
    + b"5\r\nhello\r\n0\r\nX-Sum: 5\r\n\r\n",
    "Latin-1 header": KEPT.replace(b"X-Dead", b"X-Name: Ka\xe1p\r\nX-Dead"),
    "long header": KEPT.replace(b"X-Dead", b"X-A: " + b"a" * 15_000 + b"\r\nX-Dead"),
    "empty line first": b"\r\n" + KEPT,
    "names in lower case": KEPT.replace(b"X-Attempt-Id", b"x-attempt-id"),
}  # fmt: skip


@attrs.define(eq=False)
class Process:
    """One gateway process."""

    name: str
    ip: str
    front: int
    ready: int
    environment: dict
    log: object
    running: subprocess.Popen | None = None
    exits: list = attrs.field(factory=list)
    """Exit codes of former runs."""

    is_end_asked: bool = False
    ended_alone: int = 0
    disturbed_s: float = 0.0
    """When it was last killed."""

    def start(self):
        self.note_exit()
        self.is_end_asked = False
        self.running = subprocess.Popen(
            [sys.executable, str(ROOT / "deploy" / "gateway.py")],
            stdout=self.log,
            stderr=self.log,
            env=self.environment,
        )

    def note_exit(self):
        """Note how the present run ended, if it did."""
        if self.running is not None and self.running.poll() is not None:
            self.exits.append(self.running.returncode)
            self.ended_alone += not self.is_end_asked

    def signal(self, number):
        if self.running.poll() is None:
            self.is_end_asked |= number == signal.SIGTERM
            self.running.send_signal(number)

    def kill(self):
        self.disturbed_s = time.monotonic()
        self.signal(signal.SIGCONT)
        self.is_end_asked = True
        if self.running.poll() is None:
            self.running.kill()
        self.running.wait()


@attrs.define(eq=False)
class ProxiedEndpoint(Endpoint):
    """An endpoint stand-in that is reached through a fault-injecting proxy."""

    service: str = ""
    state: str = "ready"
    proxy: Proxy | None = None
    notices: dict = attrs.field(factory=dict)
    """Headers in which it says something of itself."""

    pause_s: float = 0.0
    """If not zero, it turns requests away and asks for a pause of this length."""


@attrs.define(eq=False)
class EndpointRun:
    """One execution of a request at an endpoint."""

    request_id: str
    key: str
    path: str
    at_s: float


def own_network():
    """Return the first three numbers of loopback addresses of this process alone."""
    number = os.getpid() % (200 * 250)
    return f"127.{1 + number // 250}.{number % 250}"


@attrs.define(eq=False)
class World:
    """All processes, stand-ins and requests of a run, and the guarantees violated."""

    seed: int
    folder: Path
    gateways: int = 3
    network: str = attrs.field(factory=own_network)
    violations: list = attrs.field(factory=list)
    runs: list = attrs.field(factory=list)
    revoked_at_s: dict = attrs.field(factory=dict)
    served: int = 0
    attempted: int = 0
    version: int = 1
    limits: dict = attrs.field(factory=dict)
    keys: list = attrs.field(factory=lambda: ["key-0", "key-1"])
    processes: list = attrs.field(factory=list)
    endpoints: list = attrs.field(factory=list)
    proxies: list = attrs.field(factory=list)
    store: Store = attrs.field(factory=Store)
    store_copies: deque = attrs.field(factory=lambda: deque(maxlen=COPIES_KEPT))
    store_proxy: Proxy | None = None
    heartbeat_task: asyncio.Task | None = None
    rng: random.Random = attrs.field(init=False)
    faulty_endpoints: set = attrs.field(factory=set)

    def __attrs_post_init__(self):
        self.rng = random.Random(self.seed)

    async def start(self):
        await self.store.start()
        self.store_proxy = await Proxy(self.store.port).start()
        self.proxies.append(self.store_proxy)
        self.configure()
        for number in range(8):
            await self.add_endpoint("llm" if number < 5 else "app")
        peer_port = free_port()
        for number in range(self.gateways):
            self.start_gateway(number, peer_port)
        self.heartbeat_task = asyncio.ensure_future(self._send_heartbeats())

    def start_gateway(self, number, peer_port):
        # Each gateway has its own address, as on separate hosts.
        ip, front, ready = f"{self.network}.{number + 2}", free_port(), free_port()
        text = SETTINGS.format(
            name=f"gateway-{number}",
            ip=ip,
            peer_port=peer_port,
            front=front,
            ready=ready,
            store=self.store_proxy.port,
        )
        path = self.folder / f"gateway-{number}.toml"
        path.write_text(text)
        environment = os.environ | {"SORRELHOIST_SETTINGS": str(path)}
        log = (self.folder / f"gateway-{number}.log").open("ab")
        process = Process(f"gateway-{number}", ip, front, ready, environment, log)
        process.start()
        self.processes.append(process)

    async def add_endpoint(self, service):
        number = len(self.endpoints)
        endpoint = ProxiedEndpoint(
            endpoint_id=f"i-{self.seed}-{number}", service=service
        )
        endpoint.scripts = [self._script(endpoint)]
        await endpoint.start()
        endpoint.proxy = await Proxy(endpoint.port).start()
        self.proxies.append(endpoint.proxy)
        self.endpoints.append(endpoint)
        self.register(endpoint)

    def register(self, endpoint):
        entry = endpoint.entry(
            backend=endpoint.service,
            addr=f"{HOST}:{endpoint.proxy.port}",
            state=endpoint.state,
        )
        self.store.put("keyed.servers", endpoint.endpoint_id, entry)

    async def _send_heartbeats(self):
        while True:
            self.store_copies.append(self.store.copy())
            await asyncio.sleep(HEARTBEAT_S)
            for endpoint in self.endpoints:
                if endpoint.state != "gone":
                    self.register(endpoint)

    def write_again(self):
        """Write what the operator and the lapse of registrations had written."""
        self.configure()
        for endpoint in self.endpoints:
            if endpoint.state == "gone":
                self.store.put("keyed.servers", endpoint.endpoint_id, None)

    def configure(self):
        routes = [
            route("stream", "streaming", "llm", resumable=True, gap_target_ms=250),
            route("once", "non_idempotent", "app"),
            route("look", "idempotent", "app"),
        ]
        tenants = [{"name": f"tenant-{key}", "api_keys": [key]} for key in self.keys]
        self.store.put(
            "keyed.op",
            "config",
            configuration(
                self.version, routes=routes, tenants=tenants, limits=self.limits
            ),
        )

    def _script(self, endpoint):
        async def script(received, writer):
            headers = received.headers
            request_id = headers["x-attempt-id"]
            if endpoint.pause_s:
                refusal = [("X-Not-Executed", "1"), ("Retry-After", endpoint.pause_s)]
                writer.write(answer_bytes(503, refusal))
                await writer.drain()
                return
            key = headers.get("x-tenant", "").removeprefix("tenant-")
            now_s = time.monotonic()
            self.runs.append(EndpointRun(request_id, key, received.path, now_s))
            if endpoint in self.faulty_endpoints and self.rng.random() < 0.5:
                await self._faulty_answer(received, writer)
            elif received.path.startswith("/stream"):
                await self._stream(endpoint, received, writer)
            else:
                await asyncio.sleep(0.02)
                body = f"answer to {request_id}".encode()
                says = [*echo_headers(received), *endpoint.notices.items()]
                writer.write(answer_bytes(200, says, body))
                await writer.drain()

        return script

    async def _faulty_answer(self, received, writer):
        match self.rng.choice(["lost", "late", "other", "cut"]):
            case "lost":
                writer.transport.abort()
            case "late":
                await asyncio.sleep(3.0)
            case "other":
                headers = [("X-Response-Stamp", "s"), ("X-Attempt-Id", "another")]
                writer.write(answer_bytes(200, headers, b"another's"))
                await writer.drain()
            case "cut":
                writer.write(answer_bytes(200, echo_headers(received), b"x" * 50)[:-9])
                await writer.drain()

    async def _stream(self, endpoint, received, writer):
        first = int(received.headers.get("last-event-id", 0)) + 1
        headers = [*echo_headers(received), *endpoint.notices.items()]
        headers.append(("Transfer-Encoding", "chunked"))
        writer.write(answer_bytes(200, headers, length=False))
        for number in range(first, STREAM_EVENTS + 1):
            writer.write(chunk(event(number)))
            await writer.drain()
            await asyncio.sleep(0.05)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    # Callers

    async def send_request(self, kind):
        """Send one request and check its answer; return whether it was served."""
        request_id = self.rng.randbytes(8).hex()
        process = self.rng.choice(self.processes)
        key = self.rng.choice(self.keys)
        caller = Fleet(self.store, process.front, 0, None, None, None)
        self.attempted += 1
        method = "GET" if kind == "look" else "POST"
        sent_s = time.monotonic()
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                reader, writer = await caller.send(
                    f"/{kind}/1",
                    method,
                    b"body",
                    key,
                    request_id,
                    3000,
                    host=process.ip,
                )
                answer = await read_answer(reader, writer)
        except (OSError, TimeoutError):
            return False
        if not answer.status:
            self._check_lost(kind, request_id, process, sent_s)
        self._check(kind, request_id, answer)
        return answer.status == 200 and answer.is_complete

    async def send_odd_request(self):
        """Send a request in an odd but legal form; no 4xx may answer it."""
        request_id = self.rng.randbytes(8).hex()
        self.attempted += 1
        process = self.rng.choice(self.processes)
        name = self.rng.choice(list(ODD_REQUESTS))
        data = ODD_REQUESTS[name]
        data = data.replace(b"ID", request_id.encode())
        data = data.replace(b"KEY", self.rng.choice(self.keys).encode())
        sent_s = time.monotonic()
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    process.ip, process.front
                )
                writer.write(data)
                answer = await read_answer(reader, writer)
        except (OSError, TimeoutError):
            return
        if not answer.status:
            self._check_lost(name, request_id, process, sent_s)
        if answer.status in DENIALS:
            self.violations.append(f"denied: {answer.status} for {name}")
        self._check(name, request_id, answer)

    async def keep_connection(self, process, requests):
        """Send requests on one connection until it is closed, or all are sent."""
        try:
            async with asyncio.timeout(requests * CALL_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    process.ip, process.front
                )
                for _ in range(requests):
                    self.attempted += 1
                    request_id, sent_s = self.rng.randbytes(8).hex(), time.monotonic()
                    data = KEPT.replace(b"ID", request_id.encode())
                    writer.write(data.replace(b"KEY", self.keys[-1].encode()))
                    answer = await read_answer(reader, writer, keep_open=True)
                    if not answer.status:
                        self._check_lost("kept", request_id, process, sent_s)
                    self._check("kept", request_id, answer)
                    if not answer.is_complete or "close" in answer.headers.get(
                        "connection", ""
                    ):
                        break
                    await asyncio.sleep(self.rng.uniform(0.0, 0.3))
                writer.close()
        except (OSError, TimeoutError):
            pass

    def _check_lost(self, kind, request_id, process, sent_s):
        """Check a connection that ended without an answer: its request hasn't run."""
        if process.disturbed_s >= sent_s or process.running.poll() == -signal.SIGKILL:
            return
        if any(run.request_id == request_id for run in self.runs):
            self.violations.append(f"ran and lost: {kind} {request_id}")

    def _check(self, kind, request_id, answer):
        ran = [run for run in self.runs if run.request_id == request_id]
        if answer.status in (408, 421, 429, 503) and ran:
            self.violations.append(f"refused as not run, and ran: {kind} {request_id}")
        if answer.status != 200 or not answer.is_complete:
            return
        expected = f"answer to {request_id}".encode()
        if kind == "stream":
            expected = b"".join(event(number) for number in range(1, STREAM_EVENTS + 1))
        if answer.body != expected:
            self.violations.append(
                f"wrong answer: {kind} {request_id} {answer.body[:80]}"
            )
        self.served += 1

    def check_runs(self):
        """Check that no ``once`` request ran twice and none ran with a revoked key."""
        seen = {}
        for run in self.runs:
            if run.path.startswith("/once"):
                seen[run.request_id] = seen.get(run.request_id, 0) + 1
            key_revoked_at_s = self.revoked_at_s.get(run.key)
            if (
                key_revoked_at_s is not None
                and run.at_s > key_revoked_at_s + REVOCATION_LIMIT_S
            ):
                self.violations.append(f"ran with a key taken away: {run.request_id}")
        for process in self.processes:
            process.note_exit()
            codes = [code for code in process.exits if code not in EXIT_CODES]
            if codes or process.ended_alone:
                self.violations.append(
                    f"{process.name} ended: codes {codes}, "
                    f"{process.ended_alone} times by itself"
                )
        twice = [request_id for request_id, count in seen.items() if count > 1]
        self.violations += [f"ran twice: {request_id}" for request_id in twice]

    async def stop(self):
        self.heartbeat_task.cancel()
        for process in self.processes:
            process.kill()
            process.log.close()
        for endpoint in self.endpoints:
            await endpoint.stop()
        await self.store.stop()
