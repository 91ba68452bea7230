"""Responses of an agent to a grant request whose id it already knows."""

import asyncio

import pytest

from sorrelhoist.agent.grant_handler import GrantHandler
from sorrelhoist.agent.runs import Run, RunEnd, RunFailure, RunTable
from sorrelhoist.messages.gen import ttypes

RUNNING = None
COMPLETED = RunEnd(4, "stop")
ENDPOINT_DIED = RunFailure("endpoint_died", "The endpoint died.", True)


class UndecidedAdmission:
    """Admission stub without a decision: the request id was treated as new."""

    async def decide(self, request):
        for answer in ():
            yield answer


def denial_kinds(fingerprint, outcome, requested_fingerprint=7):
    runs = RunTable()
    runs.add(Run("r", "a.1", "b", fingerprint, 10, outcome=outcome))
    handler = GrantHandler(
        UndecidedAdmission(), runs, None, lambda: None, lambda _: False, lambda: 0.0
    )
    request = ttypes.GrantRequest(
        request_id="r", fingerprint=requested_fingerprint, budget_ms=1000, group_id=""
    )

    async def main():
        return [reply.kind async for reply in handler.answers(request)]

    return asyncio.run(main())


@pytest.mark.parametrize(
    ("fingerprint", "outcome", "kinds"),
    [
        (7, RUNNING, ["exists"]),
        (7, COMPLETED, ["exists"]),
        (7, ENDPOINT_DIED, []),
        (8, RUNNING, ["idempotency_key_reused"]),
        (8, ENDPOINT_DIED, []),
        # The agent restarted and found the stream on the engine.
        (None, RUNNING, ["exists"]),
    ],
)
def test_known_request_is_denied_as_existing_or_reused_key_or_runs_again(
    fingerprint, outcome, kinds
):
    assert denial_kinds(fingerprint, outcome) == kinds
