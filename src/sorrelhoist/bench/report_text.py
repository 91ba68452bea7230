"""Format the report of a load as a table, as JSON data and as a plot."""

from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Any

import attrs

from .load_client import Outcome, Sample
from .load_phases import LoadRecord
from .report import answered, buckets, outcomes, percentiles, slowdown

SHORT_BELOW_TOKENS = 4_000
COLOURS = {
    Outcome.WHOLE: "tab:green",
    Outcome.LATE: "tab:orange",
    Outcome.REFUSED: "tab:red",
    Outcome.LOST: "black",
}


def runs(record: LoadRecord) -> dict[str, list[Sample]]:
    """Return the samples by run, with the domain-change run split at its changes."""
    named = {"without long": record.alone, "with long": record.beside}
    change = record.change
    if change is not None:
        samples = record.through_change
        named["domain in"] = [s for s in samples if s.sent_s < change.left_s]
        named["domain out"] = [
            s for s in samples if change.left_s <= s.sent_s < change.returned_s
        ]
        named["domain back"] = [s for s in samples if s.sent_s >= change.returned_s]
    return named


def to_plain(record: LoadRecord) -> dict[str, Any]:
    """Return the complete report as plain data for JSON."""
    return {
        "shape": attrs.asdict(record.shape),
        "change": attrs.asdict(record.change) if record.change else None,
        "short_below_tokens": SHORT_BELOW_TOKENS,
        "slowdown": attrs.asdict(
            slowdown(record.alone, record.beside, SHORT_BELOW_TOKENS)
        ),
        "runs": {
            name: {
                "outcomes": attrs.asdict(outcomes(samples)),
                "buckets": [attrs.asdict(bucket) for bucket in buckets(samples)],
                "samples": [_sample(sample) for sample in samples],
            }
            for name, samples in runs(record).items()
        },
    }


def _sample(sample: Sample) -> dict[str, Any]:
    return {
        "at_s": sample.sent_s,
        "workspace": sample.arrival.workspace.name,
        "prompt_tokens": sample.arrival.prompt_tokens,
        "outcome": sample.outcome.value,
        "status": sample.status,
        "first_token_s": sample.first_token_s,
        "total_s": sample.total_s,
    }


def table_lines(record: LoadRecord) -> Iterator[str]:
    """Yield the lines of the report table."""
    yield (
        f"{'run':14} {'prompt tokens':>18} {'answers':>7}"
        f" {'median':>8} {'p95':>8} {'p99':>8}   time to first token"
    )
    for name, samples in runs(record).items():
        yield from _bucket_lines(name, samples)
    yield f"{'run':14} {'whole':>6} {'late':>6} {'refused':>8} {'lost':>6}"
    for name, samples in runs(record).items():
        count = outcomes(samples)
        yield (
            f"{name:14} {count.whole:6} {count.late:6} {count.refused:8} {count.lost:6}"
        )
    found = slowdown(record.alone, record.beside, SHORT_BELOW_TOKENS)
    yield (
        f"slowdown of {found.pairs} short requests (below {SHORT_BELOW_TOKENS} tokens)"
        f" beside long ones: median {found.median:.2f}, p95 {found.p95:.2f};"
        f" ratio of the p95 {found.of_p95:.2f}"
    )
    if record.change is not None:
        yield _change_line(record)


def _bucket_lines(name: str, samples: Sequence[Sample]) -> Iterator[str]:
    for bucket in buckets(samples):
        times = bucket.first_token
        if times.count:
            yield (
                f"{name:14} {bucket.from_tokens:8} - {bucket.below_tokens - 1:7}"
                f" {times.count:7} {times.median_s:7.3f}s {times.p95_s:7.3f}s"
                f" {times.p99_s:7.3f}s"
            )


def _change_line(record: LoadRecord) -> str:
    samples = runs(record)

    def p95_s(name: str) -> float:
        times = [
            s.first_token_s
            for s in answered(samples[name])
            if s.arrival.prompt_tokens < SHORT_BELOW_TOKENS
        ]
        return percentiles(times).p95_s

    assert record.change is not None
    return (
        f"{record.change.domain} out and back: p95 of short requests"
        f" {p95_s('domain in'):.3f} s before, {p95_s('domain out'):.3f} s while out,"
        f" {p95_s('domain back'):.3f} s after"
    )


def save_plot(record: LoadRecord, path: Path) -> None:
    """Plot the time to first token over prompt length and over send time."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (by_length, by_time) = pyplot.subplots(1, 2, figsize=(12, 5))
    for name, samples, marker in (
        ("without long", record.alone, "x"),
        ("with long", record.beside, "o"),
    ):
        done = answered(samples)
        by_length.scatter(
            [s.arrival.prompt_tokens for s in done],
            [s.first_token_s for s in done],
            marker=marker,
            s=14,
            label=name,
        )
    by_length.set(xscale="log", yscale="log", xlabel="prompt, tokens")
    by_length.set_ylabel("time to first token, s")
    by_length.legend()
    _draw_timeline(by_time, record)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _draw_timeline(axes: Any, record: LoadRecord) -> None:
    samples = record.through_change or record.beside
    for outcome, colour in COLOURS.items():
        matching = [s for s in samples if s.outcome is outcome]
        times = [max(s.first_token_s, 0.01) for s in matching]
        label = f"{outcome.value} ({len(matching)})"
        axes.scatter([s.sent_s for s in matching], times, c=colour, s=14, label=label)
    if record.change is not None:
        axes.axvspan(record.change.left_s, record.change.returned_s, alpha=0.15)
        axes.set_title(f"{record.change.domain} out in the shaded time")
    axes.set(yscale="log", xlabel="sent at, s", ylabel="time to first token, s")
    axes.legend()
