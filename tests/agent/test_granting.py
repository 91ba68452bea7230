"""What an agent answers to a request id that it knows."""

import asyncio

import pytest

from sorrelhoist.agent.granting import GrantAnswers
from sorrelhoist.agent.runs import Run, RunEnd, RunFailure, RunTable
from sorrelhoist.messages.gen import ttypes

RUNNING = None
WHOLE = RunEnd(4, "stop")
LOST = RunFailure("endpoint_died", "The endpoint died.", True)


class NothingDecided:
    """A gatekeeper that yields nothing: the request was not known."""

    async def decide(self, ask):
        for answer in ():
            yield answer


def answer(fingerprint, outcome, asked=7):
    runs = RunTable()
    runs.add(Run("r", "a.1", "b", fingerprint, 10, outcome=outcome))
    answers = GrantAnswers(
        NothingDecided(), runs, None, lambda: None, lambda _: False, lambda: 0.0
    )
    request = ttypes.GrantRequest(
        request_id="r", fingerprint=asked, budget_ms=1000, group_id=""
    )

    async def main():
        return [reply.kind async for reply in answers.answers(request)]

    return asyncio.run(main())


@pytest.mark.parametrize(
    ("fingerprint", "outcome", "kinds"),
    [
        (7, RUNNING, ["exists"]),
        (7, WHOLE, ["exists"]),
        (7, LOST, []),
        (8, RUNNING, ["idempotency_key_reused"]),
        (8, LOST, []),
        # A stream found on the engine after a restart of its agent.
        (None, RUNNING, ["exists"]),
    ],
)
def test_a_known_request_is_attached_to_refused_or_run_again(
    fingerprint, outcome, kinds
):
    assert answer(fingerprint, outcome) == kinds
