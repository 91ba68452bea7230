"""Stand-ins of the platform's store and of workers, as separate processes.

They need nothing but the standard library. Each prints its port on the first line of
its standard output. What they receive is appended as JSON lines to the file in the
environment variable RECORD.
"""

import argparse
import asyncio
import base64
import json
import os
import struct
import time
from urllib.parse import parse_qs, urlsplit

HOST = "127.0.0.1"
HEARTBEAT_S = 1.0
CHUNKED = "Transfer-Encoding: chunked"
SILENT_BEFORE = 4
"""Event of a stream before which a worker is silent, if the path asks for it."""


def record(**fields):
    """Append a line to the record; a single write keeps lines of processes apart."""
    line = json.dumps({"at_s": round(time.monotonic(), 3)} | fields) + "\n"
    descriptor = os.open(os.environ["RECORD"], os.O_WRONLY | os.O_APPEND | os.O_CREAT)
    os.write(descriptor, line.encode())
    os.close(descriptor)


async def read_request(reader):
    """Read a request; return method, target, headers and body, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return method, target, headers, body


def answer(status, headers=(), body=b""):
    """Return a whole answer with a length."""
    lines = [f"HTTP/1.1 {status} x", *(f"{n}: {v}" for n, v in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """Keyed topics of one partition, as the platform's store serves them."""

    def __init__(self):
        self.topics = {}
        self.changed = asyncio.Event()

    async def connected(self, reader, writer):
        """Serve the calls of one connection."""
        try:
            while (request := await read_request(reader)) is not None:
                writer.write(await self.call(*request))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def call(self, method, target, headers, body):
        """Answer one call."""
        query = {k: v[0] for k, v in parse_qs(urlsplit(target).query).items()}
        topic = query.get("stream", "")
        records = self.topics.setdefault(topic, [])
        match urlsplit(target).path:
            case "/log-append":
                first, position = len(records), 0
                while position < len(body):
                    (size,) = struct.unpack_from(">I", body, position)
                    content = body[position + 4 : position + 4 + size]
                    key = content[1 : 1 + content[0]].decode()
                    records.append((key, content[1 + content[0] :]))
                    position += 4 + size
                self.changed.set()
                self.changed = asyncio.Event()
                ends = {"offset": first, "end_offset": len(records)}
                return answer(200, body=json.dumps(ends).encode())
            case "/log-newest":
                items = [
                    {"key": k, "val": base64.b64encode(v).decode(), "offset": 0}
                    for k, v in sorted(dict(records).items())
                    if v
                ]
                page = {"items": items, "has_more": False, "end_offset": len(records)}
                return answer(200, body=json.dumps(page).encode())
            case "/log-read":
                start = int(query["from"])
                wait_s = int(query.get("wait_max_ms", 0)) / 1000
                end_s = time.monotonic() + wait_s
                while len(records) <= start and (left := end_s - time.monotonic()) > 0:
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except TimeoutError:
                        break
                data = struct.pack(">QQ", len(records), 0)
                for key, value in records[start:]:
                    content = bytes([len(key)]) + key.encode() + value
                    data += struct.pack(">I", len(content)) + content
                return answer(200, body=data)
        return answer(404)


class Worker:
    """A worker: registers itself, and runs requests as its options say.

    Requests of which the path begins with the faulty prefix are spoiled, at most
    ``spoil`` of them, if the worker is faulty; all others are sound.
    """

    def __init__(self, options):
        self.options = options
        self.left = options.spoil
        self.port = 0

    async def register(self, store):
        """Write the worker's entry until the process ends."""
        host, port = store.rsplit(":", 1)
        sequence = 0
        while True:
            sequence += 1
            entry = {
                "backend": self.options.service,
                "addr": f"{HOST}:{self.port}",
                "zone": self.options.zone,
                "version": "1",
                "capacity": self.options.capacity,
                "state": "ready",
                "cold_left_ms": 0,
                "sequence": sequence,
                "born": self.options.born,
            }
            key, value = self.options.id.encode(), json.dumps(entry).encode()
            content = bytes([len(key)]) + key + value
            body = struct.pack(">I", len(content)) + content
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                b"POST /log-append?stream=keyed.servers&part=0 HTTP/1.1\r\n"
                b"Host: store\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
            )
            await reader.read(65536)
            writer.close()
            await asyncio.sleep(HEARTBEAT_S)

    async def connected(self, reader, writer):
        """Serve one request, as it asks for; drop it if the connection closes."""
        try:
            request = await read_request(reader)
            if request is None:
                return
            work = asyncio.ensure_future(self.serve(writer, *request))
            gone = asyncio.ensure_future(reader.read(1))
            await asyncio.wait({work, gone}, return_when="FIRST_COMPLETED")
            if not work.done():
                record(who=self.options.id, what="connection closed by the gateway")
                work.cancel()
            gone.cancel()
            await asyncio.wait({work, gone})
            if not work.cancelled():
                work.result()
            await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def serve(self, writer, method, target, headers, body):
        """Answer one request."""
        options = self.options
        request_id = headers.get("x-attempt-id", "")
        if target == "/healthz":
            writer.write(answer(200, [("X-Instance-Id", options.id)]))
            return
        if target == "/order":
            order = json.loads(body)
            record(who=options.id, what="order", order=order)
            writer.write(answer(200, body=b'{"free":400000}'))
            return
        if headers.get("x-expect-instance", options.id) != options.id:
            writer.write(answer(421, [("X-Instance-Id", options.id)]))
            return
        record(who=options.id, what="runs", id=request_id, target=target)
        own = [("X-Attempt-Id", request_id), ("X-Response-Stamp", f"stamp.{options.id}")]
        if self.left and target.startswith(options.prefix):
            self.left -= 1
            await self.spoil(writer, own, request_id)
            return
        await asyncio.sleep(options.work_ms / 1000)
        if options.stream:
            head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
            head += [f"{n}: {v}" for n, v in own]
            head.append("Connection: close" if options.unframed else CHUNKED)
            writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
            is_long = "/long" in target
            events = options.long_events if is_long else options.events
            first = int(headers.get("last-event-id", 0)) + 1
            for number in range(first, events + 1):
                if number == SILENT_BEFORE and "/silent" in target:
                    await asyncio.sleep(options.silent_ms / 1000)
                event = f"id: {number}\ndata: piece {number}\n\n".encode()
                framed = b"%x\r\n%b\r\n" % (len(event), event)
                writer.write(event if options.unframed else framed)
                await writer.drain()
                await asyncio.sleep(options.pause_ms / 1000)
            writer.write(b"" if options.unframed else b"0\r\n\r\n")
        else:
            writer.write(answer(200, own, b"answer to " + request_id.encode()))
        record(who=options.id, what="answered", id=request_id)

    async def spoil(self, writer, own, request_id):
        """Send bytes that are no answer until the caller closes."""
        options = self.options
        head = ["HTTP/1.1 200 OK", *(f"{n}: {v}" for n, v in own)]
        if options.stream:
            head.append("Content-Type: text/event-stream")
        block, sent = options.block, 0
        if options.chunked:
            head.append("Transfer-Encoding: chunked")
            size = options.chunked
            piece = b"%x\r\n%b\r\n" % (size, (block * size)[:size])
            block = piece * max(1, 65536 // len(piece))
        else:
            block = block * max(1, 65536 // len(block))
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        record(who=options.id, what="spoils", id=request_id)
        began_s = time.monotonic()
        try:
            while True:
                writer.write(block)
                sent += len(block)
                await writer.drain()
        finally:
            record(
                who=options.id,
                what="spoiled answer ends",
                id=request_id,
                sent_bytes=sent,
                took_s=round(time.monotonic() - began_s, 3),
            )


async def serve(part):
    """Serve until the process is ended."""
    server = await asyncio.start_server(part.connected, HOST, 0, limit=1 << 20)
    part.port = server.sockets[0].getsockname()[1]
    print(part.port, flush=True)
    if isinstance(part, Worker):
        await part.register(part.options.store)
    await asyncio.Event().wait()


def main():
    """Run one stand-in."""
    parser = argparse.ArgumentParser()
    parser.add_argument("part", choices=("store", "worker"))
    parser.add_argument("--id", default="i-1")
    parser.add_argument("--store", default="")
    parser.add_argument("--service", default="app")
    parser.add_argument("--zone", default="zone-a")
    parser.add_argument("--born", type=int, default=0)
    parser.add_argument("--capacity", type=int, default=8)
    parser.add_argument("--work-ms", type=float, default=30.0)
    parser.add_argument("--stream", action="store_true")
    parser.add_argument("--unframed", action="store_true")
    parser.add_argument("--events", type=int, default=10)
    parser.add_argument("--long-events", type=int, default=0)
    parser.add_argument("--silent-ms", type=float, default=0)
    parser.add_argument("--pause-ms", type=float, default=40.0)
    parser.add_argument("--spoil", type=int, default=0)
    parser.add_argument("--prefix", default="/")
    parser.add_argument("--chunked", type=int, default=0)
    parser.add_argument(
        "--block", type=lambda text: text.encode().decode("unicode_escape").encode()
    )
    options = parser.parse_args()
    asyncio.run(serve(Store() if options.part == "store" else Worker(options)))


if __name__ == "__main__":
    main()
