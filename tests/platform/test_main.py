"""Settings that change while a gateway runs."""

from sorrelhoist.decisions.store_contact import StoreContact
from sorrelhoist.gateway.state import GatewayState
from sorrelhoist.platform.main import SettingsWatch
from sorrelhoist.platform.settings import load_settings
from tests.platform.test_settings import TEXT


def watch_of(tmp_path, monkeypatch):
    path = tmp_path / "boot.toml"
    path.write_text(TEXT)
    monkeypatch.setenv("SORRELHOIST_SETTINGS", str(path))
    settings = load_settings()
    state = GatewayState(
        node_id="edge-1", failure_domain="a", contact=StoreContact(settings.revoke_s)
    )
    return path, SettingsWatch(settings, state)


def test_a_changed_bound_is_in_force(tmp_path, monkeypatch):
    path, watch = watch_of(tmp_path, monkeypatch)
    path.write_text(TEXT.replace("revoke_ms = 5000", "revoke_ms = 3000"))
    watch.reload()
    assert watch.state.contact.revoke_s == 3.0


def test_a_file_that_cannot_be_used_changes_nothing(tmp_path, monkeypatch):
    path, watch = watch_of(tmp_path, monkeypatch)
    path.write_text("broken")
    watch.reload()
    assert watch.state.contact.revoke_s == 5.0
