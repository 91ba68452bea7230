"""Signals to real entry and agent processes, at any moment."""

import os
import signal
import subprocess
import sys
import time

import pytest
import yaml

from sorrelhoist.bench.fleet import free_port

pytestmark = pytest.mark.process

EXIT_TIMEOUT_S = 15.0
STARTED = b"started"


@pytest.fixture(params=["entry", "agent"])
def process(request, tmp_path):
    """An entry or agent without a platform."""
    address = {"address": "127.0.0.1", "http_port": free_port()}
    settings = address | {
        "role": request.param,
        "node_id": "n-1",
        "host": "h-1",
        "failure_domain": "a",
        "region": "r",
        "peer_port": free_port(),
        "seeds": [],
        "platform_url": "http://127.0.0.1:1",
        "stream_key": "k" * 32,
        "drain_timeout_s": 1.0,
    }
    if request.param == "agent":
        settings["endpoint"] = {"name": "e-1", "url": "http://127.0.0.1:1"}
    path = tmp_path / "settings.yaml"
    path.write_text(yaml.safe_dump(settings))
    command = [sys.executable, "-m", "sorrelhoist", request.param]
    running = subprocess.Popen(
        [*command, "--settings", str(path)],
        stdout=subprocess.PIPE,
        env=os.environ | {"PYTHONUNBUFFERED": "1"},
    )
    yield running
    running.kill()
    running.wait()
    running.stdout.close()


def wait_for(process, text):
    for line in process.stdout:
        if text in line:
            return
    raise AssertionError(f"ended without {text!r}: {process.wait()}")


def test_a_reload_signal_does_not_end_an_entry_or_agent(process):
    wait_for(process, STARTED)
    process.send_signal(signal.SIGHUP)
    time.sleep(0.3)
    assert process.poll() is None


def test_signals_until_the_end_of_a_drain_end_no_entry_or_agent_early(process):
    wait_for(process, STARTED)
    process.send_signal(signal.SIGTERM)
    while process.poll() is None:
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGHUP)
        time.sleep(0.002)
    assert process.wait(EXIT_TIMEOUT_S) == 0


@pytest.mark.parametrize("delay_s", (0.3, 0.5))
def test_a_stop_signal_during_the_start_drains_an_entry_or_agent(process, delay_s):
    time.sleep(delay_s)
    process.send_signal(signal.SIGTERM)
    assert process.wait(EXIT_TIMEOUT_S) == 0
