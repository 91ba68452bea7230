"""Reload of settings while a gateway runs."""

from sorrelhoist.decisions.store_contact import StoreContact
from sorrelhoist.gateway.state import GatewayState
from sorrelhoist.platform.process import SettingsWatcher
from sorrelhoist.platform.settings import load_settings
from tests.platform.test_settings import TEXT


def make_watcher(tmp_path, monkeypatch):
    path = tmp_path / "boot.toml"
    path.write_text(TEXT)
    monkeypatch.setenv("SORRELHOIST_SETTINGS", str(path))
    settings = load_settings()
    state = GatewayState(
        node_id="edge-1", failure_domain="a", contact=StoreContact(settings.revoke_s)
    )
    return path, SettingsWatcher(settings, state)


def test_a_changed_revocation_limit_takes_effect_on_reload(tmp_path, monkeypatch):
    path, watcher = make_watcher(tmp_path, monkeypatch)
    path.write_text(TEXT.replace("revoke_ms = 5000", "revoke_ms = 3000"))
    watcher.reload()
    assert watcher.state.contact.revoke_s == 3.0


def test_reloading_an_invalid_file_changes_nothing(tmp_path, monkeypatch):
    path, watcher = make_watcher(tmp_path, monkeypatch)
    path.write_text("broken")
    watcher.reload()
    assert watcher.state.contact.revoke_s == 5.0
