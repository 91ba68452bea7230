import asyncio
import uuid

import pytest

from sorrelhoist.agent.app import Agent
from sorrelhoist.bench.fleet import ADDRESS, fetch
from sorrelhoist.entry.app import Entry
from sorrelhoist.settings import EndpointSettings
from sorrelhoist.standins.testing import running_plain_service, running_platform
from tests.entry.in_process import (
    DOMAIN,
    OPERATOR_KEY,
    documents,
    settings,
    until,
)

SERVICE = {"kind": "Service", "name": "bookings", "type": "plain"}
ENDPOINT = {"kind": "Endpoint", "name": "b-1", "failure_domain": DOMAIN}


async def apply(entry, *more):
    url = f"http://{ADDRESS}:{entry.settings.http_port}/operator/v1/apply"
    body = {"documents": documents(["e-1"]) + list(more), "apply_id": uuid.uuid4().hex}
    answer = await fetch(url, "POST", body, {"Authorization": f"Bearer {OPERATOR_KEY}"})
    assert answer.code == 200, answer.body


async def open_agent(at_most_once):
    """Start an agent on an empty log and apply the endpoint's document last."""
    service = SERVICE | {"at_most_once": at_most_once, "lookup": at_most_once}
    async with running_platform() as platform, running_plain_service() as plain:
        own = settings("entry", "entry-1", platform.url, [])
        found = EndpointSettings("b-1", plain.url, "plain")
        seeds = [f"{ADDRESS}:{own.peer_port}"]
        agent = Agent(settings("agent", "a", platform.url, seeds, endpoint=found))
        async with Entry(own).running() as entry, agent.running():
            await until(lambda: agent.process.replica.is_ready)
            await until(lambda: entry.process.others())
            await apply(entry)
            await until(lambda: agent.process.replica.configuration.services)
            problem = agent.problem()
            await apply(entry, service, ENDPOINT | {"service": "bookings"})
            await until(lambda: not agent.problem())
            calls = agent.guard.calls
            return problem, calls._appender._log.topic, calls._options


@pytest.mark.parametrize("at_most_once", [True, False])
def test_agent_opens_with_the_claims_log_of_its_service(at_most_once):
    problem, topic, traits = asyncio.run(open_agent(at_most_once))
    assert "named the endpoint b-1" in problem
    assert topic == "claims.bookings"
    assert traits.at_most_once is at_most_once
    assert traits.offers_lookup is at_most_once
