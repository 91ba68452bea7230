"""Starts a gateway with the command of the deploy file, and stand-ins around it."""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

CHECKOUT = Path(__file__).resolve().parents[1]
STANDINS = Path(__file__).with_name("standins.py")
IS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2

SETTINGS = """
node = "{name}"
role = "gateway"
machine_class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "{zone}"
region = "region-1"
port_range = [{peer}, {last_peer}]
bootstrap = true
heartbeat_ms = 1200
[zones]
zone-a = "region-1"
zone-b = "region-1"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[limits]
cpu_share = 0.817
cpu_cores = 1
memory_mb = {memory_mb}
max_fds = 4100
link_mbps = 1000.0
[bounds]
contact_ms = 3000
drain_ms = 2000
grace_period_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
revoke_ms = 5000
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 102
[provider]
addr = "{store}"
"""


class CannotRun(Exception):
    """The case can't run here."""


def free_port(ip="127.0.0.1"):
    """Return a port that is free now."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class World:
    """A store, workers and gateways, which end with the context."""

    def __init__(self, folder):
        self.folder = Path(folder)
        self.record_path = self.folder / "record.txt"
        self.record_path.write_text("")
        self.scratch = Path(tempfile.mkdtemp(prefix="review-"))
        self.processes = []
        self.store = ""
        os.environ["RECORD"] = str(self.record_path)

    def note(self, **fields):
        """Append a line to the record."""
        line = json.dumps({"at_s": round(time.monotonic(), 3)} | fields) + "\n"
        with self.record_path.open("a") as file:
            file.write(line)

    def standin(self, *arguments):
        """Start a stand-in; return its port."""
        process = subprocess.Popen(
            [sys.executable, str(STANDINS), *map(str, arguments)],
            stdout=subprocess.PIPE,
        )
        self.processes.append(process)
        line = process.stdout.readline()
        if not line.strip().isdigit():
            raise CannotRun(f"stand-in {arguments} didn't start")
        return int(line)

    def start_store(self):
        """Start the store."""
        self.store = f"127.0.0.1:{self.standin('store')}"

    async def put(self, topic, key, value):
        """Write a record as the operator does."""
        data, name = json.dumps(value).encode(), key.encode()
        content = bytes([len(name)]) + name + data
        body = struct.pack(">I", len(content)) + content
        host, port = self.store.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            b"POST /log-append?stream=%b&part=0 HTTP/1.1\r\nHost: store\r\n"
            b"Content-Length: %d\r\n\r\n%b" % (topic.encode(), len(body), body)
        )
        await reader.read(4096)
        writer.close()

    def worker(self, worker_id, service, *options):
        """Start a worker, which registers itself."""
        return self.standin(
            *("worker", "--id", worker_id, "--service", service),
            *("--store", self.store, "--born", int(time.time() * 1000), *options),
        )

    async def gateway(self, name="edge-1", memory_mb=300, zone="zone-a"):
        """Start a gateway as the deploy file says; wait until it is ready."""
        ip = f"127.{random.randrange(2, 250)}.{random.randrange(250)}.1"
        peer = free_port(ip)
        fields = {
            "name": name,
            "ip": ip,
            "zone": zone,
            "front": free_port(ip),
            "ready": free_port(ip),
            "peer": min(peer, 65000),
            "last_peer": min(peer, 65000) + 15,
            "memory_mb": memory_mb,
            "store": self.store,
        }
        path = self.scratch / f"{name}.toml"
        path.write_text(SETTINGS.format(**fields))
        deploy = tomllib.loads((CHECKOUT / "deploy" / "system.toml").read_text())
        log = (self.scratch / f"{name}.log").open("ab")
        process = subprocess.Popen(
            deploy["roles"]["gateway"]["run"].split(),
            cwd=CHECKOUT,
            stdout=log,
            stderr=log,
            env={
                **{k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ},
                "SORRELHOIST_SETTINGS": str(path),
                "PYTHONDONTWRITEBYTECODE": "1",
                "PYTHONPATH": str(CHECKOUT / "target" / "deps"),
            },
        )
        self.processes.append(process)
        gateway = Gateway(name, ip, fields["front"], fields["ready"], process, log.name)
        end_s = time.monotonic() + 20
        while time.monotonic() < end_s and process.poll() is None:
            if await gateway.is_ready():
                return gateway
            await asyncio.sleep(0.1)
        print(Path(log.name).read_text()[-2000:], file=sys.stderr)
        raise CannotRun("the gateway isn't ready")

    def close(self):
        """End all processes that were started."""
        for process in self.processes:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        shutil.rmtree(self.scratch, ignore_errors=True)


class Gateway:
    """A gateway process and its addresses."""

    def __init__(self, name, ip, front, ready, process, log):
        self.name, self.ip, self.front, self.ready = name, ip, front, ready
        self.process, self.log = process, log

    async def is_ready(self, wait_s=1.0):
        """Ask for readiness as the platform does."""
        try:
            async with asyncio.timeout(wait_s):
                reader, writer = await asyncio.open_connection(self.ip, self.ready)
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    def resident_mb(self):
        """Return the memory that the process has in use, in MB."""
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmRSS"):
                    return int(line.split()[1]) * 1024 / 1e6
        return 0.0

    async def call(
        self, world, path, wait_ms, method="POST", extra=(), body=b"{}", kept=None
    ):
        """Send a request; record and return its answer.

        It is sent on a connection of its own, or on a kept one (reader and writer).
        Returns a dict with the id, the status (None without an answer), whether the
        answer was whole, and the time until it was.
        """
        request_id = random.randbytes(8).hex()
        lines = [f"{method} {path} HTTP/1.1", "Host: demo.example"]
        lines += [f"X-Attempt-Id: {request_id}", f"X-Deadline-Ms: {wait_ms}"]
        lines += ["Authorization: Token key-1", *extra]
        lines += [] if kept else ["Connection: close"]
        lines.append(f"Content-Length: {len(body)}")
        data = ("\r\n".join(lines) + "\r\n\r\n").encode() + body
        world.note(who="client", what="sends", id=request_id, path=path, wait_ms=wait_ms)
        began_s, received = time.monotonic(), b""
        try:
            async with asyncio.timeout(wait_ms / 1000 + 1.5):
                reader, writer = kept or await asyncio.open_connection(
                    self.ip, self.front
                )
                writer.write(data)
                while part := await reader.read(65536):
                    received += part
                    if len(received) > 4_000_000 or (kept and is_whole(received)):
                        break
                if not kept:
                    writer.close()
        except (OSError, TimeoutError) as error:
            world.note(who="client", what="gives up", id=request_id, why=repr(error))
        status = None
        if received.startswith(b"HTTP/1.1 "):
            status = int(received[9:12])
        found = {
            "id": request_id,
            "path": path,
            "status": status,
            "is_whole": is_whole(received),
            "bytes": len(received),
            "took_s": round(time.monotonic() - began_s, 3),
        }
        world.note(who="client", what="gets", **found)
        return found | {"data": received}


def is_whole(data):
    """Return whether an answer is complete by its framing."""
    head, separator, body = data.partition(b"\r\n\r\n")
    if not separator:
        return False
    lower = head.lower()
    if b"transfer-encoding: chunked" in lower:
        return body.endswith(b"0\r\n\r\n")
    for line in lower.split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return len(body) == int(line.partition(b":")[2])
    return False


def route(name, service, kind, **fields):
    """Return a route for the paths that begin with its name."""
    return {
        "name": name,
        "host": "demo.example",
        "path_prefix": f"/{name}/",
        "backend": service,
        "kind": kind,
        "attempts": 2,
        "timeout_ms": 3000,
        "goal_ms": 300,
        "priority": 1,
    } | fields


def engine_runtime(capacity):
    """Return the costs of an engine, as the sheet of kasparek-hoist has them."""
    return {
        "capacity": capacity,
        "kv_capacity": 405000,
        "step_count": 34,
        "step_ms": 1.31,
        "per_seq_ms": 0.0,
        "context_per_k": 0.0,
        "read_per_s": 154000,
        "pairs_per_m": 0.162,
        "chunk": 2048,
    }


def configuration(version=1, **more):
    """Return a configuration with a repeatable, a plain and a streaming route."""
    return {
        "version": version,
        "routes": [
            route("look", "app", "idempotent"),
            route("once", "app", "non_idempotent"),
            route("draft", "llm", "streaming", gap_target_ms=250),
        ],
        "backends": [
            {"name": "app", "health_path": "/healthz", "max_conns": 100},
            {"name": "llm", "health_path": "/healthz", "max_conns": 400},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "tenant-1", "api_keys": ["key-1"]}],
    } | more


def run(folder, main):
    """Run a case; exit with 0 if the rule held, 1 if it was broken, 2 otherwise."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    world = World(folder)
    try:
        world.start_store()
        result = asyncio.run(asyncio.wait_for(main(world), 110))
    except (CannotRun, OSError, TimeoutError) as error:
        print(f"the case can't run: {error!r}")
        result = NOT_RUN
    finally:
        world.close()
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[result])
    raise SystemExit(result)
