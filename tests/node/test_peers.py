"""Calls between peers over TCP: broken frames, lost connections, unresponsive peers."""

import asyncio
from contextlib import asynccontextmanager

import pytest
from tornado.netutil import bind_sockets

from sorrelhoist.exceptions import PeerError
from sorrelhoist.messages.frames import MAX_FRAME_BYTES, Message, frame
from sorrelhoist.messages.gen import ttypes
from sorrelhoist.node import peers
from sorrelhoist.node.peers import PeerAddress, PeerPool, PeerServer

ADDRESS = "127.0.0.1"
NO_DATA = b""


def queued(name):
    return ttypes.Queued(request_id=name, queue_delay_ms=0)


def attach_request(name):
    return ttypes.Attach(request_id=name, from_sequence=0, entry_id="entry-1")


@asynccontextmanager
async def peer(handler):
    """Run a real server with the handler; yield a pool to call it."""
    server, pool = PeerServer(handler), PeerPool()
    sockets = bind_sockets(0, ADDRESS)
    server.add_sockets(sockets)
    try:
        yield pool, PeerAddress(ADDRESS, sockets[0].getsockname()[1]), server
    finally:
        pool.close()
        server.close()


@asynccontextmanager
async def raw_peer(serve):
    """Run a server that writes raw bytes; yield a pool to call it."""
    pool = PeerPool()
    server = await asyncio.start_server(serve, ADDRESS, 0)
    try:
        port = server.sockets[0].getsockname()[1]
        yield pool, PeerAddress(ADDRESS, port)
    finally:
        pool.close()
        server.close()


async def echo(body, responder):
    await responder.send(queued(body.request_id))


# Bytes that a peer writes before the connection closes.
MALFORMED_DATA = {
    "cut": NO_DATA,
    "half a length": b"\x00\x00",
    "half a frame": frame(Message(1, queued("a")))[:-3],
    "frame over the limit": (MAX_FRAME_BYTES + 1).to_bytes(4, "big"),
    "no envelope": (5).to_bytes(4, "big") + b"\xff" * 5,
    "empty envelope": (1).to_bytes(4, "big") + b"\x00",
}


@pytest.mark.parametrize("name", MALFORMED_DATA)
def test_malformed_reply_fails_the_call_and_the_next_call_reconnects(name):
    connections = []

    async def serve(reader, writer):
        connections.append(writer)
        await reader.readexactly(4)
        data = MALFORMED_DATA[name] if len(connections) == 1 else None
        writer.write(frame(Message(1, queued("b"))) if data is None else data)
        if data is not None and "limit" not in name and "envelope" not in name:
            writer.close()

    async def main():
        async with raw_peer(serve) as (pool, address):
            with pytest.raises(PeerError):
                async with pool.open(address, attach_request("a")) as receive:
                    await receive()
            reply = await pool.call(address, attach_request("b"), 30.0)
            assert reply.request_id == "b" and len(connections) == 2

    asyncio.run(main())


@pytest.mark.parametrize("name", [n for n in MALFORMED_DATA if n != "cut"])
def test_server_keeps_serving_after_malformed_frames(name):
    async def main():
        async with peer(echo) as (pool, address, _):
            reader, writer = await asyncio.open_connection(ADDRESS, address.port)
            writer.write(MALFORMED_DATA[name])
            writer.write_eof()
            await reader.read()
            writer.close()
            assert (
                await pool.call(address, attach_request("a"), 30.0)
            ).request_id == "a"

    asyncio.run(main())


def test_out_of_order_replies_reach_their_own_calls():
    async def main():
        waiting, both = [], asyncio.Event()

        async def handler(body, responder):
            waiting.append((body, responder))
            if len(waiting) == 2:
                both.set()
            await both.wait()
            if len(waiting) == 2:
                first, second = waiting
                waiting.clear()
                await second[1].send(queued(second[0].request_id))
                await first[1].send(queued(first[0].request_id))

        async with peer(handler) as (pool, address, _):
            calls = (pool.call(address, attach_request(name), 30.0) for name in "ab")
            replies = await asyncio.gather(*calls)
            assert [reply.request_id for reply in replies] == ["a", "b"]

    asyncio.run(main())


def test_reply_with_an_unknown_call_id_reaches_no_other_call():
    async def serve(reader, writer):
        await reader.readexactly(4)
        stray = (frame(Message(call_id, queued("stray"))) for call_id in (7, 2, 9))
        writer.write(b"".join(stray) + frame(Message(1, queued("own"))))

    async def main():
        async with raw_peer(serve) as (pool, address):
            reply = await pool.call(address, attach_request("a"), 30.0)
            assert reply.request_id == "own"

    asyncio.run(main())


def test_server_cancels_calls_when_their_connection_is_lost():
    async def main():
        started, cancelled = asyncio.Event(), asyncio.Event()

        async def handler(body, responder):
            started.set()
            try:
                await asyncio.Event().wait()
            finally:
                cancelled.set()

        async with peer(handler) as (pool, address, _):
            call = asyncio.ensure_future(pool.call(address, attach_request("a"), 30.0))
            await started.wait()
            pool.close()
            await cancelled.wait()
            with pytest.raises(PeerError):
                await call

    asyncio.run(main())


def test_call_to_a_frozen_peer_times_out():
    async def main():
        async with raw_peer(frozen_server) as (pool, address):
            with pytest.raises(PeerError, match="did not answer"):
                await pool.call(address, attach_request("a"), 0.01)

    asyncio.run(main())


async def frozen_server(reader, writer):
    """Don't read, so that the sender's buffers fill up."""
    reader._transport.pause_reading()


def test_send_to_a_frozen_peer_with_full_buffers_times_out(monkeypatch):
    monkeypatch.setattr(peers, "SEND_TIMEOUT_S", 0.05, raising=False)
    big = ttypes.Submit(grant_id="g", request_id="a", prompt="x" * 15_000_000)

    async def main():
        async with raw_peer(frozen_server) as (pool, address):
            with pytest.raises(PeerError):
                async with asyncio.timeout(20.0), pool.open(address, big):
                    pass
            connection = pool._connections[address]
            assert connection.closed

    asyncio.run(main())
