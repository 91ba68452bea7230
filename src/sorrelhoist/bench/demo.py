"""Show the main promises on a small fleet of real processes."""

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
    """Lines for what was shown, and the count."""

    passed: int = 0
    failed: int = 0

    def show(self, is_shown: bool, text: str) -> None:
        """Print one line."""
        self.passed += is_shown
        self.failed += not is_shown
        click.echo(f"{'ok  ' if is_shown else 'FAIL'} {text}")


@attrs.frozen
class Answer:
    """One answer and how long it took.

    Parameters
    ----------
    is_whole : bool
        Whether it is exactly the answer to its own prompt.
    status : int
    first_token_s, total_s : float
    """

    is_whole: bool
    status: int
    first_token_s: float
    total_s: float


def short_prompt(number: int) -> str:
    """Return a prompt that no other has."""
    return f"party {number} " + "balloon " * (SHORT_PROMPT_BYTES // 8)


async def ask(
    entry: Child, prompt: str, stream: bool, timeout_s: float = 60.0
) -> Answer:
    """Send one prompt and check its answer."""
    body = {
        "model": MODEL,
        "prompt": prompt,
        "max_tokens": OUTPUT_TOKENS,
        "stream": stream,
    }
    headers = caller_headers(WORKSPACE) | {"X-Request-Timeout-S": str(timeout_s)}
    started_s = time.monotonic()
    reader = AnswerReader(started_s)
    response = await fetch(
        f"{entry.url}/v1/completions",
        "POST",
        body,
        headers,
        timeout_s + 10,
        reader.take if stream else None,
    )
    text = reader.text() if stream else whole_text(response.body)
    return Answer(
        is_whole=text == answer_text(prompt, OUTPUT_TOKENS),
        status=response.code,
        first_token_s=reader.first_token_s,
        total_s=time.monotonic() - started_s,
    )


def whole_text(body: bytes) -> str:
    """Return the text of an answer that was not streamed."""
    choices = json.loads(body or b"{}").get("choices") or [{"text": ""}]
    return choices[0]["text"]


@attrs.define
class AnswerReader:
    """Gather a streamed answer.

    Parameters
    ----------
    started_s : float
    """

    started_s: float
    first_token_s: float = 0.0
    _data: bytearray = attrs.field(factory=bytearray)

    def take(self, chunk: bytes) -> None:
        """Take a part in."""
        if not self._data:
            self.first_token_s = time.monotonic() - self.started_s
        self._data += chunk

    def text(self) -> str:
        """Return the text so far."""
        lines = bytes(self._data).decode().splitlines()
        events = [line.removeprefix("data: ") for line in lines if line[:6] == "data: "]
        chunks = [json.loads(event) for event in events if event != "[DONE]"]
        return "".join(c["choices"][0]["text"] for c in chunks if "choices" in c)


async def warm_up(fleet: Fleet, report: Report) -> None:
    """Answer short prompts one after the other until the engines are warm."""
    answers = [
        await ask(fleet.entries()[number % 2], short_prompt(number), number % 2 == 1)
        for number in range(40)
    ]
    whole = sum(answer.is_whole for answer in answers)
    report.show(
        whole == len(answers),
        f"cold start: {whole} of {len(answers)} answers whole while engines warmed up",
    )


async def short_beside_long(fleet: Fleet, report: Report) -> None:
    """Answer short prompts while a long one runs."""
    entries = fleet.entries()
    long_prompt = "contract " * (LONG_PROMPT_TOKENS * BYTES_PER_TOKEN // 9)
    long_run = asyncio.ensure_future(ask(entries[0], long_prompt, False, 300.0))
    shorts: list[Answer] = []
    number = 1000
    while not long_run.done():
        number += 1
        shorts.append(await ask(entries[number % 2], short_prompt(number), True))
    long_answer = await long_run
    report.show(
        long_answer.is_whole,
        f"a prompt of {LONG_PROMPT_TOKENS} tokens: whole in "
        f"{long_answer.total_s:.1f} s",
    )
    whole = sum(answer.is_whole for answer in shorts)
    times_s = sorted(answer.first_token_s for answer in shorts)
    p95_s = times_s[int(0.95 * (len(times_s) - 1))]
    report.show(
        whole == len(shorts) and p95_s <= FIRST_TOKEN_TARGET_S,
        f"beside it: {whole} of {len(shorts)} short streamed answers whole, first "
        f"token p95 {p95_s:.3f} s (target {FIRST_TOKEN_TARGET_S} s)",
    )


async def deposit_twice(fleet: Fleet, report: Report) -> None:
    """Send a deposit twice with one key, through both entries."""
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
    effects = json.loads((await fetch(bookings(fleet).url + "/effects")).body)
    count = effects.get(headers["Idempotency-Key"], 0)
    same = answers[0].code == 200 and answers[0].body == answers[1].body
    report.show(
        same and count == 1,
        f"a deposit sent twice with one key: {count} effect, "
        f"answers {'alike' if same else 'differ'}",
    )


def bookings(fleet: Fleet) -> Child:
    """Return the plain service."""
    names = [name for name in fleet.children if name.startswith("service-")]
    return fleet.children[names[0]]


def with_domain(documents: list[dict], state: str) -> list[dict]:
    """Return the configuration with one failure domain in or out."""
    return [
        d | {"state": state}
        if d["kind"] == "FailureDomain" and d["name"] == DOMAIN
        else d
        for d in documents
    ]


async def domain_out_and_back(fleet: Fleet, report: Report) -> None:
    """Take a failure domain out and bring it back while requests run."""
    traffic = Traffic(fleet)
    async with asyncio.TaskGroup() as group:
        group.create_task(traffic.run())
        await asyncio.sleep(1.0)
        out = await fleet.apply(with_domain(fleet.documents, "out"))
        await asyncio.sleep(NO_NEW_WORK_AFTER_S)
        before = await grants_in_domain(fleet)
        await asyncio.sleep(2.0)
        after = await grants_in_domain(fleet)
        back = await fleet.apply(with_domain(fleet.documents, "in"))
        await asyncio.sleep(2.0)
        traffic.stop()
    answers = traffic.answers
    whole = sum(answer.is_whole for answer in answers)
    applied = out.code == 200 and back.code == 200
    report.show(
        applied and whole == len(answers),
        f"failure domain {DOMAIN} out and back: {whole} of {len(answers)} "
        "answers whole",
    )
    report.show(
        applied and before == after,
        f"grants in {DOMAIN} from {NO_NEW_WORK_AFTER_S:.0f} s after it was taken out: "
        f"{after - before}",
    )


@attrs.define
class Traffic:
    """Short prompts, a few at a time, until told to stop."""

    fleet: Fleet
    answers: list[Answer] = attrs.field(factory=list)
    _stopped: bool = False

    def stop(self) -> None:
        """Send no more."""
        self._stopped = True

    async def run(self) -> None:
        """Send until stopped."""
        async with asyncio.TaskGroup() as group:
            for lane in range(4):
                group.create_task(self._lane(lane))

    async def _lane(self, lane: int) -> None:
        number = 10_000 * (lane + 1)
        entry = self.fleet.entries()[lane % 2]
        while not self._stopped:
            number += 1
            self.answers.append(await ask(entry, short_prompt(number), lane < 2))


async def grants_in_domain(fleet: Fleet) -> int:
    """Count the grants that agents of the failure domain have given."""
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
    """Stop all processes while a request runs."""
    entries = fleet.entries()
    running = asyncio.ensure_future(ask(entries[0], short_prompt(99), True))
    await asyncio.sleep(0.05)
    roles = [child for child in fleet.children.values() if child.peer_port]
    started_s = time.monotonic()
    codes = await asyncio.gather(*(child.stop() for child in roles))
    answer = await running
    report.show(
        answer.is_whole and not any(codes),
        f"graceful stop of {len(roles)} processes in "
        f"{time.monotonic() - started_s:.1f} s; the running request was "
        f"{'whole' if answer.is_whole else 'cut'}",
    )


Step = Callable[[Fleet, Report], Awaitable[None]]
STEPS: tuple[Step, ...] = (
    warm_up,
    short_beside_long,
    deposit_twice,
    domain_out_and_back,
    graceful_stop,
)


async def run_demo(documents: list[dict]) -> Report:
    """Run all steps on a fresh fleet.

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
        report.show(
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
