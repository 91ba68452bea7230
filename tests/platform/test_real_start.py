"""Start of a real process: signals at any moment, and ports that others hold."""

import asyncio
import contextlib
import json
import os
import signal
import socket

import pytest

from tests.platform.real_gateway import RELOAD, STOP, exchange, head, run_in_world

pytestmark = pytest.mark.process

EXIT_TIMEOUT_S = 15.0
# The interpreter itself needs a few hundredths of a second before its first line.
DELAYS_S = (0.1, 0.2, 0.3, 0.5)
METRICS_PORT = 9464
METRICS = b"GET /metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"


@pytest.mark.parametrize("delay_s", DELAYS_S)
def test_a_reload_signal_during_the_start_does_not_end_the_process(tmp_path, delay_s):
    async def main(world):
        gateway = world.gateway().start()
        await asyncio.sleep(delay_s)
        gateway.write_settings(**{"grace_period_s = 8": "grace_period_s = 9"})
        gateway.signal(RELOAD)
        await gateway.wait_ready()
        assert (await gateway.call(head())).status == 200
        assert [one["signal"] for one in gateway.events("signal")] == ["SIGHUP"]

    run_in_world(tmp_path, main)


@pytest.mark.parametrize("delay_s", DELAYS_S)
def test_a_stop_signal_during_the_start_is_a_planned_stop(tmp_path, delay_s):
    async def main(world):
        gateway = world.gateway().start()
        await asyncio.sleep(delay_s)
        gateway.signal(STOP)
        assert await gateway.exit_code(EXIT_TIMEOUT_S) == 0

    run_in_world(tmp_path, main)


@pytest.mark.parametrize("closed", ((0,), (1,), (2,), (0, 1, 2)))
def test_a_gateway_serves_without_standard_streams(tmp_path, closed):
    async def main(world):
        gateway = world.gateway()
        gateway.start(preexec_fn=lambda: [os.close(number) for number in closed])
        await gateway.wait_ready()
        assert (await gateway.call(head())).status == 200
        gateway.signal(STOP)
        assert await gateway.exit_code(EXIT_TIMEOUT_S) == 0

    run_in_world(tmp_path, main)


def test_a_gateway_that_inherits_blocked_signals_stops_all_the_same(tmp_path):
    async def main(world):
        blocked = (signal.SIG_BLOCK, {STOP, RELOAD})
        gateway = world.gateway()
        gateway.start(preexec_fn=lambda: signal.pthread_sigmask(*blocked))
        await gateway.wait_ready()
        gateway.signal(STOP)
        assert await gateway.exit_code(EXIT_TIMEOUT_S) == 0

    run_in_world(tmp_path, main)


def test_callers_who_wait_for_a_start_are_answered_when_it_is_stopped(tmp_path):
    async def main(world):
        gateway = world.gateway().start()
        await gateway.wait_listening()
        calls = [asyncio.ensure_future(gateway.call(head())) for _ in range(5)]
        await asyncio.sleep(0.01)
        gateway.signal(STOP)
        replies = await asyncio.gather(*calls)
        assert {reply.status for reply in replies} <= {200, 503}, replies
        assert await gateway.exit_code(EXIT_TIMEOUT_S) == 0

    run_in_world(tmp_path, main)


def test_a_settings_file_that_is_being_replaced_does_not_end_the_start(tmp_path):
    async def main(world):
        gateway = world.gateway()
        gateway.write_settings()
        text = gateway.settings_path.read_text()
        gateway.settings_path.write_text("")
        gateway.start()
        await asyncio.sleep(0.5)
        gateway.settings_path.write_text(text[: len(text) // 2])
        await asyncio.sleep(0.3)
        gateway.settings_path.write_text(text)
        await gateway.wait_ready()
        assert (await gateway.call(head())).status == 200

    run_in_world(tmp_path, main)


def test_a_stop_while_there_are_no_settings_ends_the_process_at_once(tmp_path):
    async def main(world):
        gateway = world.gateway()
        gateway.settings_path.write_text("")
        gateway.start()
        await asyncio.sleep(0.5)
        gateway.signal(STOP)
        assert await gateway.exit_code(1.0) == 0

    run_in_world(tmp_path, main)


@contextlib.contextmanager
def held(ip, port, kind=socket.SOCK_STREAM):
    """Hold a port, as another process does."""
    with socket.socket(socket.AF_INET, kind) as holder:
        holder.bind((ip, port))
        if kind == socket.SOCK_STREAM:
            holder.listen()
        yield


def listed_port(world):
    """Port of the first gateway's newest entry in the store."""
    entries = [v for k, v in world.store.topics["keyed.gateways"] if k == "g1"]
    return json.loads(entries[-1])["port"]


def test_a_gateway_serves_while_its_metrics_port_is_held_by_another(tmp_path):
    async def main(world):
        gateway = world.gateway()
        with held(gateway.ip, METRICS_PORT):
            gateway.start()
            await gateway.wait_ready()
            assert (await gateway.call(head())).status == 200
            (line,) = gateway.events("port_unavailable")
            assert line["address"].endswith(f":{METRICS_PORT}")
            assert line["remedy"]
        # The port is tried again every 5 s.
        async with asyncio.timeout(8.0):
            while (await exchange(gateway.ip, METRICS_PORT, METRICS)).status != 200:
                await asyncio.sleep(0.1)

    run_in_world(tmp_path, main)


def test_a_gateway_serves_while_its_port_for_peers_is_held_by_another(tmp_path):
    async def main(world):
        gateway = world.gateway()
        with held(gateway.ip, gateway.peer, socket.SOCK_DGRAM):
            gateway.start()
            await gateway.wait_ready()
            assert (await gateway.call(head())).status == 200
            assert listed_port(world) == gateway.peer + 1

    run_in_world(tmp_path, main)


def test_a_gateway_serves_without_peers_until_one_of_their_ports_is_free(tmp_path):
    async def main(world):
        gateway = world.gateway()
        with contextlib.ExitStack() as stack:
            for number in range(16):
                port = gateway.peer + number
                stack.enter_context(held(gateway.ip, port, socket.SOCK_DGRAM))
            gateway.start()
            await gateway.wait_ready()
            assert (await gateway.call(head())).status == 200
            assert gateway.events("port_unavailable")
        async with asyncio.timeout(5.0):
            while not gateway.events("port"):
                await asyncio.sleep(0.05)
        assert listed_port(world) == gateway.peer

    run_in_world(tmp_path, main)


def test_a_stop_while_the_port_for_callers_is_held_ends_the_process_at_once(tmp_path):
    async def main(world):
        gateway = world.gateway()
        with held(gateway.ip, gateway.front):
            gateway.start()
            async with asyncio.timeout(10.0):
                while not gateway.events("port_unavailable"):
                    await asyncio.sleep(0.02)
            assert not await gateway.is_ready()
            gateway.signal(STOP)
            assert await gateway.exit_code(2.0) == 0

    run_in_world(tmp_path, main)


def test_a_gateway_waits_for_an_address_that_its_host_does_not_have(tmp_path):
    async def main(world):
        gateway = world.gateway(ip="203.0.113.9").start()
        async with asyncio.timeout(10.0):
            while len(gateway.events("port_unavailable")) < 4:
                assert gateway.is_running
                await asyncio.sleep(0.05)
        gateway.signal(STOP)
        assert await gateway.exit_code(2.0) == 0

    run_in_world(tmp_path, main)


@pytest.mark.parametrize("name", ("front", "ready"))
def test_a_gateway_waits_for_a_port_that_another_process_still_holds(tmp_path, name):
    async def main(world):
        gateway = world.gateway()
        with held(gateway.ip, getattr(gateway, name)):
            gateway.start()
            await asyncio.sleep(1.5)
            assert gateway.is_running, gateway.log_text[-500:]
        await gateway.wait_ready()
        assert (await gateway.call(head())).status == 200

    run_in_world(tmp_path, main)
