"""An endpoint in a process of its own that spoils each answer with bytes without end.

One in the event loop of the test could not outrun a gateway. Its first line on standard
output is its port.
"""

import socket
import sys
import threading

from tests.platform.standins import SIGNATURE, answer_bytes, chunk, event

CHUNKED = [("Transfer-Encoding", "chunked")]
EVENTS = [("Content-Type", "text/event-stream")]
LENGTH = [("Content-Length", str(10**15))]
BLOCK = b"x" * 65_536
LINE_FEEDS = b"\n" * 65_536
COMMENTS = b": still here\n\n" * 4_000
REPEATS = 4_000

# Headers of the answer (None if it has no head), what precedes the bytes without end,
# and these.
KINDS = {
    "informational heads": (None, b"", b"HTTP/1.1 103 x\r\nA: b\r\n\r\n" * REPEATS),
    "empty lines": (None, b"", b"\r\n" * REPEATS),
    "header": (None, b"HTTP/1.1 200 x\r\nA: ", BLOCK),
    "headers": (None, b"HTTP/1.1 200 x\r\n", b"A: b\r\n" * REPEATS),
    "large chunks": (CHUNKED, b"", chunk(BLOCK)),
    "chunks of one byte": (CHUNKED, b"", chunk(b"x") * REPEATS),
    "chunks of two bytes": (CHUNKED, b"", chunk(b"xy") * REPEATS),
    "chunks of line feeds": (CHUNKED, b"", chunk(b"\n") * REPEATS),
    "chunks of empty events": (CHUNKED, b"", chunk(b"\n\n") * REPEATS),
    "chunk extension": (CHUNKED, b"5;", BLOCK),
    "trailers": (CHUNKED, b"0\r\n", b"A: b\r\n" * REPEATS),
    "after a chunked body": (CHUNKED, chunk(b"x") + b"0\r\n\r\n", BLOCK),
    "line feeds": ([], b"", LINE_FEEDS),
    "line feeds with a length": (LENGTH, b"", LINE_FEEDS),
    "comments": ([], b"", COMMENTS),
    "comments in chunks": (CHUNKED, b"", chunk(b": a\n\n") * REPEATS),
    "comments after an event": (CHUNKED, chunk(event(1)), chunk(COMMENTS)),
    "unframed": ([], b"", BLOCK),
}


def spoil(connection, kind):
    """Read one request, and answer it until the connection is closed."""
    received = b""
    while b"\r\n\r\n" not in received:
        data = connection.recv(65_536)
        if not data:
            return
        received += data
    lines = received.decode("latin-1").split("\r\n")
    request_id = next(
        (one.split(": ")[1] for one in lines if one.lower().startswith("x-attempt-id")),
        "",
    )
    headers, start, block = KINDS[kind]
    if headers is not None:
        headers = [SIGNATURE, ("X-Attempt-Id", request_id), *headers]
        if "/stream" in lines[0]:
            headers += EVENTS
        start = answer_bytes(200, headers, length=False) + start
    try:
        connection.sendall(start)
        while True:
            connection.sendall(block)
    except OSError:
        connection.close()


def main(kind):
    """Serve connections until the process is ended."""
    listener = socket.create_server(("127.0.0.1", 0))
    print(listener.getsockname()[1], flush=True)
    while True:
        connection, _ = listener.accept()
        threading.Thread(target=spoil, args=(connection, kind), daemon=True).start()


if __name__ == "__main__":
    main(sys.argv[1])
