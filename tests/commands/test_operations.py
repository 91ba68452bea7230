"""Check docs/OPERATIONS.md against the settings, alarms, commands and messages."""

import re
from pathlib import Path

import attrs
import pytest
from click.testing import CliRunner

from sorrelhoist.cli import main
from sorrelhoist.decisions import configuration_alarms
from sorrelhoist.decisions.configuration_alarms import Alarm
from sorrelhoist.decisions.idempotency import KeyWindow
from sorrelhoist.entry import status_alarms
from sorrelhoist.settings import Settings

ROOT = Path(__file__).parents[2]
PAGE = (ROOT / "docs" / "OPERATIONS.md").read_text()
SETTINGS = {field.name: field for field in attrs.fields(Settings)}


def settings_rows():
    part = PAGE.partition("## Process settings")[2].partition("\n## ")[0]
    lines = [line for line in part.splitlines() if line.startswith("|")]
    rows = [re.split(r" *\| *", line.strip("| ")) for line in lines]
    return {row[0].strip("`"): row for row in rows if row[0].startswith("`")}


def alarm_kinds():
    values = vars(configuration_alarms).values()
    found = {value.kind for value in values if isinstance(value, Alarm)}
    text = Path(status_alarms.__file__).read_text()
    return sorted(found | set(re.findall(r'Alarm\(\s*"(\w+)"', text)))


def test_page_lists_exactly_the_existing_settings():
    assert settings_rows().keys() == SETTINGS.keys()


@pytest.mark.parametrize(
    "name", [name for name, field in SETTINGS.items() if name.endswith("_s")]
)
def test_page_states_the_default_of_each_duration(name):
    unit, default = settings_rows()[name][1:3]
    assert unit == "s"
    assert float(default) == SETTINGS[name].default


@pytest.mark.parametrize("kind", alarm_kinds())
def test_page_explains_each_alarm(kind):
    assert f"`{kind}`" in PAGE.partition("## Alarms")[2]


def test_alarm_kinds_of_both_modules_are_found():
    assert {"configuration_stale", "request_condemned"} <= set(alarm_kinds())


def test_page_states_the_retention_of_claims():
    assert f"at least {KeyWindow().retention_s:,.0f} s" in PAGE


@pytest.mark.parametrize(
    "command", sorted(set(re.findall(r"sorrelhoist ([a-z]+)[ `\n]", PAGE)))
)
def test_commands_named_on_the_page_exist(command):
    result = CliRunner().invoke(main, [command, "--help"])
    assert result.exit_code == 0, result.output


@pytest.mark.parametrize("metric", sorted(set(re.findall(r"sorrelhoist_\w+", PAGE))))
def test_metrics_named_on_the_page_exist(metric):
    source = ROOT / "src" / "sorrelhoist"
    files = [
        source / "node" / "metrics.py",
        source / "gateway" / "metrics.py",
        source / "gateway" / "metrics_export.py",
    ]
    text = "".join(file.read_text() for file in files)
    assert f'"{metric.removesuffix("_total")}"' in text


@pytest.mark.parametrize(
    "message",
    [
        "configuration log not read",
        "endpoint died",
        "endpoint is silent",
        "request refused",
        "configuration not understood",
        "Another agent has the endpoint; no more orders.",
        "The agent can't know the configuration in force.",
        "The endpoint's failure domain is out of service.",
        "The agent has no configuration yet.",
    ],
)
def test_messages_quoted_on_the_page_are_in_the_code(message):
    sources = [path.read_text() for path in (ROOT / "src").rglob("*.py")]
    assert message in " ".join(PAGE.split())
    assert any(f'"{message}"' in source for source in sources)
