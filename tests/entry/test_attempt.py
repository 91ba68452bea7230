"""Attempts against a scripted agent, over real connections."""

import asyncio
import random
from contextlib import AsyncExitStack, asynccontextmanager, contextmanager

import pytest
from hypothesis import given
from hypothesis import strategies as st
from tornado.netutil import bind_sockets

from sorrelhoist.decisions.routing import RouteRequest, Target
from sorrelhoist.decisions.streams import Delivery, StreamAssembler
from sorrelhoist.entry import attempt as attempt_module
from sorrelhoist.entry.agent_client import AgentClient
from sorrelhoist.entry.attempt import Attempt, AttemptContext, Broken, Finished
from sorrelhoist.entry.grants import HeldGrant, PendingRequest
from sorrelhoist.entry.groups import HeldGroup
from sorrelhoist.entry.leases import LeaseRenewer
from sorrelhoist.exceptions import DeadlineExceededError
from sorrelhoist.messages.gen import ttypes
from sorrelhoist.node.peers import PeerAddress, PeerPool, PeerServer

ADDRESS = "127.0.0.1"
TOKENS = [f"w{i} " for i in range(8)]
SILENT = "silent"
CUT = "cut"
TARGET = Target("e-1", "agent-1", "praha-a", 1000)


def piece(start, stop, request_id="r"):
    tokens = TOKENS[start:stop]
    if request_id != "r":
        tokens = ["WRONG "] * len(tokens)
    return ttypes.Piece(request_id=request_id, sequence=start, tokens=tokens)


def end(total=8, request_id="r"):
    return ttypes.StreamEnd(
        request_id=request_id, total_tokens=total, finish_reason="stop", prompt_tokens=2
    )


def failure(kind, request_id="r"):
    return ttypes.StreamFailure(request_id=request_id, kind=kind, message="Lost.")


class Script:
    """An agent that answers each connection with the next list of replies."""

    def __init__(self, *openings):
        self.openings = list(openings)
        self.asked, self.cancelled = [], []

    async def handle(self, body, responder):
        if isinstance(body, ttypes.Cancel):
            self.cancelled.append(body.grant_id)
            await responder.send(ttypes.Cancelled(not_run=False))
            return
        self.asked.append(body)
        replies = self.openings.pop(0) if self.openings else [SILENT]
        for reply in replies:
            if reply == CUT:
                responder.stream.close()
            elif reply == SILENT:
                await asyncio.Event().wait()
            else:
                await responder.send(reply)


def pending_request(clock, timeout_s):
    request = ttypes.GrantRequest(
        request_id="r", model="m", entry_id="entry-1", output_tokens=8
    )
    route = RouteRequest("m", "praha-a", 100_000, 8, (), False)
    return PendingRequest(route, request, clock() + timeout_s)


@asynccontextmanager
async def running(script, timeout_s=300.0, survives_caller=False):
    clock = asyncio.get_running_loop().time
    server, pool = PeerServer(script.handle), PeerPool()
    sockets = bind_sockets(0, ADDRESS)
    server.add_sockets(sockets)
    address = PeerAddress(ADDRESS, sockets[0].getsockname()[1])
    leases = LeaseRenewer("entry-1", pool, 3.0)
    context = AttemptContext(pool, AgentClient(pool), leases, clock, lambda load: None)
    own = Attempt(
        context,
        pending_request(clock, timeout_s),
        "prompt",
        StreamAssembler("r"),
        survives_caller,
    )
    held = HeldGrant(TARGET, address, ttypes.Grant(grant_id="g", lease_ms=3000))
    try:
        yield own, held
    finally:
        pool.close()
        server.close()


async def gather(own, held):
    events = [event async for event in own.events(held)]
    delivered = [t for e in events[:-1] for t in e.tokens]
    assert all(isinstance(event, Delivery) for event in events[:-1])
    assert delivered == own.assembler.tokens == TOKENS[: len(delivered)]
    return events[-1]


def run(script, **more):
    async def main():
        async with running(script, **more) as (own, held):
            return await gather(own, held)

    return asyncio.run(main())


@pytest.fixture(autouse=True)
def no_waits(monkeypatch):
    monkeypatch.setattr(attempt_module, "ATTACH_INTERVAL_S", 0.0)


COMPLETE = {
    "plain": [[piece(0, 8), end()]],
    "heartbeats": [[piece(0, 0), piece(0, 4), piece(4, 4), piece(4, 8), end()]],
    "duplicated": [[piece(0, 4), piece(0, 4), piece(2, 6), piece(0, 8), end()]],
    "late": [[piece(0, 6), piece(0, 2), piece(6, 8), piece(2, 4), end()]],
    "crossed": [[piece(0, 4), piece(4, 6, "x"), piece(4, 8), end()]],
    "gapped": [[piece(0, 2), piece(4, 8), end()], [piece(2, 8), end()]],
    "end too early": [[piece(0, 5), end()], [piece(5, 8), end()]],
    "end of another": [[piece(0, 5), end(5, "x")], [piece(5, 8), end()]],
    "failure of another": [[piece(0, 5), failure("x", "x"), piece(5, 8), end()]],
    "cut at once": [[CUT], [piece(0, 8), end()]],
    "cut midway": [[piece(0, 3), CUT], [piece(3, 4), CUT], [piece(4, 8), end()]],
    "foreign reply": [[piece(0, 3), ttypes.Cancelled()], [piece(3, 8), end()]],
}


@pytest.mark.parametrize("name", COMPLETE)
def test_caller_gets_the_complete_answer_exactly_once(name):
    script = Script(*COMPLETE[name])
    assert run(script) == Finished("stop", 2, 8)
    for attach in script.asked[1:]:
        assert isinstance(attach, ttypes.Attach) and attach.request_id == "r"


BROKEN = {
    "endpoint died": ([piece(0, 3), failure("endpoint_died")], False),
    "moved": ([piece(0, 3), failure("moved")], True),
    "leaving": ([failure("leaving")], True),
    "denied": ([ttypes.Denial(kind="domain_out", message="Out.")], True),
}


@pytest.mark.parametrize("name", BROKEN)
def test_broken_attempt_reports_whether_it_was_planned(name):
    replies, planned = BROKEN[name]
    script = Script(replies)
    broken = run(script)
    assert isinstance(broken, Broken) and broken.planned is planned


def test_silent_agent_breaks_the_attempt(monkeypatch):
    monkeypatch.setattr(attempt_module, "SILENCE_TIMEOUT_S", 0.02)
    broken = run(Script([piece(0, 3), SILENT]))
    assert broken == Broken("agent_silent", "The agent went silent.")


def test_attempt_breaks_when_the_agent_stays_unreachable(monkeypatch):
    monkeypatch.setattr(attempt_module, "MAX_ATTACH_TIME_S", 0.02)
    broken = run(Script(*[[CUT]] * 10_000))
    assert isinstance(broken, Broken) and broken.kind == "peer_unreachable"


def test_attempt_raises_when_the_deadline_passes():
    with pytest.raises(DeadlineExceededError, match="after 3 tokens"):
        run(Script([piece(0, 3), SILENT]), timeout_s=0.05)


@pytest.mark.parametrize("survives", [False, True])
def test_cancelled_attempt_releases_its_grant_unless_it_survives_the_caller(survives):
    async def main():
        script = Script([piece(0, 3), SILENT])
        async with running(script, survives_caller=survives) as (own, held):
            events = own.events(held)
            await anext(events)
            await events.aclose()
            await asyncio.sleep(0)  # lets a pending cancel be sent first
            await own.context.pool.call(held.address, ttypes.Cancel(grant_id="last"))
        return script.cancelled

    assert asyncio.run(main()) == (["last"] if survives else ["g", "last"])


REPLIES = st.lists(
    st.tuples(st.integers(0, 8), st.integers(0, 8)).map(lambda two: piece(*two))
    | st.tuples(st.integers(0, 8), st.integers(0, 8)).map(lambda two: piece(*two, "x"))
    | st.integers(0, 8).map(end)
    | st.integers(0, 8).map(lambda total: end(total, "x"))
    | st.just(CUT),
    max_size=6,
)


@given(st.lists(REPLIES, max_size=4), st.integers())
def test_fuzz_any_sequence_of_replies_gives_the_correct_answer(openings, seed):
    rng = random.Random(seed)
    total = len(TOKENS)
    openings = [[r for r in o if not is_short_end(r)] + [CUT] for o in openings]
    cut = rng.randrange(total)
    last = [piece(0, cut), piece(0, total), end()]
    assert run(Script(*openings, last)) == Finished("stop", 2, total)


def is_short_end(reply):
    """Return whether a reply claims fewer tokens than its own answer has."""
    own = isinstance(reply, ttypes.StreamEnd) and reply.request_id == "r"
    return own and reply.total_tokens < len(TOKENS)


@pytest.fixture
def lost_leases(monkeypatch):
    """Report each grant as lost, like a renewal that overtakes the stream's end."""

    @contextmanager
    def renewing(keeper, held):
        lost = asyncio.Event()
        lost.set()
        yield lost

    monkeypatch.setattr(LeaseRenewer, "renewing", renewing)


def test_lost_lease_of_an_ending_stream_does_not_break_the_attempt(lost_leases):
    assert isinstance(run(Script([piece(0, 8), end()])), Finished)


def test_lost_lease_of_a_group_part_breaks_the_attempt(lost_leases):
    async def main():
        async with running(Script([piece(0, 8), end()])) as (own, held):
            group = HeldGroup([held, held_part(held)], AsyncExitStack())
            return await gather(own, group)

    assert asyncio.run(main()).kind == "part_lost"


def held_part(held):
    grant = ttypes.Grant(grant_id="part", lease_ms=3000)
    return HeldGrant(TARGET, held.address, grant)
