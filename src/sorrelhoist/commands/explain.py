"""Tell what became of one request, from the logs of all processes."""

import json
from collections.abc import Iterable, Iterator
from typing import Any, TextIO

import click

# Said once in each printed line, or the same in all of them.
_TOLD = {"time", "level", "logger", "message", "node_id", "role", "event", "request_id"}


def records_of(lines: Iterable[str], request_id: str) -> Iterator[dict[str, Any]]:
    """Find the records of a request among log lines.

    Parameters
    ----------
    lines : iterable of str
        JSON objects; what a collector wrote before one is passed over, and so are
        lines that hold none.
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
    """Return one line for a record.

    Examples
    --------
    >>> explain_record({"time": "12:00:01,5", "node_id": "edge-1", "message": "sent",
    ...                 "outcome": "sent", "endpoint": "i-1", "request_id": "r"})
    '12:00:01,5 edge-1: sent -> sent (endpoint=i-1)'
    """
    inputs = ", ".join(
        f"{name}={value}"
        for name, value in record.items()
        if name not in _TOLD and name != "outcome" and value not in ("", None)
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
    records = [record for file in files for record in records_of(file, request_id)]
    records.sort(key=lambda record: str(record.get("time", "")))
    if not records:
        click.echo(f"no line names request {request_id}", err=True)
        raise SystemExit(1)
    for record in records:
        click.echo(explain_record(record))
