"""Start of a gateway: its sockets accept connections before all is imported."""

import os
import socket
import subprocess
import sys

from click.testing import CliRunner

from sorrelhoist.platform.listen import listening_early
from sorrelhoist.platform.main import gateway
from tests.platform.fleet import free_port
from tests.platform.standins import HOST
from tests.platform.test_settings import TEXT


def write_settings(tmp_path, monkeypatch, text):
    path = tmp_path / "boot.toml"
    path.write_text(text)
    monkeypatch.setenv("SORRELHOIST_SETTINGS", str(path))


def test_callers_can_connect_before_the_settings_are_checked(tmp_path, monkeypatch):
    front, ready = f"{HOST}:{free_port()}", f"{HOST}:{free_port()}"
    text = f'[listen]\nfront = "{front}"\nready = "{ready}"'
    write_settings(tmp_path, monkeypatch, text)
    with listening_early() as sockets:
        assert set(sockets) == {front, ready}
        for address in (front, ready):
            host, _, port = address.partition(":")
            socket.create_connection((host, int(port)), timeout=1.0).close()


def test_nothing_is_opened_without_usable_settings(tmp_path, monkeypatch):
    taken = socket.create_server((HOST, 0))
    address = f"{HOST}:{taken.getsockname()[1]}"
    for text in ("[listen", "listen = 1", f'[listen]\nfront = "{address}"', ""):
        write_settings(tmp_path, monkeypatch, text)
        with listening_early() as sockets:
            assert not sockets
    monkeypatch.delenv("SORRELHOIST_SETTINGS")
    with listening_early() as sockets:
        assert not sockets
    taken.close()


def test_a_check_of_the_settings_opens_nothing(tmp_path, monkeypatch):
    write_settings(tmp_path, monkeypatch, TEXT)
    result = CliRunner().invoke(gateway, ["--check"])
    assert (result.exit_code, result.output) == (0, "the settings can be used\n")


def test_bad_settings_end_the_command_with_an_error(tmp_path, monkeypatch):
    write_settings(tmp_path, monkeypatch, "node = 1")
    result = CliRunner().invoke(gateway, [])
    assert result.exit_code == 2
    assert "error:" in result.output


def test_nothing_but_the_settings_is_imported_before_callers_can_connect():
    script = (
        "import sys, sorrelhoist.platform.start;"
        "print(*{name.partition('.')[0] for name in sys.modules})"
    )
    path = os.pathsep.join(filter(None, sys.path))
    result = subprocess.run(
        [sys.executable, "-S", "-c", script],
        env=os.environ | {"PYTHONPATH": path},
        capture_output=True,
        text=True,
        check=True,
    )
    assert not {"attr", "click", "tornado", "asyncio"} & set(result.stdout.split())
