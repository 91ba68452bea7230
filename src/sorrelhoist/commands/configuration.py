"""Commands that validate, compare, apply and show the configuration, and the status.

Exit codes: 0 for a positive result (valid, no difference, accepted, healthy); 1 for a
negative one (problems, a difference, rejected, not healthy); 2 when there is no result
(wrong usage, no answer, verdict not known yet).
"""

import asyncio
import json
import time
import uuid
from collections.abc import Callable, Coroutine, Iterable
from pathlib import Path
from typing import Any, NoReturn, TypeVar

import attrs
import click
import yaml
from returns.result import Failure

from ..decisions.configuration_problems import Problems
from ..decisions.configuration_set import Configuration
from ..decisions.documents import DocumentSet, diff
from ..exceptions import PeerError, SorrelhoistError
from ..node.configuration_folder import load_folder
from .operator_client import OperatorCallError, OperatorClient
from .operator_text import apply_lines, diff_lines, is_healthy, status_lines

EXIT_OK = 0
EXIT_NEGATIVE = 1
EXIT_UNKNOWN = 2
VERDICT_POLL_INTERVAL_S = 1.0
STATUS_CONFLICT = 409
STATUS_BAD_REQUEST = 400

T = TypeVar("T")
Command = TypeVar("Command", bound=Callable[..., Any])

_folder = click.argument("folder", type=click.Path(path_type=Path))
_output = click.option(
    "--output",
    type=click.Choice(["text", "json"]),
    default="text",
    show_default=True,
    help="Text for people, or JSON for programs.",
)
_key = click.option(
    "--key",
    envvar="SORRELHOIST_OPERATOR_KEY",
    default="",
    help="Operator's key; better given as SORRELHOIST_OPERATOR_KEY.",
)
_address = click.option(
    "--address",
    envvar="SORRELHOIST_ADDRESS",
    required=True,
    help="HOST:PORT of any entry, or SORRELHOIST_ADDRESS.",
)


@attrs.frozen
class Printer:
    """Prints results and errors of a command as text or as JSON."""

    output: str

    def show(self, data: object, lines: Iterable[str]) -> None:
        """Print `data` as JSON, or `lines`, which say the same as text."""
        if self.output == "json":
            click.echo(json.dumps(data, ensure_ascii=False))
            return
        for line in lines:
            click.echo(line)

    def fail(self, error: SorrelhoistError, code: int) -> NoReturn:
        """Print an error with its remedy and exit with `code`."""
        data = {
            "kind": error.kind,
            "message": error.message,
            "remedy": error.remedy,
            "not_run": error.not_run,
        }
        if isinstance(error, OperatorCallError):
            data = {**data, **error.body}
        if self.output == "json":
            click.echo(json.dumps({"error": data}, ensure_ascii=False))
        else:
            click.echo(f"error: {error.message}", err=True)
            click.echo(f"remedy: {error.remedy}", err=True)
        raise SystemExit(code)


@click.command()
@_folder
@_output
def validate(folder: Path, output: str) -> None:
    """Check the documents of FOLDER.

    Exit code 0 when they are valid, 1 when not, 2 when there is no such folder.
    """
    printer = Printer(output)
    configuration = _load(folder, printer)
    count = len(configuration.documents)
    data = {"valid": True, "documents": count, "digest": configuration.digest}
    printer.show(data, [f"valid: {count} documents"])


@click.command("diff")
@_folder
@_address
@_key
@_output
def diff_command(folder: Path, address: str, key: str, output: str) -> None:
    """Compare the documents of FOLDER with what is in force.

    Exit code 0 when they are the same, 1 when they differ, 2 on failure.
    """
    printer = Printer(output)
    new = _load(folder, printer).plain
    client = OperatorClient(address, key)
    current = _run(client.get("configuration"), printer)
    old = DocumentSet.from_plain(current["documents"])
    difference = diff(old, new)
    data = {
        "revision": current["revision"],
        "changed": [str(name) for name in sorted(difference.changed.texts)],
        "removed": [str(name) for name in difference.removed],
    }
    lines = list(diff_lines(old, new, difference)) or ["no difference"]
    printer.show(data, lines)
    raise SystemExit(EXIT_OK if difference.is_empty else EXIT_NEGATIVE)


@click.command("apply")
@_folder
@_address
@_key
@_output
@click.option("--apply-id", default="", help="Ask for, or repeat, an earlier apply.")
@click.option("--base-revision", type=int, help="Apply only on this revision.")
@click.option(
    "--restart", is_flag=True, help="Begin anew after the configuration was lost."
)
@click.option("--wait-s", default=30.0, show_default=True, help="For the verdict.")
def apply_command(
    folder: Path,
    address: str,
    key: str,
    output: str,
    apply_id: str,
    base_revision: int | None,
    restart: bool,
    wait_s: float,
) -> None:
    """Apply the documents of FOLDER as a whole.

    Exit code 0 when accepted, 1 when the documents are invalid or another apply
    was accepted first, 2 when the verdict is unknown yet or there is no answer.
    """
    printer = Printer(output)
    documents = _load(folder, printer).plain.to_plain()
    body: dict[str, Any] = {
        "apply_id": apply_id or str(uuid.uuid4()),
        "documents": documents,
        "restart": restart,
    }
    if base_revision is not None:
        body["base_revision"] = base_revision
    client = OperatorClient(address, key)
    report = _run(_apply(client, body, wait_s), printer)
    printer.show(report, apply_lines(report))
    is_accepted = report.get("outcome") == "accepted"
    raise SystemExit(EXIT_OK if is_accepted else EXIT_UNKNOWN)


@click.command("get")
@_address
@_key
@_output
def get_command(address: str, key: str, output: str) -> None:
    """Show the configuration in force, as YAML or JSON."""
    printer = Printer(output)
    data = _run(OperatorClient(address, key).get("configuration"), printer)
    text = yaml.safe_dump_all(
        data["documents"], sort_keys=False, allow_unicode=True, explicit_start=True
    )
    heading = f"# revision {data['revision']} at offset {data['effective_offset']}"
    printer.show(data, [heading, text.rstrip()])


@click.command()
@_address
@_key
@_output
def status(address: str, key: str, output: str) -> None:
    """Say whether the system is healthy, and if not, what the remedy is.

    Exit code 0 when healthy, 1 when not, 2 when the entry does not answer.
    """
    printer = Printer(output)
    data = _run(OperatorClient(address, key).get("status"), printer)
    printer.show(data, status_lines(data))
    raise SystemExit(EXIT_OK if is_healthy(data) else EXIT_NEGATIVE)


@click.command()
@click.argument("address")
@_key
def dump(address: str, key: str) -> None:
    """Print the state of the process at ADDRESS (HOST:PORT) as JSON."""
    printer = Printer("text")
    data = _run(OperatorClient(address, key).get("dump"), printer)
    click.echo(json.dumps(data, ensure_ascii=False, indent=2))


COMMANDS = (validate, diff_command, apply_command, get_command, status, dump)


def _load(folder: Path, printer: Printer) -> Configuration:
    try:
        result = load_folder(folder)
    except SorrelhoistError as error:
        printer.fail(error, EXIT_UNKNOWN)
    if isinstance(result, Failure):
        _show_problems(result.failure(), printer)
    return result.unwrap()


def _show_problems(problems: Problems, printer: Printer) -> NoReturn:
    data = {"valid": False, "problems": problems.to_plain()}
    printer.show(data, [problems.headline, str(problems)])
    raise SystemExit(EXIT_NEGATIVE)


def _run(coroutine: Coroutine[Any, Any, T], printer: Printer) -> T:
    try:
        return asyncio.run(coroutine)
    except OperatorCallError as error:
        is_verdict = error.status in (STATUS_CONFLICT, STATUS_BAD_REQUEST)
        printer.fail(error, EXIT_NEGATIVE if is_verdict else EXIT_UNKNOWN)
    except SorrelhoistError as error:
        printer.fail(error, EXIT_UNKNOWN)


async def _apply(
    client: OperatorClient, body: dict[str, Any], wait_s: float
) -> dict[str, Any]:
    """Send an apply, and poll for its verdict while it is unknown.

    Without a base revision, the current one is read first and sent along, except for a
    restart. Polling stops after `wait_s`; the report then says that it is unknown.
    """
    deadline_s = time.monotonic() + wait_s
    apply_id = body["apply_id"]
    if "base_revision" not in body and not body["restart"]:
        current = await client.get("configuration")
        body = {**body, "base_revision": current["revision"]}
    try:
        report = await client.post("apply", body)
    except PeerError as error:
        report = _unknown_verdict_report(apply_id, error)
    while report.get("outcome") != "accepted" and time.monotonic() < deadline_s:
        await asyncio.sleep(VERDICT_POLL_INTERVAL_S)
        try:
            report = await client.get(f"apply/{report['apply_id']}")
        except PeerError as error:
            report = _unknown_verdict_report(apply_id, error)
    return report


def _unknown_verdict_report(apply_id: str, error: PeerError) -> dict[str, Any]:
    return {
        "outcome": "unknown",
        "apply_id": apply_id,
        "message": error.message,
        "remedy": f"Repeat the command with --apply-id {apply_id}.",
    }
