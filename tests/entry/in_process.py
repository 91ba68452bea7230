"""Fixture: an entry, agents and stand-ins in the event loop of the test."""

import asyncio
import hashlib
import json
from contextlib import AsyncExitStack, asynccontextmanager

import attrs

from sorrelhoist.agent.app import Agent
from sorrelhoist.bench.fleet import ADDRESS, fetch, free_port
from sorrelhoist.entry.app import Entry
from sorrelhoist.settings import EndpointSettings, Settings
from sorrelhoist.standins.engine_options import EngineOptions
from sorrelhoist.standins.testing import running_engine, running_platform

OPERATOR_KEY = "operator-key"
CALLER_KEY = "caller-key"
DOMAIN = "praha-a"
MODEL = "clown-large"
ENGINE = EngineOptions(
    start_cold=False,
    prefill_tokens_per_s=1e6,
    decode_step_s=0.001,
    restart_s=0.1,
    report_lag_s=0.0,
    kv_capacity_tokens=100_000,
)


def sha256(text):
    return hashlib.sha256(text.encode()).hexdigest()


def caller_headers(**more):
    return {"Authorization": f"Bearer {CALLER_KEY}"} | more


def documents(endpoints):
    model = {"name": MODEL, "version": "3"}
    found = [
        {"kind": "FailureDomain", "name": DOMAIN, "region": "cz", "state": "in"},
        {"kind": "Model", **model, "context_tokens": 50_000}
        | {"long_prompt_tokens": 32_000, "bytes_per_token": 4},
        {"kind": "Service", "name": "drafts", "type": "model", "models": [model]},
        {"kind": "Workspace", "name": "desk", "key_sha256": [sha256(CALLER_KEY)]}
        | {"weight": 1, "models": [MODEL], "services": [], "requests_per_s": 1000}
        | {"burst_requests": 1000, "concurrent_tokens": 4_000_000},
    ]
    return found + [
        {"kind": "Endpoint", "name": name, "failure_domain": DOMAIN}
        | {"service": "drafts", "model": MODEL, "kv_capacity_tokens": 100_000}
        | {"max_running_requests": 16, "cold_running_requests": 2}
        | {"prefill_tokens_per_s": 1_000_000, "fencing": True}
        for name in endpoints
    ]


def settings(role, name, platform_url, seeds, **more):
    return Settings(
        role=role,
        node_id=name,
        host=f"host-{name}",
        failure_domain=DOMAIN,
        address=ADDRESS,
        http_port=free_port(),
        peer_port=free_port(),
        platform_url=platform_url,
        stream_key="stream-key-0123456789",
        operator_key_sha256=[sha256(OPERATOR_KEY)],
        seeds=seeds,
        **more,
    )


@attrs.define
class System:
    """The running processes, for inspection and fault injection."""

    entry: Entry
    agents: dict
    engines: dict

    @property
    def url(self):
        return f"http://{ADDRESS}:{self.entry.settings.http_port}"

    def post(self, body, path="/v1/completions", **headers):
        return fetch(self.url + path, "POST", body, caller_headers(**headers))

    async def inject_faults(self, endpoint, **faults):
        answer = await fetch(f"{self.engines[endpoint].url}/faults", "POST", faults)
        assert answer.code == 200, answer.body

    def kv_used_tokens(self):
        return sum(e.state.core.kv_used_tokens for e in self.engines.values())


async def until(condition, interval_s=0.01):
    while not condition():
        await asyncio.sleep(interval_s)


@asynccontextmanager
async def running_system(endpoints=("e-1",), engine=ENGINE, **agent_settings):
    """Run one entry and, for each endpoint, an agent with its engine."""
    async with AsyncExitStack() as stack:
        platform = await stack.enter_async_context(running_platform())
        own = settings("entry", "entry-1", platform.url, [])
        seeds = [f"{ADDRESS}:{own.peer_port}"]
        entry = await stack.enter_async_context(Entry(own).running())
        agents, engines = {}, {}
        for name in endpoints:
            engines[name] = await stack.enter_async_context(running_engine(engine))
            found = EndpointSettings(name, engines[name].url)
            more = {"endpoint": found} | agent_settings
            agent = Agent(settings("agent", name, platform.url, seeds, **more))
            agents[name] = await stack.enter_async_context(agent.running())
        await until(lambda: len(entry.process.members()) > len(endpoints))
        system = System(entry, agents, engines)
        applied = await fetch(
            f"{system.url}/operator/v1/apply",
            "POST",
            {"documents": documents(endpoints)},
            {"Authorization": f"Bearer {OPERATOR_KEY}"},
        )
        assert applied.code == 200, applied.body
        await until(lambda: not any(agent.problem() for agent in agents.values()))
        yield system


def error_of(response):
    return json.loads(response.body)["error"]
