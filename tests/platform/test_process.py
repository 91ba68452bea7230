"""Reload of settings while a gateway runs."""

from sorrelhoist.decisions.store_contact import StoreContact
from sorrelhoist.gateway.state import GatewayState
from sorrelhoist.platform.process import SettingsWatcher, shared_retries
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


def test_other_bounds_and_limits_take_effect_on_reload(tmp_path, monkeypatch):
    path, watcher = make_watcher(tmp_path, monkeypatch)
    state = watcher.state
    state.retries.shared = shared_retries(watcher.settings)
    state.retries.share_among(1, ["a"], now_s=0.0)
    text = TEXT.replace("retry_slack = 102", "retry_slack = 20")
    path.write_text(text + "[limits]\nmemory_mb = 552\n")
    watcher.reload()
    assert state.retries.budget("a").max_balance == 10.0
    assert state.memory.limit_bytes == 552_000_000
    path.write_text(TEXT)
    watcher.reload()
    assert state.memory.budget_bytes is None


def test_a_file_that_is_being_written_keeps_the_settings(tmp_path, monkeypatch):
    path, watcher = make_watcher(tmp_path, monkeypatch)
    changed = TEXT.replace("revoke_ms = 5000", "revoke_ms = 3000")
    for length in range(0, len(changed) - 30, 7):
        path.write_text(changed[:length])
        watcher.reload()
        assert watcher.state.contact.revoke_s == 5.0
    path.write_text(changed)
    watcher.reload()
    assert watcher.state.contact.revoke_s == 3.0
