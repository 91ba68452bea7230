"""Runs gateways as real processes on loopback, with stand-ins in the test's process."""

import asyncio
import contextlib
import json
import os
import random
import re
import signal
import subprocess
import sys
import time
from contextlib import asynccontextmanager
from pathlib import Path

import attrs

from sorrelhoist.bench.fleet import free_port
from tests.platform.fleet import configuration
from tests.platform.standins import Endpoint, Store, whole

CHECKOUT = Path(__file__).resolve().parents[2]
READ_BYTES = 65_536
POLL_S = 0.02
HEARTBEAT_S = 0.8
READY_TIMEOUT_S = 20.0
KILL_TIMEOUT_S = 5.0

SETTINGS = """
node = "{name}"
role = "gateway"
ip = "{ip}"
zone = "zone-a"
port_range = [{peer}, {last_peer}]
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[limits]
cpu_share = 0.8
cpu_cores = 1
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
[bounds]
revoke_ms = 5000
grace_period_s = {grace_s}
retry_ratio = 0.2
retry_slack = 100
retry_window_s = 10
[provider]
addr = "{store}"
"""


@attrs.define
class Reply:
    """What a caller's socket received until its end."""

    data: bytes = b""
    was_reset: bool = False
    was_refused: bool = False
    is_open: bool = False
    """Whether the connection was still open when the caller stopped waiting."""

    @property
    def statuses(self):
        """Status of each answer, without those of 1xx."""
        # An answer begins where the body of the one before it ends, on the same line.
        found = map(int, re.findall(rb"HTTP/1\.1 ([0-9]{3}) ", self.data))
        return [status for status in found if status >= 200]

    @property
    def status(self):
        return self.statuses[0] if self.statuses else None


@attrs.define(eq=False)
class RealGateway:
    """One gateway process, its settings file and its log."""

    folder: Path
    store_address: str
    name: str = "g1"
    grace_s: int = 8
    ip: str = attrs.field(
        factory=lambda: (
            f"127.{random.randrange(2, 250)}"
            f".{random.randrange(250)}.{random.randrange(2, 250)}"
        )
    )
    front: int = attrs.field(factory=free_port)
    ready: int = attrs.field(factory=free_port)
    peer: int = attrs.field(factory=free_port)
    process: subprocess.Popen | None = None
    checkout: Path = CHECKOUT

    @property
    def settings_path(self):
        return self.folder / f"{self.name}.toml"

    @property
    def log_path(self):
        return self.folder / f"{self.name}.log"

    def write_settings(self, **changes):
        """Write the settings file; ``changes`` replace text in it."""
        text = SETTINGS.format(
            name=self.name,
            ip=self.ip,
            front=self.front,
            ready=self.ready,
            peer=self.peer,
            last_peer=self.peer + 15,
            grace_s=self.grace_s,
            store=self.store_address,
        )
        for old, new in changes.items():
            text = text.replace(old, new)
        self.settings_path.write_text(text)

    def start(self, **options):
        """Start the process with options of `Popen`; don't wait for anything."""
        if not self.settings_path.exists():
            self.write_settings()
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, str(self.checkout / "deploy" / "gateway.py")],
                stdout=log,
                stderr=log,
                env=os.environ | {"SORRELHOIST_SETTINGS": str(self.settings_path)},
                **options,
            )
        return self

    def signal(self, number):
        self.process.send_signal(number)

    @property
    def is_running(self):
        return self.process.poll() is None

    async def exit_code(self, timeout_s):
        """Wait for the end of the process; return its exit code, None if it runs."""
        end_s = time.monotonic() + timeout_s
        while self.is_running and time.monotonic() < end_s:
            await asyncio.sleep(POLL_S)
        return self.process.poll()

    def kill(self):
        if self.process is not None:
            if self.is_running:
                self.process.kill()
            self.process.wait(KILL_TIMEOUT_S)

    async def is_ready(self):
        head = b"GET /readyz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        reply = await exchange(self.ip, self.ready, head, wait_s=2.0)
        return reply.status == 200

    async def wait_ready(self):
        """Wait until the process reports itself ready."""
        end_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end_s and self.is_running:
            if await self.is_ready():
                return
            await asyncio.sleep(POLL_S)
        raise AssertionError(f"not ready; log ends with: {self.log_text[-800:]}")

    async def wait_listening(self):
        """Wait until callers can connect."""
        end_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end_s:
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(self.ip, self.front)
                writer.close()
                return
            await asyncio.sleep(POLL_S)
        raise AssertionError("callers can't connect")

    async def call(self, *parts, wait_s=4.0, pause_s=0.2):
        """Send bytes on a connection of its own and return what comes back."""
        return await exchange(
            self.ip, self.front, *parts, wait_s=wait_s, pause_s=pause_s
        )

    @property
    def log_text(self):
        return self.log_path.read_text(errors="replace")

    def events(self, name):
        """Return the log lines with an event name, as dicts."""
        found = []
        for line in self.log_text.splitlines():
            with contextlib.suppress(ValueError):
                fields = json.loads(line)
                if isinstance(fields, dict) and fields.get("event") == name:
                    found.append(fields)
        return found


async def exchange(ip, port, *parts, wait_s=4.0, pause_s=0.2):
    """Send parts with pauses between them; read until the end or the time is up."""
    try:
        reader, writer = await asyncio.open_connection(ip, port)
    except ConnectionRefusedError:
        return Reply(was_refused=True)
    except ConnectionResetError:
        return Reply(was_reset=True)
    reply = Reply()

    async def send():
        for number, part in enumerate(parts):
            if number:
                await asyncio.sleep(pause_s)
            writer.write(part)
            await writer.drain()

    sending = asyncio.ensure_future(send())
    try:
        async with asyncio.timeout(wait_s):
            while data := await reader.read(READ_BYTES):
                reply.data += data
    except TimeoutError:
        reply.is_open = True
    except ConnectionError:
        reply.was_reset = True
    finally:
        sending.cancel()
        with contextlib.suppress(asyncio.CancelledError, ConnectionError):
            await sending
        writer.close()
    return reply


def head(
    path="/look/1",
    method="GET",
    extra=(),
    request_id=None,
    host="example.test",
    version="1.1",
    authorization="Token key-1",
    wait_ms=3000,
    close=True,
):
    """Return the head of a caller's request."""
    lines = [f"{method} {path} HTTP/{version}", f"Host: {host}"]
    lines.append(f"X-Attempt-Id: {request_id or random.randbytes(8).hex()}")
    lines.append(f"X-Deadline-Ms: {wait_ms}")
    if authorization:
        lines.append(f"Authorization: {authorization}")
    if path.startswith("/stream"):
        lines += ["X-Token-Count: 5000,200", "X-Model: m"]
    lines += extra
    if close:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def post(path="/once/1", body=b"z", **more):
    """Return a request with a body of known length."""
    extra = [*more.pop("extra", ()), f"Content-Length: {len(body)}"]
    return head(path, "POST", extra=extra, **more) + body


@attrs.define(eq=False)
class World:
    """A store, endpoints that renew their entries, and gateways."""

    folder: Path
    store: Store
    endpoints: dict = attrs.field(factory=dict)
    services: dict = attrs.field(factory=dict)
    gateways: list = attrs.field(factory=list)
    version: int = 1

    async def add_endpoint(self, name, service, *scripts):
        endpoint = Endpoint(endpoint_id=name, scripts=list(scripts) or [whole()])
        await endpoint.start()
        self.endpoints[name], self.services[name] = endpoint, service
        self.renew()
        return endpoint

    def renew(self):
        for name, endpoint in self.endpoints.items():
            entry = endpoint.entry(backend=self.services[name])
            self.store.put("keyed.servers", name, entry)

    async def beat(self):
        while True:
            self.renew()
            await asyncio.sleep(HEARTBEAT_S)

    def configure(self, **more):
        """Write the next version of the configuration."""
        self.version += 1
        self.store.put("keyed.op", "config", configuration(self.version, **more))

    def gateway(self, name="g1", **more):
        """Return a gateway that isn't started yet."""
        found = RealGateway(
            folder=self.folder, store_address=self.store.address, name=name, **more
        )
        self.gateways.append(found)
        return found

    async def start(self, name="g1", **more):
        """Start a gateway and wait until it is ready."""
        found = self.gateway(name, **more).start()
        await found.wait_ready()
        return found

    def scripts(self, service, *scripts):
        """Set the answers of all endpoints of a service."""
        for name, endpoint in self.endpoints.items():
            if self.services[name] == service:
                endpoint.scripts = list(scripts)

    def runs(self, request_id):
        """Count how often endpoints received a request."""
        received = (one for e in self.endpoints.values() for one in e.requests)
        return sum(one.headers.get("x-attempt-id") == request_id for one in received)


@asynccontextmanager
async def running_world(folder, **more):
    """Run a store and two endpoints of each service; end all gateways on exit."""
    store = await Store().start()
    store.put("keyed.op", "config", configuration(**more))
    world = World(Path(folder), store)
    beat = None
    try:
        for service, kind in (("app", "a"), ("llm", "l")):
            for number in (1, 2):
                await world.add_endpoint(f"i-{kind}{number}", service)
        beat = asyncio.ensure_future(world.beat())
        yield world
    finally:
        for gateway in world.gateways:
            gateway.kill()
        if beat is not None:
            beat.cancel()
        for endpoint in world.endpoints.values():
            await endpoint.stop()
        await store.stop()


def run_in_world(folder, main, timeout_s=60.0, **more):
    """Run a test's coroutine function in a world."""

    async def run():
        async with asyncio.timeout(timeout_s), running_world(folder, **more) as world:
            await main(world)

    asyncio.run(run())


STOP, RELOAD = signal.SIGTERM, signal.SIGHUP
