"""Start of a real process: signals at any moment, and ports that others hold."""

import asyncio
import contextlib
import socket

import pytest

from tests.platform.real_gateway import RELOAD, STOP, head, run_in_world

pytestmark = pytest.mark.process

EXIT_TIMEOUT_S = 15.0
# The interpreter itself needs a few hundredths of a second before its first line.
DELAYS_S = (0.1, 0.2, 0.3, 0.5)
METRICS_PORT = 9464


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


@contextlib.contextmanager
def held(ip, port, kind=socket.SOCK_STREAM):
    """Hold a port, as another process does."""
    with socket.socket(socket.AF_INET, kind) as holder:
        holder.bind((ip, port))
        if kind == socket.SOCK_STREAM:
            holder.listen()
        yield


def test_a_gateway_serves_while_its_metrics_port_is_held_by_another(tmp_path):
    async def main(world):
        gateway = world.gateway()
        with held(gateway.ip, METRICS_PORT):
            gateway.start()
            await gateway.wait_ready()
            assert (await gateway.call(head())).status == 200

    run_in_world(tmp_path, main)


def test_a_gateway_serves_while_its_port_for_peers_is_held_by_another(tmp_path):
    async def main(world):
        gateway = world.gateway()
        with held(gateway.ip, gateway.peer, socket.SOCK_DGRAM):
            gateway.start()
            await gateway.wait_ready()
            assert (await gateway.call(head())).status == 200

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
