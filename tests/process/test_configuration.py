"""Configuration changes while the configuration log or processes are down."""

import asyncio
import json
import signal

import pytest

from sorrelhoist.bench.fleet import fetch, operator_headers
from tests.process.support import (
    Caller,
    apply,
    busy_endpoint,
    engines,
    grant_count,
    inject_faults,
    kv_cache_is_empty,
    wait_until,
)

pytestmark = pytest.mark.process
DOMAIN = "praha-a"
LONG_OUTAGE_S = 600


def with_domain_state(documents, state):
    return [
        d | {"state": state} if d.get("name") == DOMAIN and "region" in d else d
        for d in documents
    ]


async def offsets(fleet, names):
    """Return the offset of the configuration in force at each process."""
    found = {}
    for name in names:
        dump = await fleet.dump(name)
        found[name] = dump["process"]["configuration"]["effective_offset"]
    return found


def nodes(fleet):
    return [name for name, child in fleet.children.items() if child.peer_port]


async def all_at_offset(fleet, names, offset):
    return set((await offsets(fleet, names)).values()) == {offset}


async def grants_in_domain(fleet):
    return [await grant_count(fleet, n) for n in engines(fleet) if n.startswith(DOMAIN)]


async def accepted(fleet, documents):
    answer = await apply(fleet.entries()[0], documents)
    assert answer.code == 200, answer.body
    return body_of(answer)["effective_offset"]


def body_of(answer):
    return json.loads(answer.body)


def test_entry_frozen_during_a_domain_removal_sends_nothing_to_the_domain(run):
    """Guard against an entry that places requests by an outdated configuration.

    The entry is frozen while a domain is taken out, and the configuration log is
    down when it continues, so it can learn of the change only from its peers.
    """

    async def main(fleet):
        running = Caller(fleet.child("entry-1"), "running", 200).start()
        await running.wait_first_tokens()
        await wait_until(lambda: busy_endpoint(fleet))
        frozen = fleet.child("entry-2")
        frozen.signal(signal.SIGSTOP)
        offset = await accepted(fleet, with_domain_state(fleet.documents, "out"))
        await inject_faults(fleet.child("platform"), outage_s=LONG_OUTAGE_S)
        running_nodes = [name for name in nodes(fleet) if name != "entry-2"]
        await wait_until(lambda: all_at_offset(fleet, running_nodes, offset))
        before = await grants_in_domain(fleet)
        first = Caller(frozen, "woken", 5).start()
        frozen.signal(signal.SIGCONT)
        await first.retry_until_complete()
        # Sequential, as the only remaining endpoint may be cold.
        for number in range(5):
            await Caller(frozen, f"woken {number}", 5).retry_until_complete()
        await running.assert_complete()
        assert await grants_in_domain(fleet) == before
        await wait_until(lambda: all_at_offset(fleet, nodes(fleet), offset))
        await wait_until(lambda: kv_cache_is_empty(fleet))

    run(main)


def test_accepted_configuration_reaches_all_processes_and_survives_restarts(run):
    async def main(fleet):
        offset = await accepted(fleet, with_domain_state(fleet.documents, "out"))
        await inject_faults(fleet.child("platform"), outage_s=LONG_OUTAGE_S)
        await wait_until(lambda: all_at_offset(fleet, nodes(fleet), offset))
        for name in ("entry-2", "agent-praha-b-1"):
            fleet.child(name).kill()
            await fleet.restart_role(name)
        await fleet.wait_ready(["entry-2", "agent-praha-b-1"])
        assert await all_at_offset(fleet, nodes(fleet), offset)
        before = await grants_in_domain(fleet)
        for number, entry in enumerate(fleet.entries()):
            await Caller(entry, f"after {number}", 5).retry_until_complete()
        assert await grants_in_domain(fleet) == before

    run(main)


def test_concurrent_applies_accept_one_and_all_processes_agree(run):
    async def main(fleet):
        url = f"{fleet.entries()[0].url}/operator/v1/status"
        status = body_of(await fetch(url, headers=operator_headers()))
        base = status["configuration"]["revision"]
        sets = [
            [d | {"weight": weight} if "weight" in d else d for d in fleet.documents]
            for weight in (3, 5)
        ]
        answers = await asyncio.gather(
            *(
                apply(entry, documents, base_revision=base)
                for entry, documents in zip(fleet.entries(), sets, strict=True)
            )
        )
        assert sorted(answer.code for answer in answers) == [200, 409], answers
        won = next(body_of(a) for a in answers if a.code == 200)
        offset = won["effective_offset"]
        await wait_until(lambda: all_at_offset(fleet, nodes(fleet), offset))
        dumps = [await fleet.dump(name) for name in nodes(fleet)]
        digests = {d["process"]["configuration"].get("digest") for d in dumps}
        assert len(digests) == 1

    run(main)


def test_removing_a_domain_interrupts_no_answer(run):
    async def main(fleet):
        callers = [
            Caller(fleet.entries()[n % 2], f"moved {n}", 150, stream=n < 4).start()
            for n in range(8)
        ]
        await callers[0].wait_first_tokens()
        await accepted(fleet, with_domain_state(fleet.documents, "out"))
        # Started answers must complete; a request not yet started may be refused.
        for caller in callers:
            await caller.retry_until_complete()
        await wait_until(lambda: kv_cache_is_empty(fleet))

    run(main)


def test_leaving_host_gets_no_new_requests_and_interrupts_no_answer(run):
    async def main(fleet):
        caller = Caller(fleet.entries()[0], "leaving host").start()
        await caller.wait_first_tokens()
        endpoint = await wait_until(lambda: busy_endpoint(fleet))
        agent = fleet.child(f"agent-{endpoint}")
        host = {
            "address": "127.0.0.1",
            "peer_port": agent.peer_port,
            "failure_domain": endpoint.rpartition("-")[0],
            "role": "agent",
            "state": "leaving",
        }
        url = f"{fleet.child('platform').url}/v1/hosts/host-agent-{endpoint}"
        listed = await fetch(url, "PUT", host)
        assert listed.code < 300, listed.body
        try:
            await wait_until(lambda: is_not_ready(agent))
            before = await grant_count(fleet, endpoint)
            for number in range(8):
                entry = fleet.entries()[number % 2]
                await Caller(entry, f"beside {number}", 5).retry_until_complete()
            assert await grant_count(fleet, endpoint) == before
            await caller.assert_complete()
        finally:
            assert (await fetch(url, "DELETE")).code < 300

    run(main)


async def is_not_ready(agent):
    return (await fetch(f"{agent.url}/readyz")).code == 503
