"""Odd but legal answers of endpoints and of the store, at a real gateway process."""

import asyncio
import contextlib
import os
import signal
import subprocess
import sys

import pytest

from sorrelhoist.bench.fleet import free_port
from tests.platform.real_gateway import CHECKOUT, head, post, run_in_world
from tests.platform.standins import Endpoint, Store, all_events, chunk, whole

pytestmark = pytest.mark.process

HEAD = b"HTTP/1.1 200 OK\r\nX-Response-Stamp: s\r\n"
LENGTH = b"Content-Length: 5\r\n"
CHUNKS = b"Transfer-Encoding: chunked\r\n"
LONG = b"X-Long: " + b"v" * 30_000 + b"\r\n"

ODD = {
    "early hints first": b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
    + HEAD + LENGTH + b"\r\nhello",
    "two continues first": b"HTTP/1.1 100 Continue\r\n\r\n" * 2
    + HEAD + LENGTH + b"\r\nhello",
    "trailers": HEAD + CHUNKS + b"\r\n5\r\nhello\r\n0\r\nX-Sum: 5\r\nX-B: 1\r\n\r\n",
    "chunk extensions": HEAD + CHUNKS + b'\r\n2;a="b"\r\nhe\r\n3;d\r\nllo\r\n0\r\n\r\n',
    "upper-case chunk sizes": HEAD + CHUNKS + b"\r\n0005\r\nhello\r\n000\r\n\r\n",
    "no length": HEAD + b"\r\nhello",
    "HTTP/1.0": HEAD.replace(b"1.1", b"1.0") + b"\r\nhello",
    "Keep-Alive": HEAD + LENGTH + b"Keep-Alive: timeout=5\r\n\r\nhello",
    "names in lower case": (HEAD + LENGTH).lower().replace(b"http/1.1", b"HTTP/1.1")
    + b"\r\nhello",
    "names in upper case": HEAD + LENGTH.upper() + b"\r\nhello",
    "no space after the colon": HEAD + b"Content-Length:5\r\n\r\nhello",
    "spaces around a value": HEAD + b"Content-Length: \t 5 \t\r\n\r\nhello",
    "empty value": HEAD + LENGTH + b"X-Empty:\r\n\r\nhello",
    "Latin-1 in a value": HEAD + LENGTH + b"X-Name: Ka\xe1p\r\n\r\nhello",
    "UTF-8 in a value": HEAD + LENGTH + "X-Name: Kašpárek\r\n\r\nhello".encode(),
    "Latin-1 in the reason": HEAD.replace(b"OK", b"G\xfct") + LENGTH + b"\r\nhello",
    "empty reason": HEAD.replace(b"OK", b"") + LENGTH + b"\r\nhello",
    "a long header": HEAD + LENGTH + LONG + b"\r\nhello",
    "the same length twice": HEAD + LENGTH + LENGTH + b"\r\nhello",
    "bytes after the answer": HEAD + LENGTH + b"\r\nhelloHTTP/1.1 200 OK\r\n\r\n",
}  # fmt: skip


def sends(data, step=None):
    """Send bytes as they are, or in steps of some bytes."""

    async def script(received, writer):
        for start in range(0, len(data), step or len(data)):
            writer.write(data[start : start + (step or len(data))])
            await writer.drain()
            if step:
                await asyncio.sleep(0.002)

    return script


def content(reply):
    """Return the content of an answer with a length, or of one that ends."""
    found, _, body = reply.data.partition(b"\r\n\r\n")
    if b"transfer-encoding: chunked" in found.lower():
        assert body.endswith(b"0\r\n\r\n")
        return b"".join(body.split(b"\r\n")[1::2])
    return body


def test_odd_but_legal_answers_are_relayed_whole(tmp_path):
    async def main(world):
        gateway = await world.start()
        failed = {}
        for name, data in ODD.items():
            for step in (None, 7) if len(data) < 1000 else (None,):
                world.scripts("app", sends(data, step))
                reply = await gateway.call(post())
                if (reply.status, content(reply)) != (200, b"hello"):
                    failed[f"{name}, {step}"] = reply.data[-200:]
        assert not failed
        assert not gateway.events("internal_error")

    run_in_world(tmp_path, main)


@pytest.mark.parametrize("status", [201, 204, 206, 299, 302, 304, 404, 410, 500, 599])
def test_the_status_of_an_endpoint_is_relayed(tmp_path, status):
    async def main(world):
        gateway = await world.start()
        has_body = status not in (204, 304)
        data = f"HTTP/1.1 {status} x\r\nX-Response-Stamp: s\r\n".encode()
        data += LENGTH + b"\r\nhello" if has_body else b"\r\n"
        world.scripts("app", sends(data))
        reply = await gateway.call(post())
        assert reply.status == status
        assert content(reply) == (b"hello" if has_body else b"")

    run_in_world(tmp_path, main)


class EarlyEndpoint(Endpoint):
    """Answers once it has read a head, then reads the body slowly, or not at all."""

    answer = HEAD + LENGTH + b"\r\nhello"
    reads_on = True

    async def _connected(self, reader, writer):
        self._writers.add(writer)
        with contextlib.suppress(asyncio.IncompleteReadError):
            self.received.append(await reader.readuntil(b"\r\n\r\n"))
            writer.write(self.answer)
        while self.reads_on and await reader.read(4096):
            await asyncio.sleep(0.005)
        writer.close()  # a reset, if something wasn't read


async def replace_endpoints(world, early):
    """Let all requests of the service "app" go to one endpoint."""
    await early.start()
    for name in [n for n, service in world.services.items() if service == "app"]:
        del world.endpoints[name]
        world.store.put("keyed.servers", name, None)
    world.endpoints["i-early"], world.services["i-early"] = early, "app"
    world.renew()


def test_an_endpoint_may_answer_before_it_has_read_the_body(tmp_path):
    async def main(world):
        early = EarlyEndpoint(endpoint_id="i-early")
        await replace_endpoints(world, early)
        gateway = await world.start()
        reply = await gateway.call(post(body=b"x" * 2_000_000))
        assert (reply.status, content(reply)) == (200, b"hello")
        assert (await gateway.call(post())).status == 200
        assert len(early.received) == 2

    run_in_world(tmp_path, main)


@pytest.mark.parametrize(
    ("answer", "status"),
    [
        (b"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", 503),
        (HEAD + LENGTH + b"\r\nhello", 200),
        (HEAD + b"\r\nhello", 502),
    ],
    ids=["not run", "whole", "without a length, so perhaps cut"],
)
def test_an_answer_before_a_reset_is_not_lost_with_the_rest_of_the_body(
    tmp_path, answer, status
):
    async def main(world):
        early = EarlyEndpoint(endpoint_id="i-early")
        early.answer, early.reads_on = answer, False
        await replace_endpoints(world, early)
        gateway = await world.start()
        body = b"x" * 2_000_000
        replies = [await gateway.call(post(body=body)) for _ in range(8)]
        assert [reply.status for reply in replies] == [status] * 8

    run_in_world(tmp_path, main)


# The store


def in_form(form):
    """Return a method with which the store answers in another legal form."""
    serve = Store.serve

    class Collector:
        def __init__(self):
            self.data = b""

        def write(self, data):
            self.data += data

        async def drain(self):
            pass

    async def serve_in_form(self, received, writer, reader):
        collector = Collector()
        await serve(self, received, collector, reader)
        start, _, body = collector.data.partition(b"\r\n\r\n")
        match form:
            case "byte by byte":
                for byte in collector.data:
                    writer.write(bytes([byte]))
                    await writer.drain()
                    await asyncio.sleep(0)
                return
            case "chunks":
                lines = [one for one in start.split(b"\r\n") if b"Length" not in one]
                start = b"\r\n".join([*lines, CHUNKS.strip()])
                pieces = (body[at : at + 50] for at in range(0, len(body), 50))
                body = b"".join(map(chunk, pieces)) + b"0\r\n\r\n"
            case "HTTP/1.0":
                start = start.replace(b"HTTP/1.1", b"HTTP/1.0")
            case "no length":
                lines = [one for one in start.split(b"\r\n") if b"Length" not in one]
                start = b"\r\n".join([*lines, b"Connection: close"])
            case "Connection: close":
                start += b"\r\nConnection: close"
        writer.write(start + b"\r\n\r\n" + body)

    return serve_in_form


@pytest.mark.parametrize(
    "form", ["byte by byte", "chunks", "HTTP/1.0", "no length", "Connection: close"]
)
def test_the_store_may_answer_in_any_legal_form(tmp_path, monkeypatch, form):
    monkeypatch.setattr(Store, "serve", in_form(form))

    async def main(world):
        gateway = await world.start()
        assert (await gateway.call(head())).status == 200
        world.configure(tenants=[{"name": "tenant-2", "api_keys": ["key-9"]}])
        await asyncio.sleep(2.0)
        assert (await gateway.call(head())).status == 401
        assert (await gateway.call(head(authorization="Token key-9"))).status == 200

    run_in_world(tmp_path, main)


ODD_ENTRIES = [
    b"",
    b"null",
    b"[]",
    b"7",
    b'"text"',
    b"\xff\xfe\x00",
    b"{",
    b'{"backend":"app"}',
    b'{"backend":["app"],"addr":7,"zone":null,"state":"ready"}',
    b'{"backend":"app","addr":"999.1.1.1:99999","state":"ready","capacity":1}',
    b'{"backend":"app","addr":"127.0.0.1:1","state":"odd","capacity":1e999}',
    b'{"backend":"app","addr":"127.0.0.1:1","zone":"z","state":"ready",'
    b'"capacity":-5,"cold_left_ms":"x","sequence":NaN,"born":"x"}',
    b"[" * 5_000,
    b'{"version":999,"routes":[]}',
]


def test_records_of_another_writer_end_nothing_and_name_no_endpoint(tmp_path):
    async def main(world):
        gateway = await world.start()
        for number, entry in enumerate(ODD_ENTRIES):
            for topic in ("keyed.servers", "keyed.status", "keyed.op"):
                world.store.put(topic, f"odd-{number}", entry)
            world.store.put("keyed.op", f"evacuate/odd-{number}", entry)
        await asyncio.sleep(1.5)
        calls = [gateway.call(head()) for _ in range(20)]
        answers = [one.status for one in await asyncio.gather(*calls)]
        assert answers.count(200) == 20
        assert gateway.is_running
        again = await world.start("g2")
        assert (await again.call(head())).status == 200

    run_in_world(tmp_path, main)


def test_versions_in_quick_series_never_deny_what_they_all_allow(tmp_path):
    async def main(world):
        gateway = await world.start()
        answers = []

        async def write():
            for number in range(60):
                keys = ["key-1", f"key-{number + 2}"]
                tenants = [{"name": "tenant-1", "api_keys": keys}]
                world.configure(tenants=tenants)
                if number % 5 == 0:  # an older version, and an unreadable one
                    entry = ODD_ENTRIES[number % len(ODD_ENTRIES)]
                    world.store.put("keyed.op", "config", entry or b"{}")
                await asyncio.sleep(0.03)
            world.configure()

        writing = asyncio.ensure_future(write())
        while not writing.done():
            answers.append((await gateway.call(head())).status)
        # A start during a series: the newest record may be an odd one.
        writing = asyncio.ensure_future(write())
        other = world.gateway("g2").start()
        await other.wait_listening()
        while not writing.done():
            reply = await other.call(head())
            answers.append(reply.status)
        assert set(answers) <= {200, 503}
        assert answers.count(200) > 0.5 * len(answers)

    run_in_world(tmp_path, main)


# Processes


def test_a_gateway_that_is_killed_and_comes_back_disturbs_no_other(tmp_path):
    async def main(world):
        port = free_port()
        gateways = [await world.start(f"g{n}", peer=port) for n in range(3)]
        await asyncio.sleep(1.0)
        answers = []

        async def ask(seconds):
            end_s = asyncio.get_running_loop().time() + seconds
            while asyncio.get_running_loop().time() < end_s:
                for one in gateways[:2]:
                    answers.append((await one.call(head())).status)

        asking = asyncio.ensure_future(ask(5.0))
        await asyncio.sleep(1.0)
        gateways[2].kill()
        await asyncio.sleep(1.0)
        gateways[2].start()
        await gateways[2].wait_ready()
        await asking
        assert set(answers) == {200}
        assert (await gateways[2].call(head())).status == 200

    run_in_world(tmp_path, main)


def test_a_gateway_that_was_suspended_serves_on(tmp_path):
    async def main(world):
        gateway = await world.start()
        world.scripts("app", whole())
        gateway.signal(signal.SIGSTOP)
        waiting = [asyncio.ensure_future(gateway.call(head())) for _ in range(10)]
        await asyncio.sleep(2.0)
        gateway.signal(signal.SIGCONT)
        answers = [(await one).status for one in waiting]
        assert set(answers) <= {200, 503}
        await asyncio.sleep(1.0)
        assert (await gateway.call(head())).status == 200

    run_in_world(tmp_path, main)


FILL = """
import os, runpy, sys
held = []
while len(held) < 300_000:
    try:
        held.append(os.dup(0))
    except OSError:
        break
else:
    sys.exit(77)
for one in held[-{free}:]:
    os.close(one)
del held
sys.argv = [sys.argv[1]]
runpy.run_path(sys.argv[0], run_name="__main__")
"""
FREE_DESCRIPTORS = 60
CALLERS = 90


def cpu_s(pid):
    fields = open(f"/proc/{pid}/stat").read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def test_a_gateway_without_free_descriptors_neither_spins_nor_ends(tmp_path):
    # The process opens what it may itself: no limit is changed.
    async def main(world):
        world.scripts("app", whole())
        gateway = world.gateway()
        gateway.write_settings()
        with gateway.log_path.open("ab") as log:
            program = FILL.format(free=FREE_DESCRIPTORS)
            gateway.process = subprocess.Popen(
                [sys.executable, "-c", program, str(CHECKOUT / "deploy/gateway.py")],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=os.environ | {"SORRELHOIST_SETTINGS": str(gateway.settings_path)},
            )
        try:
            await gateway.wait_ready()
        except AssertionError:
            if gateway.process.poll() == 77:
                pytest.skip("the limit of descriptors is too high to be reached")
            raise
        assert (await gateway.call(head())).status == 200
        idle = []
        for _ in range(CALLERS):
            idle.append(await asyncio.open_connection(gateway.ip, gateway.front))
        started_s = cpu_s(gateway.process.pid)
        await asyncio.sleep(3.0)
        used_s = cpu_s(gateway.process.pid) - started_s
        # Those that were accepted are served where a descriptor is left.
        for _, writer in idle[:40]:
            writer.close()
        await asyncio.sleep(1.5)
        replies = [await gateway.call(head()) for _ in range(10)]
        for _, writer in idle:
            writer.close()
        await asyncio.sleep(2.0)
        replies_after = [await gateway.call(head()) for _ in range(10)]
        assert gateway.is_running
        assert used_s < 1.0
        assert {one.status for one in replies} <= {200, 502, 503}
        assert {one.status for one in replies_after} == {200}

    run_in_world(tmp_path, main)


def test_streams_in_odd_but_legal_forms_are_relayed_whole(tmp_path):
    events = all_events(1, 3)
    start = HEAD + b"Content-Type: text/event-stream; charset=utf-8\r\n"
    hints = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
    forms = {
        "length": start + f"Content-Length: {len(events)}\r\n\r\n".encode() + events,
        "no length": start + b"\r\n" + events,
        "one byte a chunk": start + CHUNKS + b"\r\n"
        + b"".join(chunk(bytes([one])) for one in events) + b"0\r\n\r\n",
        "trailers": hints + start + CHUNKS + b"\r\n" + chunk(events)
        + b"0\r\nX-Sum: 1\r\n\r\n",
        "comments": start + CHUNKS + b"\r\n" + chunk(b": here\n\n" + events)
        + b"0\r\n\r\n",
    }  # fmt: skip

    async def main(world):
        gateway = await world.start()
        for name, data in forms.items():
            world.scripts("llm", sends(data))
            reply = await gateway.call(post("/stream/1"))
            body = content(reply).replace(b": here\n\n", b"")
            assert (reply.status, body) == (200, events), name

    run_in_world(tmp_path, main)
