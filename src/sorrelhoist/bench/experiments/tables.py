"""Print the rows of an experiment as a table or as JSON."""

import json
import math
from collections.abc import Sequence

import click

NO_VALUE = "-"


def percentile(values: Sequence[float], fraction: float) -> float:
    """Return the value at a fraction of the sorted values; NaN without values."""
    if not values:
        return math.nan
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def mean(values: Sequence[float]) -> float:
    """Return the arithmetic mean; NaN without values."""
    return sum(values) / len(values) if values else math.nan


def show(rows: Sequence[dict[str, object]], as_json: bool) -> None:
    """Print rows with the same keys as a table or as JSON."""
    if as_json:
        plain = [{name: _plain(value) for name, value in row.items()} for row in rows]
        click.echo(json.dumps(plain, indent=1))
        return
    lines = [list(rows[0])] + [[_cell(value) for value in row.values()] for row in rows]
    widths = [max(len(line[i]) for line in lines) for i in range(len(lines[0]))]
    for line in lines:
        cells = (cell.rjust(width) for cell, width in zip(line, widths, strict=True))
        click.echo("  ".join(cells))


def _plain(value: object) -> object:
    is_nan = isinstance(value, float) and math.isnan(value)
    return None if is_nan else value


def _cell(value: object) -> str:
    match value:
        case None:
            return NO_VALUE
        case float():
            return NO_VALUE if math.isnan(value) else f"{value:.2f}"
        case _:
            return str(value)
