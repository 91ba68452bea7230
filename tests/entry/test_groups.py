"""Reservation of groups by an entry, with scripted agents."""

import asyncio

import pytest

from sorrelhoist.decisions.routing import RouteRequest, Target
from sorrelhoist.entry.errors import overload_error_from
from sorrelhoist.entry.grants import ExistingStream, HeldGrant, PendingRequest
from sorrelhoist.entry.groups import GroupReserver
from sorrelhoist.entry.leases import LeaseRenewer
from sorrelhoist.exceptions import InvalidRequestError, OverloadedError, PeerError
from sorrelhoist.messages.gen import ttypes
from sorrelhoist.node.peers import PeerAddress

REFUSED, ELSEWHERE, SILENT, DENIED = "refused", "elsewhere", "silent", "denied"


class Agents:
    """Fake acquirer, caller and pool in one, with scripted answers per endpoint."""

    def __init__(self, grants=None, holds=None):
        self.grants, self.holds = grants or {}, holds or {}
        self.asked, self.submitted, self.cancelled = [], [], []
        self.pool = self

    async def acquire(self, pending, targets):
        [target] = targets
        self.asked.append((target.endpoint, pending.request))
        address = PeerAddress(target.endpoint, 1)
        match self.grants.get(target.endpoint):
            case "refused":
                denial = ttypes.Denial(kind="no_room", retry_after_ms=7000)
                raise overload_error_from([denial])
            case "elsewhere":
                return ExistingStream(target, address)
        grant = ttypes.Grant(grant_id=f"g-{target.endpoint}")
        return HeldGrant(target, address, grant)

    async def call(self, address, body):
        self.submitted.append((address.address, body))
        match self.holds.get(address.address):
            case "silent":
                raise PeerError("No answer.")
            case "denied":
                return ttypes.Denial(kind="unknown_grant")
        return ttypes.Piece()

    def cancel(self, address, grant_id):
        self.cancelled.append(grant_id)


def members(domain, count, kv_tokens=1000):
    names = [f"{domain}-{i}" for i in reversed(range(count))]
    return [Target(name, f"n-{name}", domain, kv_tokens) for name in names]


def reserve(agents, prompt_tokens=2000, targets=None):
    """Return the result of a reservation, and the leases held after it."""

    async def main():
        leases = LeaseRenewer("entry-1", agents, 3.0)
        request = ttypes.GrantRequest(
            request_id="r", model="m", prompt_tokens=prompt_tokens, output_tokens=100
        )
        route = RouteRequest("m", "a", prompt_tokens, 100, (), True)
        reserver = GroupReserver(agents, agents, leases)
        chosen = members("a", 3) if targets is None else targets
        try:
            group = await reserver.reserve(
                PendingRequest(route, request, 100.0), chosen
            )
        except (OverloadedError, InvalidRequestError) as error:
            return error, leases.dump()
        kept = leases.dump()
        await group.reservation.aclose()
        assert not leases.dump()
        return group, kept

    return asyncio.run(main())


def test_all_parts_are_reserved_in_order_and_released_once():
    agents = Agents()
    group, kept = reserve(agents)
    assert [name for name, _ in agents.asked] == ["a-0", "a-1", "a-2"]
    assert {request.kv_share_tokens for _, request in agents.asked} == {700}
    assert {request.group_id for _, request in agents.asked} == {"r"}
    assert len({id(request) for _, request in agents.asked}) == 3
    assert group.node_id == "n-a-0"
    assert [name for name, _ in agents.submitted] == ["a-1", "a-2"]
    assert all(
        body.group_endpoints == ["a-0", "a-1", "a-2"] for _, body in agents.submitted
    )
    assert len(kept) == 3
    assert sorted(agents.cancelled) == ["g-a-0", "g-a-1", "g-a-2"]


FAULTS = {
    "third part refused": (Agents({"a-2": REFUSED}), 2),
    "third part runs elsewhere": (Agents({"a-2": ELSEWHERE}), 2),
    "second part refused": (Agents({"a-1": REFUSED}), 1),
    "first part refused": (Agents({"a-0": REFUSED}), 0),
    "third part silent": (Agents(holds={"a-2": SILENT}), 3),
    "second part lost": (Agents(holds={"a-1": DENIED}), 3),
}


@pytest.mark.parametrize(("agents", "granted"), FAULTS.values(), ids=FAULTS)
def test_failed_reservation_releases_all_its_grants(agents, granted):
    error, kept = reserve(agents)
    assert isinstance(error, OverloadedError)
    assert error.not_run
    assert error.retry_after_s > 0
    assert sorted(agents.cancelled) == [f"g-a-{i}" for i in range(granted)]
    assert not kept
    # The leader was never sent the prompt, so nothing ran.
    assert all(body.prompt == "" for _, body in agents.submitted)
    assert "a-0" not in {name for name, _ in agents.submitted}


def test_next_domain_is_tried_after_a_refusal():
    agents = Agents({"a-1": REFUSED})
    group, _ = reserve(agents, targets=members("a", 3) + members("b", 4))
    assert [member.target.endpoint for member in group.members] == [
        "b-0",
        "b-1",
        "b-2",
    ]
    assert agents.cancelled[0] == "g-a-0"


def test_first_refusal_is_raised_when_all_domains_refuse():
    agents = Agents({"a-2": REFUSED, "b-0": REFUSED})
    error, kept = reserve(agents, targets=members("a", 3) + members("b", 3))
    assert error.retry_after_s == 7.0
    assert error.not_run
    assert sorted(agents.cancelled) == ["g-a-0", "g-a-1"]
    assert not kept


@pytest.mark.parametrize(
    "targets", [members("a", 2) + members("b", 2), members("a", 1), []]
)
def test_prompt_larger_than_every_domain_is_invalid(targets):
    agents = Agents()
    error, _ = reserve(agents, targets=targets)
    assert error.kind == "invalid_request"
    assert error.not_run
    assert not agents.asked
