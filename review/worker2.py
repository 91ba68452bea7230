"""Stand-in for a worker, as a process of its own: python3 worker2.py PORT ID LOG.

The caller's path says what a request does:
  /stream/a?n=40&gap=100&frame=none   n events, one each gap ms; frame=none sends neither
                                      a length nor chunks, so that the answer ends with
                                      its connection
  /look/a?ms=50, /once/a?ms=50        a body after ms of work; frame=none as above

`POST /_control` (from the script only) changes how later requests are treated:
  {"decline": N, "retry_after": S}    the next N requests get 503 with X-Not-Executed
                                      and Retry-After
  {"leaving": true}                   all answers say Server-Leaving: 1
"""

import asyncio
import json
import sys
import time
from urllib.parse import parse_qs, urlsplit

PORT, ID, LOG = int(sys.argv[1]), sys.argv[2], open(sys.argv[3], "a", buffering=1)
STATE = {"decline": 0, "retry_after": None, "leaving": False}
MEMORY = {}


def note(event, attempt, **more):
    fields = {"t": round(time.time(), 3), "worker": ID, "event": event} | more
    LOG.write(json.dumps(fields | {"attempt": attempt}) + "\n")


async def read_request(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *rows = head.split("\r\n")
    headers = {}
    for row in rows:
        if row:
            name, _, value = row.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    method, target, _ = line.split(" ")
    return method, target, headers, body


def answer(status, headers=(), body=b""):
    rows = [f"HTTP/1.1 {status} x", f"Content-Length: {len(body)}", "Connection: close"]
    if STATE["leaving"]:
        rows.append("Server-Leaving: 1")
    rows += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(rows) + "\r\n\r\n").encode() + body


def stamped(attempt, content_type="text/plain"):
    return [
        ("X-Attempt-Id", attempt),
        ("X-Response-Stamp", f"{ID}.{attempt}"),
        ("Content-Type", content_type),
    ]


def open_head(headers, is_chunked):
    rows = ["HTTP/1.1 200 OK"] + [f"{name}: {value}" for name, value in headers]
    rows.append("Transfer-Encoding: chunked" if is_chunked else "Connection: close")
    if STATE["leaving"]:
        rows.append("Server-Leaving: 1")
    return ("\r\n".join(rows) + "\r\n\r\n").encode()


def piece(data, is_chunked):
    return b"%x\r\n%s\r\n" % (len(data), data) if is_chunked else data


async def run(method, target, headers, body, writer):
    attempt = headers.get("x-attempt-id", "")
    parts = urlsplit(target)
    query = {key: values[0] for key, values in parse_qs(parts.query).items()}
    is_chunked = query.get("frame") != "none"
    note("runs", attempt, path=target, tenant=headers.get("x-tenant"))
    if parts.path.startswith("/stream/"):
        first = int(headers.get("last-event-id") or 0) + 1
        writer.write(open_head(stamped(attempt, "text/event-stream"), is_chunked))
        for number in range(first, int(query.get("n", 5)) + 1):
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(piece(event, is_chunked))
            await writer.drain()
            await asyncio.sleep(int(query.get("gap", 50)) / 1000)
        writer.write(b"0\r\n\r\n" if is_chunked else b"")
    else:
        await asyncio.sleep(int(query.get("ms", 20)) / 1000)
        text = f"answer of {ID} to {attempt} ".encode() * 40
        if is_chunked:
            writer.write(answer(200, stamped(attempt), text))
        else:
            writer.write(open_head(stamped(attempt), False))
            half = len(text) // 2
            for part in (text[:half], text[half:]):
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(int(query.get("gap", 0)) / 1000)
    await writer.drain()
    note("ended", attempt)


def order(body):
    fields = json.loads(body)
    now = time.monotonic()
    for key in [key for key, (_, until) in MEMORY.items() if until < now]:
        del MEMORY[key]
    if fields.get("operation") == "reserve":
        MEMORY[fields["id"]] = (fields["tokens"], now + fields["hold_ms"] / 1000)
    elif fields.get("operation") == "release":
        MEMORY.pop(fields["id"], None)
    return answer(200, body=b'{"free":100000}')


async def serve(reader, writer):
    try:
        method, target, headers, body = await read_request(reader)
        attempt = headers.get("x-attempt-id", "")
        if target == "/_control":
            STATE.update(json.loads(body))
            writer.write(answer(200))
        elif target == "/healthz":
            writer.write(answer(200, [("X-Instance-Id", ID)]))
        elif headers.get("x-expect-instance", ID) != ID:
            note("other instance", attempt)
            writer.write(answer(421, [("X-Instance-Id", ID)]))
        elif target == "/order":
            writer.write(order(body))
        elif STATE["decline"] > 0:
            STATE["decline"] -= 1
            note("declines", attempt, retry_after=STATE["retry_after"])
            extra = [("X-Not-Executed", "1"), ("X-Attempt-Id", attempt)]
            if STATE["retry_after"] is not None:
                extra.append(("Retry-After", STATE["retry_after"]))
            writer.write(answer(503, extra))
        else:
            work = asyncio.ensure_future(run(method, target, headers, body, writer))
            gone = asyncio.ensure_future(reader.read(1))
            await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                note("caller gone", attempt)
                work.cancel()
            gone.cancel()
            await asyncio.gather(work, gone, return_exceptions=True)
        await writer.drain()
    except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
        pass
    finally:
        writer.close()


async def main():
    server = await asyncio.start_server(serve, "127.0.0.1", PORT)
    async with server:
        await server.serve_forever()


asyncio.run(main())
