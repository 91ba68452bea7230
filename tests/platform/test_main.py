"""Command line of a gateway on the users' platform."""

from click.testing import CliRunner

from sorrelhoist.platform.main import gateway
from tests.platform.test_settings import TEXT, write_settings


def test_a_check_of_the_settings_opens_nothing(tmp_path, monkeypatch):
    write_settings(tmp_path, monkeypatch, TEXT)
    result = CliRunner().invoke(gateway, ["--check"])
    assert (result.exit_code, result.output) == (0, "the settings can be used\n")


def test_bad_settings_end_the_command_with_an_error(tmp_path, monkeypatch):
    write_settings(tmp_path, monkeypatch, "node = 1")
    result = CliRunner().invoke(gateway, [])
    assert result.exit_code == 2
    assert "error:" in result.output
