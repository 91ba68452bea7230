"""Tests of the configuration and status commands: text, JSON and exit codes."""

import asyncio
import json
from pathlib import Path

import pytest
from click.testing import CliRunner

from sorrelhoist.commands import configuration as commands
from tests.entry.operators_fakes import KEY, running_operators

EXAMPLES = Path(__file__).parents[2] / "examples"
DEMO = str(EXAMPLES / "kasparek-demo")
SMALL = "kind: FailureDomain\nname: praha-a\n"
MEMBER = {
    "node_id": "n1",
    "role": "agent",
    "failure_domain": "praha-a",
    "state": "alive",
    "configuration_offset": 8,
}
DOMAIN = {"failure_domain": "praha-a", "state": "out"}
ALARM = {"kind": "stale", "message": "It is stale.", "remedy": "Mend the network."}


def invoke(command, *arguments, env=None):
    return CliRunner().invoke(command, arguments, env=env)


def run_against_entry(*calls, prepare=None, key=KEY):
    """Run commands one after another against one entry; return their results."""

    async def run():
        async with running_operators(verdict_timeout_s=0.0) as fake:
            await fake.replica.refresh()
            if prepare:
                prepare(fake)
            env = {"SORRELHOIST_ADDRESS": fake.address, "SORRELHOIST_OPERATOR_KEY": key}
            results = []
            for command, *arguments in calls:
                work = asyncio.to_thread(invoke, command, *arguments, env=env)
                results.append(await work)
            return results

    return asyncio.run(run())


@pytest.fixture
def small_folder(tmp_path):
    (tmp_path / "one.yaml").write_text(SMALL)
    return str(tmp_path)


def test_validate_of_the_demo_reports_its_document_count():
    result = invoke(commands.validate, DEMO)
    assert (result.exit_code, result.output) == (0, "valid: 16 documents\n")


def test_validate_reports_every_problem_and_exits_1(tmp_path):
    (tmp_path / "one.yaml").write_text(SMALL + "state: x\nfoo: 1\n")
    result = invoke(commands.validate, str(tmp_path), "--output", "json")
    assert result.exit_code == 1
    kinds = [item["kind"] for item in json.loads(result.output)["problems"]]
    assert kinds == ["wrong_type", "unknown_key"]


def test_validate_of_a_missing_folder_exits_2():
    assert invoke(commands.validate, "no-such-folder").exit_code == 2


def test_applied_documents_are_shown_by_diff_and_get(small_folder):
    first, same, other, got = run_against_entry(
        (commands.apply_command, small_folder),
        (commands.diff_command, small_folder),
        (commands.diff_command, DEMO),
        (commands.get_command,),
    )
    assert first.exit_code == 0, first.output
    assert first.output.startswith("accepted: revision 1 at offset 1")
    assert (same.exit_code, same.output) == (0, "no difference\n")
    assert other.exit_code == 1
    assert "+ Workspace kasparek-desk" in other.output
    assert "region: '' -> 'cz-central'" in other.output
    assert "name: praha-a" in got.output


def test_apply_on_an_outdated_base_revision_is_rejected(small_folder):
    _, rejected = run_against_entry(
        (commands.apply_command, small_folder),
        (
            commands.apply_command,
            small_folder,
            "--base-revision",
            "0",
            "--apply-id",
            "x",
        ),
    )
    assert rejected.exit_code == 1
    assert "remedy:" in rejected.output


def test_apply_without_a_verdict_exits_2_and_gives_the_apply_id(small_folder):
    def lose_append(fake):
        fake.log.faults = ["lost_before"]

    calls = [(commands.apply_command, small_folder, "--apply-id", "x", "--wait-s", "0")]
    (result,) = run_against_entry(*calls, prepare=lose_append)
    assert result.exit_code == 2
    assert "unknown yet" in result.output
    assert "apply id x" in result.output


@pytest.mark.parametrize(
    ("status", "exit_code", "text"),
    [
        ({"is_healthy": True}, 0, "healthy\n"),
        ({"is_healthy": False, "alarms": [ALARM]}, 1, "remedy: Mend the network."),
        ({"is_healthy": False, "alarms": [ALARM] * 30}, 1, "... and 10 more"),
        ({"is_healthy": False}, 1, "NOT healthy"),
        ({"configuration": {"is_stale": True}}, 1, "(stale)"),
        ({"members": [MEMBER]}, 1, "praha-a (not configured): 1 agent alive"),
        ({"domains": [DOMAIN]}, 1, "praha-a (out): no process"),
        (
            {"members": [MEMBER], "configuration": {"effective_offset": 9}},
            1,
            "older configuration on 1: n1",
        ),
    ],
)
def test_status_gives_exit_code_and_text(status, exit_code, text):
    (result,) = run_against_entry(
        (commands.status,), prepare=lambda f: f.status.update(status)
    )
    assert result.exit_code == exit_code
    assert text in result.output


def test_commands_with_a_wrong_key_exit_2():
    results = run_against_entry(
        (commands.status,), (commands.get_command,), key="wrong"
    )
    assert [result.exit_code for result in results] == [2, 2]


def test_apply_to_an_unreachable_entry_exits_2(small_folder):
    arguments = [small_folder, "--address", "127.0.0.1:1", "--wait-s", "0"]
    assert invoke(commands.apply_command, *arguments).exit_code == 2
