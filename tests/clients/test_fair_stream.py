"""Fair streams: whatever their peers send, other tasks have their turn."""

import asyncio
import socket
import threading
import time

import pytest
from tornado.httpclient import HTTPRequest
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

from sorrelhoist.clients.exchange import Exchange
from sorrelhoist.clients.fair_stream import FairHTTPServer, FairStream, FairTCPClient

READING_S = 0.5
MAX_DELAY_S = 0.1
"""A gateway renews its contact with the store within tenths of a second."""

HEAD = b"HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n"
SMALL_CHUNKS = b"1\r\nx\r\n" * 10_000


def send_without_end(connection, head=b"", block=SMALL_CHUNKS):
    """Send until the other side closes; a thread outruns the reader's event loop."""

    def run():
        try:
            connection.sendall(head)
            while True:
                connection.sendall(block)
        except OSError:
            connection.close()

    threading.Thread(target=run, daemon=True).start()


def listen_and_send(**sent):
    """Return the port of a server that sends without end to each client."""
    listener = socket.create_server(("127.0.0.1", 0))

    def run():
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            send_without_end(connection, **sent)

    threading.Thread(target=run, daemon=True).start()
    return listener


async def longest_delay_s(reading):
    """Return by how much a timer is late while a task reads; cancel the task."""
    task = asyncio.ensure_future(reading)
    longest_s, end_s = 0.0, time.monotonic() + READING_S
    while time.monotonic() < end_s:
        started_s = time.monotonic()
        await asyncio.sleep(0.01)
        longest_s = max(longest_s, time.monotonic() - started_s - 0.01)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    return longest_s


@pytest.mark.parametrize("read", ["read_bytes", "read_until"])
def test_reads_that_find_data_give_others_their_turn(read):
    async def main():
        with listen_and_send() as listener:
            port = listener.getsockname()[1]
            stream = await FairTCPClient().connect("127.0.0.1", port)

            async def consume():
                while True:
                    if read == "read_bytes":
                        await stream.read_bytes(6)
                    else:
                        await stream.read_until(b"\r\n", 100)

            assert await longest_delay_s(consume()) < MAX_DELAY_S
            stream.close()

    asyncio.run(main())


def test_an_answer_without_end_to_an_entry_or_agent_gives_others_their_turn():
    async def main():
        with listen_and_send(head=HEAD) as listener:
            exchange = Exchange()
            url = f"http://127.0.0.1:{listener.getsockname()[1]}/"
            reading = exchange.fetch(HTTPRequest(url, request_timeout=10.0))
            assert await longest_delay_s(reading) < MAX_DELAY_S
            exchange.close()

    asyncio.run(main())


def test_a_body_without_end_from_a_caller_gives_others_their_turn():
    class Handler(RequestHandler):
        def post(self):
            self.finish()

    async def main():
        server = FairHTTPServer(Application([("/", Handler)]), max_body_size=1 << 40)
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        server.add_socket(listener)
        connection = socket.create_connection(listener.getsockname())
        head = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        send_without_end(connection, head)
        assert await longest_delay_s(asyncio.sleep(10)) < MAX_DELAY_S
        server.stop()
        await server.close_all_connections()
        connection.close()

    asyncio.run(main())


def test_a_stream_that_is_closed_while_its_reader_rests_ends_the_read():
    class Resting(FairStream):
        is_turn_over = True

    async def main():
        ours, theirs = socket.socketpair()
        stream = Resting(ours)
        reading = asyncio.ensure_future(stream.read_bytes(1))
        await asyncio.sleep(0)
        stream.close()
        with pytest.raises(StreamClosedError):
            await asyncio.wait_for(reading, 1.0)
        theirs.close()

    asyncio.run(main())
