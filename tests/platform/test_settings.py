"""Decoding and validation of the platform's settings file."""

import pytest
from click.testing import CliRunner

from sorrelhoist.cli import main
from sorrelhoist.decisions.overload.parts import ALL_PARTS, OverloadPart
from sorrelhoist.decisions.resource_limits import ResourceLimits
from sorrelhoist.exceptions import SettingsError
from sorrelhoist.platform.listen import listening_early
from sorrelhoist.platform.settings import load_settings

TEXT = """
node = "edge-1"
role = "gateway"
ip = "10.1.0.40"
zone = "praha-a"
port_range = [7340, 7355]
unknown_field = 3
[listen]
front = "10.1.0.40:8227"
ready = "10.1.0.40:8220"
[bounds]
revoke_ms = 5000
grace_period_s = 8
retry_ratio = 0.2
retry_slack = 102
retry_window_s = 10
[provider]
addr = "10.200.1.7:8223"
"""


def write_settings(tmp_path, monkeypatch, text):
    path = tmp_path / "boot.toml"
    path.write_text(text)
    monkeypatch.setenv("SORRELHOIST_SETTINGS", str(path))


def test_fields_are_decoded_and_converted_to_seconds(tmp_path):
    path = tmp_path / "boot.toml"
    path.write_text(TEXT)
    found = load_settings(path)
    assert (found.node_id, found.failure_domain) == ("edge-1", "praha-a")
    assert (found.revoke_s, found.grace_s, found.peer_port) == (5.0, 8.0, 7340)


def test_limits_of_the_process_are_decoded(tmp_path):
    path = tmp_path / "boot.toml"
    path.write_text(
        TEXT
        + "[limits]\ncpu_share = 0.717\ncpu_cores = 3\nmemory_mb = 552\n"
        + "link_mbps = 100.0\n"
    )
    limits = load_settings(path).limits
    assert limits.memory_bytes == 552_000_000
    assert limits.processor_cores == pytest.approx(2.151)
    assert limits.link_bytes_per_s == 12_500_000


@pytest.mark.parametrize(
    "names, parts",
    [
        (None, frozenset()),
        ("", frozenset()),
        ("refusal,workspaces,kinds,withdrawal", ALL_PARTS),
        ("refusal, kinds", {OverloadPart.REFUSAL, OverloadPart.KINDS}),
    ],
)
def test_the_parts_of_overload_control_are_chosen(tmp_path, monkeypatch, names, parts):
    path = tmp_path / "boot.toml"
    path.write_text(TEXT)
    if names is not None:
        monkeypatch.setenv("SORRELHOIST_OVERLOAD", names)
    assert load_settings(path).overload_parts == parts


def test_an_unknown_part_of_overload_control_is_refused(tmp_path, monkeypatch):
    path = tmp_path / "boot.toml"
    path.write_text(TEXT)
    monkeypatch.setenv("SORRELHOIST_OVERLOAD", "refusals")
    with pytest.raises(SettingsError, match="use refusal, workspaces"):
        load_settings(path)


@pytest.mark.parametrize(
    "address", ["3", '"10.1.0.40"', '"10.1.0.40:port"', '"10.1.0.40:70000"', '":80"']
)
def test_an_address_that_cannot_be_used_is_named(tmp_path, address):
    path = tmp_path / "boot.toml"
    path.write_text(TEXT.replace('"10.1.0.40:8227"', address))
    with pytest.raises(SettingsError, match="listen.front must be IP:PORT"):
        load_settings(path)


def test_without_limits_none_are_assumed(tmp_path):
    path = tmp_path / "boot.toml"
    path.write_text(TEXT)
    assert load_settings(path).limits == ResourceLimits()


@pytest.mark.parametrize(
    "lost, name",
    [
        ("node =", "node"),
        ("ip =", "ip"),
        ("zone =", "zone"),
        ("front =", "listen.front"),
        ("addr =", "provider.addr"),
        ("[provider]", "provider.addr"),
    ],
)
def test_a_file_without_an_essential_field_is_refused_by_name(tmp_path, lost, name):
    path = tmp_path / "boot.toml"
    lines = [line for line in TEXT.splitlines() if not line.startswith(lost)]
    path.write_text("\n".join(lines))
    with pytest.raises(SettingsError, match=f"{name} is missing. Set {name}"):
        load_settings(path)


def test_bounds_of_contracts_that_are_not_in_force_may_be_left_out(tmp_path):
    path = tmp_path / "boot.toml"
    start, _, rest = TEXT.partition("[bounds]")
    path.write_text(
        start.replace("port_range = [7340, 7355]", "")
        + rest[rest.index("[provider]") :]
    )
    found = load_settings(path)
    assert (found.revoke_s, found.grace_s) == (5.0, 8.0)
    assert (found.retry_ratio, found.retry_slack, found.retry_window_s) == (
        0.2,
        100,
        10,
    )
    assert found.peer_port_count == 0


def test_numbers_may_be_whole_or_not_and_ports_are_counted(tmp_path):
    path = tmp_path / "boot.toml"
    text = TEXT.replace("revoke_ms = 5000", "revoke_ms = 5000.0")
    path.write_text(text.replace("[7340, 7355]", "[7340.0, 7355.0]"))
    found = load_settings(path)
    assert (found.revoke_s, found.peer_port, found.peer_port_count) == (5.0, 7340, 16)


@pytest.mark.parametrize(
    "was, now",
    [
        ("port_range = [7340, 7355]", "port_range = [inf]"),
        ("port_range = [7340, 7355]", "port_range = [7355, 7340]"),
        ("revoke_ms = 5000", "revoke_ms = nan"),
        ("revoke_ms = 5000", 'revoke_ms = "5000"'),
        ("grace_period_s = 8", "grace_period_s = -1"),
        ('node = "edge-1"', "node = 1"),
        ("port_range = [7340, 7355]", "port_range = 7340"),
        ("unknown_field = 3", "unknown_field = " + "[" * 100_000),
        ("unknown_field = 3", "limits = 3"),
    ],
)
def test_a_file_with_an_odd_value_is_refused(tmp_path, monkeypatch, was, now):
    text = TEXT.replace(was, now)
    write_settings(tmp_path, monkeypatch, text)
    with pytest.raises(SettingsError):
        load_settings()
    with listening_early() as sockets:
        assert not sockets


def test_the_check_flag_validates_the_settings_file(tmp_path):
    path = tmp_path / "boot.toml"
    path.write_text("no = toml = at all")
    found = CliRunner().invoke(main, ["gateway", "--settings", str(path), "--check"])
    assert found.exit_code == 2
    path.write_text(TEXT)
    found = CliRunner().invoke(main, ["gateway", "--settings", str(path), "--check"])
    assert found.exit_code == 0
