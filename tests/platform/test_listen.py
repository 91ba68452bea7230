"""Sockets that accept connections before the settings are checked."""

import socket

from sorrelhoist.platform.listen import listening_early
from tests.platform.fleet import free_port
from tests.platform.standins import HOST
from tests.platform.test_settings import write_settings


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
    for text in (
        "[listen",
        "listen = 1",
        "listen.front = 3",
        f'[listen]\nfront = "{address}"',
        "",
    ):
        write_settings(tmp_path, monkeypatch, text)
        with listening_early() as sockets:
            assert not sockets
    monkeypatch.delenv("SORRELHOIST_SETTINGS")
    with listening_early() as sockets:
        assert not sockets
    taken.close()
