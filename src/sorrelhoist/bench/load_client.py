"""Open-loop load client: send planned requests to entries and check each answer."""

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
    """Outcome of a request.

    A whole answer is complete and in time; a late one is complete, but its first token
    came after the target.
    """

    WHOLE = "whole"
    LATE = "late"
    REFUSED = "refused"
    LOST = "lost"


@attrs.frozen
class LoadTarget:
    """The entries that the load is sent to, and its latency objectives.

    Parameters
    ----------
    entries : sequence of str
        Base URLs; requests are sent to them in turn.
    model : str
    prefill_tokens_per_s : float
        Nominal prefill speed of one engine. A first token is late after the target
        plus the time in which an idle engine prefills the prompt.
    first_token_target_s : float
        Target for the time to first token, without prefill.
    deadline_s : float
        Deadline of each request.
    """

    entries: Sequence[str]
    model: str
    prefill_tokens_per_s: float
    first_token_target_s: float
    deadline_s: float


@attrs.frozen
class Sample:
    """Result of one request.

    Parameters
    ----------
    arrival : Arrival
    sent_s : float
        When the request was due, from the start of the run.
    outcome : Outcome
    status : int
        HTTP status.
    first_token_s, total_s : float
        Latency from the time the request was due, so that delays in a busy client
        are included (no coordinated omission).
    """

    arrival: Arrival
    sent_s: float
    outcome: Outcome
    status: int
    first_token_s: float
    total_s: float


@attrs.define
class _StreamReader:
    first_s: float = 0.0
    data: bytearray = attrs.field(factory=bytearray)

    def feed(self, chunk: bytes) -> None:
        if not self.data:
            self.first_s = time.monotonic()
        self.data += chunk

    def text(self) -> str:
        """Return the text of all complete events."""
        texts = []
        for line in bytes(self.data).splitlines():
            event = line.removeprefix(b"data: ")
            if event == line or event == b"[DONE]":
                continue
            texts += [c["text"] for c in json.loads(event).get("choices", [])]
        return "".join(texts)


def make_prompt(arrival: Arrival, run: str) -> str:
    """Return the prompt of a request; no two prompts share their first block."""
    head = f"{run} {arrival.number} "
    size_bytes = arrival.prompt_tokens * BYTES_PER_TOKEN
    return (head + "balloon " * (size_bytes // 8 + 1))[:size_bytes]


def classify_outcome(
    response: HTTPResponse, is_correct: bool, first_token_s: float, late_after_s: float
) -> Outcome:
    """Classify the outcome of a request.

    Parameters
    ----------
    response : HTTPResponse
    is_correct : bool
        Whether the text is exactly the expected one.
    first_token_s : float
    late_after_s : float
        A later first token makes a complete answer late.
    """
    if response.code in REFUSAL_STATUSES:
        return Outcome.REFUSED
    if response.code != 200 or not is_correct:
        return Outcome.LOST
    return Outcome.LATE if first_token_s > late_after_s else Outcome.WHOLE


async def send(
    target: LoadTarget, arrival: Arrival, run: str, started_s: float
) -> Sample:
    """Send one request when it is due and check its answer.

    Parameters
    ----------
    target : LoadTarget
    arrival : Arrival
    run : str
        Name of the run; prompts of two runs differ.
    started_s : float
        Start of the run, monotonic.

    Returns
    -------
    Sample
    """
    due_s = started_s + arrival.at_s
    await asyncio.sleep(max(0.0, due_s - time.monotonic()))
    prompt = make_prompt(arrival, run)
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
    reader = _StreamReader()
    response = await fetch(
        f"{entry}/v1/completions",
        "POST",
        body,
        headers,
        target.deadline_s + ANSWER_GRACE_S,
        reader.feed,
    )
    is_correct = reader.text() == answer_text(prompt, arrival.output_tokens)
    first_token_s = reader.first_s - due_s if reader.data else 0.0
    prefill_s = arrival.prompt_tokens / target.prefill_tokens_per_s
    late_after_s = target.first_token_target_s + prefill_s
    outcome = classify_outcome(response, is_correct, first_token_s, late_after_s)
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
        Results of the requests that have ended.
    """

    target: LoadTarget
    name: str
    samples: list[Sample] = attrs.field(factory=list)

    async def run(self, plan: Sequence[Arrival]) -> None:
        """Send each request when it is due and wait for all answers."""
        started_s = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for arrival in plan:
                group.create_task(self._send_one(arrival, started_s))

    async def _send_one(self, arrival: Arrival, started_s: float) -> None:
        self.samples.append(await send(self.target, arrival, self.name, started_s))
