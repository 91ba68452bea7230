"""Minimal stand-ins for the platform's store and its endpoints, on loopback."""

import asyncio
import base64
import contextlib
import json
import socket
import struct
from urllib.parse import parse_qs, urlsplit

import attrs
import h11

HOST = "127.0.0.1"
SIGNATURE = ("X-Response-Stamp", "stamp-1")
READ_BYTES = 65_536


@attrs.define(eq=False)
class ReceivedRequest:
    """A request that a stand-in received."""

    method: str
    target: str
    headers: dict
    body: bytes
    at_s: float

    @property
    def path(self):
        return urlsplit(self.target).path

    @property
    def query(self):
        return {k: v[0] for k, v in parse_qs(urlsplit(self.target).query).items()}


async def read_request(reader):
    """Read one request; return None if the connection was closed."""
    protocol = h11.Connection(h11.SERVER)
    start, body = None, b""
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            try:
                data = await reader.read(READ_BYTES)
            except ConnectionError:
                return None
            if not data and start is None:
                return None
            protocol.receive_data(data)
        elif isinstance(event, h11.Request):
            start = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            headers = {
                n.decode().lower(): v.decode("latin-1") for n, v in start.headers
            }
            now_s = asyncio.get_running_loop().time()
            method, target = start.method.decode(), start.target.decode()
            return ReceivedRequest(method, target, headers, body, now_s)
        else:
            return None


def reset(writer):
    """Abort a connection with a TCP reset, unless it is already closed."""
    connection = writer.get_extra_info("socket")
    if connection.fileno() < 0:
        return
    no_linger = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
    writer.transport.abort()


def in_sequence(*scripts):
    """Return a script for several endpoints: each call runs the next of `scripts`."""
    left = list(scripts)

    async def script(received, writer):
        chosen = left.pop(0) if len(left) > 1 else left[0]
        await chosen(received, writer)

    return script


def answer_bytes(status, headers=(), body=b"", length=True):
    lines = [f"HTTP/1.1 {status} x"] + [f"{n}: {v}" for n, v in headers]
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


@attrs.define(eq=False)
class Server:
    """Serves one request per connection with ``serve(received, writer, reader)``."""

    port: int = 0
    received: list = attrs.field(factory=list)
    connections: int = 0
    _server: object = None
    _writers: set = attrs.field(factory=set)

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    async def start(self):
        self._server = await asyncio.start_server(self._connected, HOST, self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def stop(self):
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def stop_listening(self):
        """Accept no more connections but keep open ones, as when a host loses power."""
        self._server.close()

    async def _connected(self, reader, writer):
        self.connections += 1
        self._writers.add(writer)
        try:
            received = await read_request(reader)
            if received is not None:
                self.received.append(received)
                await self.serve(received, writer, reader)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def serve(self, received, writer, reader):
        raise NotImplementedError


@attrs.define(eq=False)
class Endpoint(Server):
    """An endpoint with scripted answers.

    Each of ``scripts`` is called with the request and the writer for one request
    other than an order; the last one serves all later requests.
    """

    endpoint_id: str = "i-1"
    scripts: list = attrs.field(factory=list)
    orders: list = attrs.field(factory=list)
    order_status: int = 200
    left: list = attrs.field(factory=list)

    async def serve(self, received, writer, reader):
        if received.path == "/order":
            order = json.loads(received.body)
            self.orders.append(order)
            if self.order_status:
                writer.write(answer_bytes(self.order_status, body=b'{"free":1}'))
                await writer.drain()
            else:
                await asyncio.sleep(30)
            return
        expected = received.headers.get("x-expect-instance", self.endpoint_id)
        if expected != self.endpoint_id:
            writer.write(answer_bytes(421, [("X-Instance-Id", self.endpoint_id)]))
            return
        script = self.scripts.pop(0) if len(self.scripts) > 1 else self.scripts[0]
        work = asyncio.ensure_future(script(received, writer))
        gone = asyncio.ensure_future(reader.read(1))
        await asyncio.wait({work, gone}, return_when="FIRST_COMPLETED")
        if not work.done():
            self.left.append(received)
            work.cancel()
        gone.cancel()
        if work.done() and not work.cancelled():
            work.result()

    @property
    def requests(self):
        return [one for one in self.received if one.path != "/order"]

    def entry(self, **more):
        return {
            "backend": "llm",
            "addr": self.address,
            "zone": "zone-a",
            "capacity": 8,
            "state": "ready",
            "cold_left_ms": 0,
        } | more


def echo_headers(received):
    request_id = received.headers.get("x-attempt-id", "")
    return [SIGNATURE, ("X-Attempt-Id", request_id)]


def whole(status=200, body=b"whole answer", extra=()):
    async def script(received, writer):
        headers = echo_headers(received) + list(extra)
        writer.write(answer_bytes(status, headers, body))
        await writer.drain()

    return script


def declines(status=503, extra=()):
    async def script(received, writer):
        writer.write(answer_bytes(status, [("X-Not-Executed", "1"), *extra]))
        await writer.drain()

    return script


def resets():
    async def script(received, writer):
        reset(writer)

    return script


def hangs():
    async def script(received, writer):
        await asyncio.sleep(60)

    return script


def event(number):
    return f"id: {number}\ndata: piece {number}\n\n".encode()


def all_events(first, last):
    """Return the events of a stream in the format that `streams` writes."""
    return b"".join(event(number) for number in range(first, last + 1))


def streams(count=5, pause_s=0.0, break_after=None, torn=b"", end=True, extra=()):
    """Stream the events after the request's ``Last-Event-Id``."""

    async def script(received, writer):
        first = int(received.headers.get("last-event-id", 0)) + 1
        headers = [*echo_headers(received), *extra]
        headers.append(("Content-Type", "text/event-stream"))
        headers.append(("Transfer-Encoding", "chunked"))
        writer.write(answer_bytes(200, headers, length=False))
        for number in range(first, count + 1):
            if break_after is not None and number > break_after:
                writer.write(chunk(torn) if torn else b"")
                await writer.drain()
                await asyncio.sleep(0.02)
                reset(writer)
                return
            writer.write(chunk(event(number)))
            await writer.drain()
            await asyncio.sleep(pause_s)
        if end:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        else:
            await asyncio.sleep(60)

    return script


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


@attrs.define(eq=False)
class Store(Server):
    """Stand-in for the platform's store: keyed topics with only partition 0."""

    topics: dict = attrs.field(factory=dict)
    trimmed: dict = attrs.field(factory=dict)
    mode: str = "up"
    malformed_body: bytes = b""
    era: int | None = 1
    """Value of ``Store-Era`` in all answers; without it the header is left out."""
    page_records: int = 500
    """Largest number of records in one answer."""
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def put(self, topic, key, value):
        """Append a record; a value of None deletes the key."""
        data = b"" if value is None else value
        if isinstance(value, dict):
            data = json.dumps(value).encode()
        self.topics.setdefault(topic, []).append((key, data))
        self.changed.set()
        self.changed = asyncio.Event()

    def copy(self):
        """Return a copy of all records, from which the store can be restored."""
        return {topic: list(records) for topic, records in self.topics.items()}

    def restore(self, copy):
        """Come back from a copy: later records are gone, their offsets free again."""
        self.topics = {topic: list(records) for topic, records in copy.items()}
        self.trimmed = {
            topic: min(offset, len(self.topics.get(topic, ())))
            for topic, offset in self.trimmed.items()
        }
        self.era += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def compact(self, topic):
        """Compact a topic: delete all records but the newest of each key."""
        self.trimmed[topic] = len(self.topics.get(topic, ()))

    async def serve(self, received, writer, reader):
        match self.mode:
            case "silent":
                await asyncio.sleep(60)
            case "busy":
                writer.write(self._answer_bytes(503))
            case "reset":
                reset(writer)
            case "odd":
                writer.write(self._answer_bytes(200, self.malformed_body))
            case _:
                writer.write(await self._answer(received))
        with contextlib.suppress(ConnectionError):
            await writer.drain()

    def _answer_bytes(self, status, body=b""):
        headers = [] if self.era is None else [("Store-Era", str(self.era))]
        return answer_bytes(status, headers, body)

    async def _answer(self, received):
        topic = received.query["stream"]
        records = self.topics.setdefault(topic, [])
        match received.path:
            case "/log-append":
                content = received.body[4:]
                size = content[0]
                key, value = content[1 : 1 + size].decode(), content[1 + size :]
                self.put(topic, key, value)
                return self._answer_bytes(200, b'{"offset":0,"end_offset":1}')
            case "/log-newest":
                newest = {}
                for key, value in records:
                    newest[key] = value
                items = [
                    {"key": k, "val": base64.b64encode(v).decode(), "offset": 0}
                    for k, v in sorted(newest.items())
                    if v and k > received.query.get("after", "")
                ]
                page = {
                    "items": items[: self.page_records],
                    "has_more": len(items) > self.page_records,
                    "end_offset": len(records),
                }
                return self._answer_bytes(200, json.dumps(page).encode())
            case _:
                return await self._read(received, records, topic)

    async def _read(self, received, records, topic):
        offset = int(received.query["from"])
        if not self.trimmed.get(topic, 0) <= offset <= len(records):
            return self._answer_bytes(410, b'{"start_offset":0}')
        wait_s = int(received.query.get("wait_max_ms", 0)) / 1000
        if len(records) <= offset and wait_s:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    while len(self.topics[topic]) <= offset:
                        await self.changed.wait()
        records = self.topics[topic]
        body = struct.pack(">QQ", len(records), 0)
        for key, value in records[offset:][: self.page_records]:
            content = bytes([len(key)]) + key.encode() + value
            body += struct.pack(">I", len(content)) + content
        return self._answer_bytes(200, body)
