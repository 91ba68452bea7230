"""Command that traces one request through the logs of all processes."""

import json
from collections.abc import Iterable, Iterator
from typing import Any, TextIO

import click

# Log fields left out of the inputs of a printed line: its head shows them already, or
# they are the same in every line.
_OMITTED_FIELDS = {
    "time",
    "level",
    "logger",
    "message",
    "node_id",
    "role",
    "event",
    "request_id",
}


def find_records(lines: Iterable[str], request_id: str) -> Iterator[dict[str, Any]]:
    """Yield the log records of one request.

    Parameters
    ----------
    lines : iterable of str
        Log lines, each with a JSON object. A prefix added by a log collector is
        ignored; lines without a JSON object are skipped.
    request_id : str

    Yields
    ------
    dict
    """
    for line in lines:
        start = line.find("{")
        if start < 0 or request_id not in line:
            continue
        try:
            record = json.loads(line[start:])
        except ValueError:
            continue
        if isinstance(record, dict) and record.get("request_id") == request_id:
            yield record


def explain_record(record: dict[str, Any]) -> str:
    """Format a log record as one line: time, node, message, outcome and inputs.

    Examples
    --------
    >>> explain_record({"time": "12:00:01,5", "node_id": "edge-1", "message": "sent",
    ...                 "outcome": "sent", "endpoint": "i-1", "request_id": "r"})
    '12:00:01,5 edge-1: sent -> sent (endpoint=i-1)'
    """
    inputs = ", ".join(
        f"{name}={value}"
        for name, value in record.items()
        if name not in _OMITTED_FIELDS and name != "outcome" and value not in ("", None)
    )
    head = f"{record.get('time', '?')} {record.get('node_id', '?')}"
    outcome = record.get("outcome", "")
    arrow = f" -> {outcome}" if outcome else ""
    return f"{head}: {record.get('message', '')}{arrow} ({inputs})"


@click.command()
@click.argument("request_id")
@click.argument("files", nargs=-1, required=True, type=click.File(errors="replace"))
def explain(request_id: str, files: tuple[TextIO, ...]) -> None:
    """Print the log lines of one request in order, from the logs of all processes."""
    records = [record for file in files for record in find_records(file, request_id)]
    records.sort(key=lambda record: str(record.get("time", "")))
    if not records:
        click.echo(f"no line names request {request_id}", err=True)
        raise SystemExit(1)
    for record in records:
        click.echo(explain_record(record))
