"""Connections to endpoints that don't accept them."""

import asyncio
import socket
import time

import pytest

from sorrelhoist.gateway.upstream import ExchangeError, connect_timeout_s, connected


def test_the_connect_timeout_leaves_time_for_another_endpoint():
    # Replays lumenvale-perth trouble-1, 31 s: an endpoint lost power, and requests with
    # an objective of 0.3 s waited 0.5 s for a connection to it.
    assert connect_timeout_s(objective_s=0.3) == pytest.approx(0.15)
    assert connect_timeout_s(objective_s=30.0) == pytest.approx(0.5)
    assert connect_timeout_s(objective_s=0.01) == pytest.approx(0.1)


def test_a_connection_that_is_not_accepted_is_given_up_in_that_time():
    async def main():
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            address = f"127.0.0.1:{listener.getsockname()[1]}"
            fillers = [socket.socket() for _ in range(3)]
            for filler in fillers:
                filler.setblocking(False)
                filler.connect_ex(listener.getsockname())
            started_s = time.monotonic()
            with pytest.raises(ExchangeError):
                async with connected(address, connect_timeout_s(objective_s=0.3)):
                    pass
            assert time.monotonic() - started_s < 0.3
            for filler in fillers:
                filler.close()

    asyncio.run(main())
