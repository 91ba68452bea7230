"""Demonstrate the main guarantees on a small fleet of real processes.

The steps cover cold start, short prompts beside a long one, idempotent service calls,
the drain of a failure domain and graceful shutdown.
"""

import asyncio
import json
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import attrs
import click
import uuid6

from ..standins.engine_model import answer_text
from .fleet import Child, Fleet, caller_headers, fetch, load_documents, running_fleet

WORKSPACE = "kasparek-desk"
MODEL = "clown-large"
DOMAIN = "kladno-c"
SHORT_PROMPT_BYTES = 6_000
LONG_PROMPT_TOKENS = 400_000
BYTES_PER_TOKEN = 4
OUTPUT_TOKENS = 16
FIRST_TOKEN_TARGET_S = 0.61
NO_NEW_WORK_AFTER_S = 5.0
ENGINE_OPTIONS = ("--warm-work", "4", "--cold-slow-factor", "1.5")


@attrs.define
class Report:
    """Print the result of each check and count passes and failures."""

    passed: int = 0
    failed: int = 0

    def record_check(self, is_passed: bool, text: str) -> None:
        """Count one check and print its line."""
        self.passed += is_passed
        self.failed += not is_passed
        click.echo(f"{'ok  ' if is_passed else 'FAIL'} {text}")


@attrs.frozen
class Answer:
    """One answer and its latency.

    Parameters
    ----------
    is_correct : bool
        Whether the text is exactly the expected answer to its own prompt.
    status : int
        HTTP status.
    first_token_s, total_s : float
        Time from sending to the first token (0 if not streamed) and to the end.
    """

    is_correct: bool
    status: int
    first_token_s: float
    total_s: float


def short_prompt(number: int) -> str:
    """Return a short prompt that is unique to a number."""
    return f"party {number} " + "balloon " * (SHORT_PROMPT_BYTES // 8)


async def send_prompt(
    entry: Child, prompt: str, stream: bool, timeout_s: float = 60.0
) -> Answer:
    """Send one completion request and check its answer."""
    body = {
        "model": MODEL,
        "prompt": prompt,
        "max_tokens": OUTPUT_TOKENS,
        "stream": stream,
    }
    headers = caller_headers(WORKSPACE) | {"X-Request-Timeout-S": str(timeout_s)}
    started_s = time.monotonic()
    reader = StreamReader(started_s)
    response = await fetch(
        f"{entry.url}/v1/completions",
        "POST",
        body,
        headers,
        timeout_s + 10,
        reader.feed if stream else None,
    )
    text = reader.text() if stream else completion_text(response.body)
    return Answer(
        is_correct=text == answer_text(prompt, OUTPUT_TOKENS),
        status=response.code,
        first_token_s=reader.first_token_s,
        total_s=time.monotonic() - started_s,
    )


def completion_text(body: bytes) -> str:
    """Return the text of a completion that was not streamed."""
    choices = json.loads(body or b"{}").get("choices") or [{"text": ""}]
    return choices[0]["text"]


@attrs.define
class StreamReader:
    """Collect a streamed completion and the time to its first token.

    Parameters
    ----------
    started_s : float
        Time at which the request was sent, monotonic.
    """

    started_s: float
    first_token_s: float = 0.0
    _data: bytearray = attrs.field(factory=bytearray)

    def feed(self, chunk: bytes) -> None:
        """Append a chunk of the response body."""
        if not self._data:
            self.first_token_s = time.monotonic() - self.started_s
        self._data += chunk

    def text(self) -> str:
        """Return the text received so far."""
        lines = bytes(self._data).decode().splitlines()
        events = [line.removeprefix("data: ") for line in lines if line[:6] == "data: "]
        chunks = [json.loads(event) for event in events if event != "[DONE]"]
        return "".join(c["choices"][0]["text"] for c in chunks if "choices" in c)


async def warm_up(fleet: Fleet, report: Report) -> None:
    """Send short prompts in sequence from a cold start until the engines are warm."""
    answers = [
        await send_prompt(
            fleet.entries()[number % 2], short_prompt(number), number % 2 == 1
        )
        for number in range(40)
    ]
    whole = sum(answer.is_correct for answer in answers)
    report.record_check(
        whole == len(answers),
        f"cold start: {whole} of {len(answers)} answers whole while engines warmed up",
    )


async def short_prompts_beside_long(fleet: Fleet, report: Report) -> None:
    """Send short prompts while a long one runs, and check their time to first token."""
    entries = fleet.entries()
    long_prompt = "contract " * (LONG_PROMPT_TOKENS * BYTES_PER_TOKEN // 9)
    long_run = asyncio.ensure_future(send_prompt(entries[0], long_prompt, False, 300.0))
    shorts: list[Answer] = []
    number = 1000
    while not long_run.done():
        number += 1
        shorts.append(
            await send_prompt(entries[number % 2], short_prompt(number), True)
        )
    long_answer = await long_run
    report.record_check(
        long_answer.is_correct,
        f"a prompt of {LONG_PROMPT_TOKENS} tokens: whole in "
        f"{long_answer.total_s:.1f} s",
    )
    whole = sum(answer.is_correct for answer in shorts)
    times_s = sorted(answer.first_token_s for answer in shorts)
    p95_s = times_s[int(0.95 * (len(times_s) - 1))]
    report.record_check(
        whole == len(shorts) and p95_s <= FIRST_TOKEN_TARGET_S,
        f"beside it: {whole} of {len(shorts)} short streamed answers whole, first "
        f"token p95 {p95_s:.3f} s (target {FIRST_TOKEN_TARGET_S} s)",
    )


async def deposit_twice(fleet: Fleet, report: Report) -> None:
    """Send a deposit through both entries with one idempotency key."""
    headers = caller_headers(WORKSPACE) | {"Idempotency-Key": str(uuid6.uuid7())}
    answers = [
        await fetch(
            f"{entry.url}/v1/services/bookings/deposits",
            "POST",
            {"amount_czk": 500},
            headers,
        )
        for entry in fleet.entries()
    ]
    effects = json.loads((await fetch(bookings_service(fleet).url + "/effects")).body)
    count = effects.get(headers["Idempotency-Key"], 0)
    same = answers[0].code == 200 and answers[0].body == answers[1].body
    report.record_check(
        same and count == 1,
        f"a deposit sent twice with one key: {count} effect, "
        f"answers {'alike' if same else 'differ'}",
    )


def bookings_service(fleet: Fleet) -> Child:
    """Return the process of the bookings service."""
    names = [name for name in fleet.children if name.startswith("service-")]
    return fleet.children[names[0]]


def with_domain_state(documents: list[dict], state: str) -> list[dict]:
    """Return the configuration with the state of failure domain `DOMAIN` set."""
    return [
        d | {"state": state}
        if d["kind"] == "FailureDomain" and d["name"] == DOMAIN
        else d
        for d in documents
    ]


async def domain_out_and_back(fleet: Fleet, report: Report) -> None:
    """Take a failure domain out and bring it back under load."""
    traffic = Traffic(fleet)
    async with asyncio.TaskGroup() as group:
        group.create_task(traffic.run())
        await asyncio.sleep(1.0)
        out = await fleet.apply(with_domain_state(fleet.documents, "out"))
        await asyncio.sleep(NO_NEW_WORK_AFTER_S)
        before = await grants_in_domain(fleet)
        await asyncio.sleep(2.0)
        after = await grants_in_domain(fleet)
        back = await fleet.apply(with_domain_state(fleet.documents, "in"))
        await asyncio.sleep(2.0)
        traffic.stop()
    answers = traffic.answers
    whole = sum(answer.is_correct for answer in answers)
    applied = out.code == 200 and back.code == 200
    report.record_check(
        applied and whole == len(answers),
        f"failure domain {DOMAIN} out and back: {whole} of {len(answers)} "
        "answers whole",
    )
    report.record_check(
        applied and before == after,
        f"grants in {DOMAIN} from {NO_NEW_WORK_AFTER_S:.0f} s after it was taken out: "
        f"{after - before}",
    )


@attrs.define
class Traffic:
    """Background load: four callers that send short prompts until stopped."""

    fleet: Fleet
    answers: list[Answer] = attrs.field(factory=list)
    _stopped: bool = False

    def stop(self) -> None:
        """Stop sending new requests; those in flight are completed."""
        self._stopped = True

    async def run(self) -> None:
        """Send requests until stopped."""
        async with asyncio.TaskGroup() as group:
            for caller in range(4):
                group.create_task(self._call(caller))

    async def _call(self, caller: int) -> None:
        number = 10_000 * (caller + 1)
        entry = self.fleet.entries()[caller % 2]
        while not self._stopped:
            number += 1
            self.answers.append(
                await send_prompt(entry, short_prompt(number), caller < 2)
            )


async def grants_in_domain(fleet: Fleet) -> int:
    """Count the requests granted so far by the agents of the failure domain."""
    names = [
        f"agent-{d['name']}"
        for d in fleet.documents
        if d["kind"] == "Endpoint" and d["failure_domain"] == DOMAIN and d.get("model")
    ]
    texts = [
        (await fetch(fleet.child(n).url + "/metrics")).body.decode() for n in names
    ]
    lines = [line for text in texts for line in text.splitlines()]
    counts = [line for line in lines if line.startswith("sorrelhoist_grants_total")]
    return sum(int(float(line.split()[-1])) for line in counts)


async def graceful_stop(fleet: Fleet, report: Report) -> None:
    """Stop all processes gracefully while a request is in flight."""
    entries = fleet.entries()
    running = asyncio.ensure_future(send_prompt(entries[0], short_prompt(99), True))
    await asyncio.sleep(0.05)
    roles = [child for child in fleet.children.values() if child.peer_port]
    started_s = time.monotonic()
    codes = await asyncio.gather(*(child.stop() for child in roles))
    answer = await running
    report.record_check(
        answer.is_correct and not any(codes),
        f"graceful stop of {len(roles)} processes in "
        f"{time.monotonic() - started_s:.1f} s; the running request was "
        f"{'whole' if answer.is_correct else 'cut'}",
    )


Step = Callable[[Fleet, Report], Awaitable[None]]
STEPS: tuple[Step, ...] = (
    warm_up,
    short_prompts_beside_long,
    deposit_twice,
    domain_out_and_back,
    graceful_stop,
)


async def run_demo(documents: list[dict]) -> Report:
    """Start a fleet and run all steps of the demo on it.

    Parameters
    ----------
    documents : list of dict
        The configuration.

    Returns
    -------
    Report
    """
    report = Report()
    started_s = time.monotonic()
    async with running_fleet(documents, engine_options=ENGINE_OPTIONS) as fleet:
        agents = sum(name.startswith("agent-") for name in fleet.children)
        report.record_check(
            True,
            f"{len(fleet.entries())} entries and {agents} agents ready, configuration "
            f"in force, after {time.monotonic() - started_s:.1f} s",
        )
        for step in STEPS:
            await step(fleet, report)
    return report


@click.command()
@click.option(
    "--configuration",
    type=click.Path(path_type=Path, exists=True),
    default=Path("examples/kasparek-demo"),
    show_default=True,
)
def main(configuration: Path) -> None:
    """Show the main promises on a small fleet of real processes."""
    documents = load_documents(configuration)
    report = asyncio.run(run_demo(documents))
    click.echo(f"demo: {report.passed} passed, {report.failed} failed")
    sys.exit(1 if report.failed else 0)


if __name__ == "__main__":
    main()
