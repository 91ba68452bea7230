"""Command-line interface of the benchmarks: load, control, throughput and start."""

import asyncio
import json
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

if TYPE_CHECKING:
    from .load_client import LoadTarget
    from .load_phases import LoadRecord, LoadShape
    from .load_plan import LoadWorkspace

FLEETS = {
    "demo": "examples/kasparek-demo",
    "kasparek": "examples/kasparek",
    "gvari": "examples/gvari",
}
UTILISATION = 0.4
MAX_PROMPT_KV_FRACTION = 0.75
FIRST_TOKEN_TARGET_S = 0.61
DEADLINE_S = 60.0
MAX_GROUP_SIZE = 8
DEFAULT_MAX_PROMPT_TOKENS = 1_000_000
ENGINE_OPTIONS = ("--warm-work", "4", "--cold-slow-factor", "1.5")
EXIT_LOST_ANSWERS = 1


@click.command()
@click.option("--fleet", "name", type=click.Choice(list(FLEETS)), default="demo")
@click.option("--entry", "entries", multiple=True, help="URL of a running entry.")
@click.option("--key", default="", help="A workspace's key, for --entry.")
@click.option("--model", default="", help="The model, for --entry.")
@click.option("--seed", default=1, show_default=True)
@click.option("--seconds", default=20.0, show_default=True, help="Of each run.")
@click.option("--rate", default=0.0, help="Requests a second; 0 for a fitting one.")
@click.option("--max-requests", default=2_000, show_default=True, help="Of each run.")
@click.option("--longest-tokens", default=DEFAULT_MAX_PROMPT_TOKENS, show_default=True)
@click.option("--json", "json_path", type=click.Path(path_type=Path))
@click.option("--plot", "plot_path", type=click.Path(path_type=Path))
def bench(
    name: str,
    entries: tuple[str, ...],
    key: str,
    model: str,
    seed: int,
    seconds: float,
    rate: float,
    max_requests: int,
    longest_tokens: int,
    json_path: Path | None,
    plot_path: Path | None,
) -> None:
    """Measure with a seeded load of prompts of very unlike lengths.

    Starts a fleet of an example configuration with stand-ins, or aims at running
    entries. Exit code 1 if an answer was lost.
    """
    from .load_phases import LoadShape

    shape = LoadShape(seed, rate, seconds, longest_tokens, max_requests)
    if entries:
        record = asyncio.run(_run_against_entries(entries, key, model, shape))
    else:
        record = asyncio.run(_run_on_new_fleet(Path(FLEETS[name]), shape))
    raise SystemExit(_write_report(record, json_path, plot_path))


def _write_report(
    record: "LoadRecord", json_path: Path | None, plot_path: Path | None
) -> int:
    from .report import outcomes
    from .report_text import runs, save_plot, table_lines, to_plain

    for line in table_lines(record):
        click.echo(line)
    if json_path is not None:
        json_path.write_text(json.dumps(to_plain(record), indent=1))
    if plot_path is not None:
        save_plot(record, plot_path)
    lost = sum(outcomes(samples).lost for samples in runs(record).values())
    return EXIT_LOST_ANSWERS if lost else 0


async def _run_against_entries(
    entries: tuple[str, ...], key: str, model: str, shape: "LoadShape"
) -> "LoadRecord":
    from .load_client import LoadTarget
    from .load_phases import run_load
    from .load_plan import LoadWorkspace

    if not key or not model or not shape.requests_per_s:
        raise click.UsageError("--entry needs --key, --model and --rate.")
    workspace = LoadWorkspace("given", key, 1.0, 2 * shape.longest_tokens)
    prefill_tokens_per_s = 40_000.0
    target = LoadTarget(
        entries, model, prefill_tokens_per_s, FIRST_TOKEN_TARGET_S, DEADLINE_S
    )
    return await run_load(target, [workspace], shape, click.echo)


async def _run_on_new_fleet(folder: Path, shape: "LoadShape") -> "LoadRecord":
    from .fleet import load_documents, running_fleet
    from .load_phases import run_load

    documents = load_documents(folder)
    domains = [d["name"] for d in documents if d["kind"] == "FailureDomain"]
    shape = fit_to_fleet(documents, shape)
    click.echo(f"{folder}: {shape}")
    async with running_fleet(documents, engine_options=ENGINE_OPTIONS) as fleet:
        urls = [entry.url for entry in fleet.entries()]
        target = load_target(documents, urls)
        workspaces = load_workspaces(documents, target.model)
        return await run_load(target, workspaces, shape, click.echo, fleet, domains[-1])


def engine_documents(documents: list[dict]) -> list[dict]:
    """Return the endpoint documents that serve a model."""
    return [d for d in documents if d["kind"] == "Endpoint" and d.get("model")]


def load_target(documents: list[dict], urls: list[str]) -> "LoadTarget":
    """Return the load target of a fleet with this configuration."""
    from .load_client import LoadTarget

    engine = engine_documents(documents)[0]
    return LoadTarget(
        urls,
        engine["model"],
        engine["prefill_tokens_per_s"],
        FIRST_TOKEN_TARGET_S,
        DEADLINE_S,
    )


def load_workspaces(documents: list[dict], model: str) -> list["LoadWorkspace"]:
    """Return the workspaces that may use a model, with their demo API keys."""
    from .load_plan import LoadWorkspace

    return [
        LoadWorkspace(
            d["name"], f"demo-key-{d['name']}", d["weight"], d["concurrent_tokens"]
        )
        for d in documents
        if d["kind"] == "Workspace" and model in d["models"]
    ]


def fit_to_fleet(documents: list[dict], shape: "LoadShape") -> "LoadShape":
    """Fit the longest prompt and the request rate to a fleet.

    The longest prompt is limited by the KV cache of a group of engines in one failure
    domain. A rate of 0 is replaced by the one that uses the fraction `UTILISATION` of
    the prefill capacity of all engines.
    """
    import attrs

    from .load_plan import mean_prompt_tokens

    longest_tokens = min(shape.longest_tokens, longest_group_tokens(documents))
    prefill_tokens_per_s = sum(
        d["prefill_tokens_per_s"] for d in engine_documents(documents)
    )
    fitting_rate = (
        UTILISATION * prefill_tokens_per_s / mean_prompt_tokens(longest_tokens)
    )
    rate = shape.requests_per_s or round(fitting_rate, 2)
    return attrs.evolve(shape, longest_tokens=longest_tokens, requests_per_s=rate)


def longest_group_tokens(documents: list[dict]) -> int:
    """Return the longest prompt, in tokens, that fits into one failure domain.

    It takes the fraction `MAX_PROMPT_KV_FRACTION` of the KV cache of the largest group.
    """
    sizes: dict[str, list[int]] = {}
    for engine in engine_documents(documents):
        domain: Any = engine["failure_domain"]
        sizes.setdefault(domain, []).append(engine["kv_capacity_tokens"])
    largest = max(sum(sorted(s)[-MAX_GROUP_SIZE:]) for s in sizes.values())
    return int(largest * MAX_PROMPT_KV_FRACTION) - 100


@click.command("bench-control")
@click.option("--size", "sizes", multiple=True, type=int, default=(20, 60, 120))
@click.option("--settle-s", default=10.0, show_default=True)
@click.option("--window-s", default=20.0, show_default=True)
@click.option("--at", default=1660, show_default=True, help="Extrapolate to this size.")
@click.option("--json", "json_path", type=click.Path(path_type=Path))
def bench_control(
    sizes: tuple[int, ...],
    settle_s: float,
    window_s: float,
    at: int,
    json_path: Path | None,
) -> None:
    """Measure the cost of control without load, on fleets of several sizes."""
    import attrs

    from .control import cost_lines, fit_lines, measure_size

    costs = []
    for size in sizes:
        cost = asyncio.run(measure_size(size, settle_s, window_s, click.echo))
        costs.append(cost)
        for line in cost_lines(cost):
            click.echo(line)
    for name, fitted_line in fit_lines(costs).items():
        click.echo(
            f"{name:24} {fitted_line.intercept:10.3f}"
            f" + {fitted_line.per_member:9.5f} a member;"
            f" at {at}: {fitted_line.value_at(at):.2f}"
        )
    if json_path is not None:
        json_path.write_text(json.dumps([attrs.asdict(c) for c in costs], indent=1))


@click.command("bench-throughput")
@click.option("--json", "json_path", type=click.Path(path_type=Path))
def bench_throughput(json_path: Path | None) -> None:
    """Measure processor time and memory of one entry and one agent under load."""
    import attrs

    from .throughput import measure

    loops, memory = asyncio.run(measure())
    for loop in loops:
        times = ", ".join(f"{name} {ms:.2f} ms" for name, ms in loop.cpu_ms.items())
        click.echo(
            f"{loop.callers} callers, {loop.requests} requests of"
            f" {loop.output_tokens} tokens: {loop.whole} whole,"
            f" {loop.refused} refused, {loop.lost} lost,"
            f" {loop.requests_per_s:.0f} requests/s, {loop.tokens_per_s:.0f} tokens/s;"
            f" processor time a request: {times}"
        )
    for held in memory:
        sizes = ", ".join(f"{n} {mib:.1f} MiB" for n, mib in held.resident_mib.items())
        click.echo(f"{held.streams} open streams ({held.whole} whole): {sizes}")
    if json_path is not None:
        data = [attrs.asdict(loop) for loop in loops]
        data += [attrs.asdict(held) for held in memory]
        json_path.write_text(json.dumps(data, indent=1))


@click.command("bench-start")
@click.option("--runs", default=11, show_default=True)
def bench_start(runs: int) -> None:
    """Measure the processor time until a gateway can listen."""
    from .start import measure_start

    cost = measure_start(runs)
    click.echo(
        f"libraries {cost.libraries_s * 1000:.0f} ms, all {cost.total_s * 1000:.0f} ms"
        f" of processor time, ratio {cost.ratio:.2f}"
    )


COMMANDS = (bench, bench_control, bench_throughput, bench_start)
