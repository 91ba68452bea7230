"""Send a planned load to entries and check each answer."""

import asyncio
import enum
import json
import time
from collections.abc import Sequence

import attrs
from tornado.httpclient import HTTPResponse

from ..standins.engine_model import BYTES_PER_TOKEN, answer_text
from .fleet import fetch
from .load_plan import Arrival

REFUSAL_STATUSES = frozenset({429, 503, 504})
ANSWER_GRACE_S = 10.0


class Outcome(enum.StrEnum):
    """What became of a request."""

    WHOLE = "whole"
    LATE = "late"
    REFUSED = "refused"
    LOST = "lost"


@attrs.frozen
class LoadTarget:
    """Where the load goes.

    Parameters
    ----------
    entries : sequence of str
        Base URLs.
    model : str
    prefill_tokens_per_s : float
        Nominal speed of one engine; a first token is late from the target plus
        the time in which an idle engine reads the prompt.
    first_token_target_s : float
    deadline_s : float
        Of each request.
    """

    entries: Sequence[str]
    model: str
    prefill_tokens_per_s: float
    first_token_target_s: float
    deadline_s: float


@attrs.frozen
class Sample:
    """What one request met.

    Parameters
    ----------
    arrival : Arrival
    sent_s : float
        From the start of the run.
    outcome : Outcome
    status : int
    first_token_s, total_s : float
        From the moment it was due, so that a busy client hides nothing.
    """

    arrival: Arrival
    sent_s: float
    outcome: Outcome
    status: int
    first_token_s: float
    total_s: float


@attrs.define
class _Reader:
    first_s: float = 0.0
    data: bytearray = attrs.field(factory=bytearray)

    def take(self, chunk: bytes) -> None:
        if not self.data:
            self.first_s = time.monotonic()
        self.data += chunk

    def text(self) -> str:
        """Join the pieces of the events that came whole."""
        pieces = []
        for line in bytes(self.data).splitlines():
            event = line.removeprefix(b"data: ")
            if event == line or event == b"[DONE]":
                continue
            pieces += [c["text"] for c in json.loads(event).get("choices", [])]
        return "".join(pieces)


def prompt_of(arrival: Arrival, run: str) -> str:
    """Make the prompt of a request; no two share their first block."""
    head = f"{run} {arrival.number} "
    size_bytes = arrival.prompt_tokens * BYTES_PER_TOKEN
    return (head + "balloon " * (size_bytes // 8 + 1))[:size_bytes]


def judge(
    response: HTTPResponse, is_right: bool, first_token_s: float, late_from_s: float
) -> Outcome:
    """Say what became of a request.

    Parameters
    ----------
    response : HTTPResponse
    is_right : bool
        Whether the whole expected text came.
    first_token_s, late_from_s : float
    """
    if response.code in REFUSAL_STATUSES:
        return Outcome.REFUSED
    if response.code != 200 or not is_right:
        return Outcome.LOST
    return Outcome.LATE if first_token_s > late_from_s else Outcome.WHOLE


async def send(
    target: LoadTarget, arrival: Arrival, run: str, started_s: float
) -> Sample:
    """Send one request when it is due.

    Parameters
    ----------
    target : LoadTarget
    arrival : Arrival
    run : str
        Name of the run; prompts of two runs differ.
    started_s : float
        Start of the run, monotonic.
    """
    due_s = started_s + arrival.at_s
    await asyncio.sleep(max(0.0, due_s - time.monotonic()))
    prompt = prompt_of(arrival, run)
    body = {
        "model": target.model,
        "prompt": prompt,
        "max_tokens": arrival.output_tokens,
        "stream": True,
    }
    headers = {
        "Authorization": f"Bearer {arrival.workspace.key}",
        "X-Request-Timeout-S": str(target.deadline_s),
    }
    entry = target.entries[arrival.number % len(target.entries)]
    reader = _Reader()
    response = await fetch(
        f"{entry}/v1/completions",
        "POST",
        body,
        headers,
        target.deadline_s + ANSWER_GRACE_S,
        reader.take,
    )
    is_right = reader.text() == answer_text(prompt, arrival.output_tokens)
    first_token_s = reader.first_s - due_s if reader.data else 0.0
    reading_s = arrival.prompt_tokens / target.prefill_tokens_per_s
    late_from_s = target.first_token_target_s + reading_s
    outcome = judge(response, is_right, first_token_s, late_from_s)
    total_s = time.monotonic() - due_s
    return Sample(
        arrival, due_s - started_s, outcome, response.code, first_token_s, total_s
    )


@attrs.define
class LoadRun:
    """One run of a plan.

    Parameters
    ----------
    target : LoadTarget
    name : str
    samples : list of Sample
        Those that have ended.
    """

    target: LoadTarget
    name: str
    samples: list[Sample] = attrs.field(factory=list)

    async def run(self, plan: Sequence[Arrival]) -> None:
        """Send all requests when they are due, and wait for the answers."""
        started_s = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for arrival in plan:
                group.create_task(self._one(arrival, started_s))

    async def _one(self, arrival: Arrival, started_s: float) -> None:
        self.samples.append(await send(self.target, arrival, self.name, started_s))
