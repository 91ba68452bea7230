"""Gateways that are short of resources, and how many of them say so at once."""

import random

import pytest

from sorrelhoist.decisions.overload.gateway_health import (
    FleetHeadroom,
    GatewayHealth,
    Resource,
    ResourceSample,
)
from sorrelhoist.decisions.overload.parts import ALL_PARTS
from sorrelhoist.decisions.store_contact import StoreContact
from sorrelhoist.gateway.resource_watch import update_health
from sorrelhoist.gateway.state import GatewayState

LINK_BYTES_PER_S = 1_250_000.0


def observe(health, delays_s, start_s=0.0):
    """Sample the loop each 0.1 s, later by each delay."""
    now_s = start_s
    for delay_s in delays_s:
        now_s += 0.1 + delay_s
        health.observe(ResourceSample(loop_delay_s=delay_s), now_s)
    return now_s


@pytest.mark.parametrize("spikes", [[1.0], [0.3, 0.0, 0.3], [0.2] * 5, [2.0, 0.5]])
def test_a_short_spike_does_not_make_a_gateway_short(spikes):
    # A second of start-up, or a pause for garbage collection.
    health = GatewayHealth()
    observe(health, [0.0] * 5 + spikes + [0.0] * 20)
    assert not health.is_short


def test_a_lasting_delay_makes_a_gateway_short_until_it_has_room_again():
    health = GatewayHealth()
    now_s = observe(health, [0.15] * 10)
    assert health.is_short
    now_s = observe(health, [0.07, 0.09] * 30, now_s)
    assert health.is_short
    observe(health, [0.01] * 25, now_s)
    assert not health.is_short


@pytest.mark.parametrize(
    "unsent, is_short",
    [((50_000,) * 20, True), ((5_000_000,) + (0,) * 9, False), ((0,) * 50, False)],
)
def test_the_link_is_short_only_if_most_connections_wait_for_it(unsent, is_short):
    # A caller that reads slowly has megabytes waiting on a link that is free.
    health = GatewayHealth()
    for tenth in range(30):
        sample = ResourceSample(unsent_bytes=unsent, link_bytes_per_s=LINK_BYTES_PER_S)
        health.observe(sample, tenth / 10)
    assert health.is_short == is_short
    assert not is_short or health.scarcest is Resource.LINK


@pytest.mark.parametrize("count", [3, 5, 30, 68, 300])
@pytest.mark.parametrize("loss", [0.0, 0.3])
@pytest.mark.parametrize("former_every", [0, 4])
def test_at_most_a_third_of_the_gateways_is_withdrawn_at_once(
    count, loss, former_every
):
    # When load rises everywhere, all gateways would report themselves not ready.
    rng = random.Random(count)
    fleets = [FleetHeadroom() for _ in range(count)]
    states = [
        GatewayState(
            node_id=f"g-{number}",
            failure_domain="a",
            contact=StoreContact(revoke_s=5.0),
            overload_parts=ALL_PARTS,
            fleet_headroom=fleets[number],
        )
        for number in range(count)
    ]
    delays_s = [rng.uniform(0.095, 0.2) for _ in states]
    withdrawn = []
    for tenth in range(100):
        for number, state in enumerate(states):
            is_former = former_every and number % former_every == 1
            percent = None if is_former else round(100 * state.health.headroom)
            # An unchanged report is sent each 0.5 s, and each 0.75 s to 300.
            if (tenth + number) % (5 if count < 300 else 7) == 0:
                for other in fleets[:number] + fleets[number + 1 :]:
                    if rng.random() >= loss:
                        other.peer_reported(state.node_id, percent, tenth / 10)
        for number, (state, delay_s) in enumerate(zip(states, delays_s, strict=True)):
            if former_every and number % former_every == 1:
                continue
            sample = ResourceSample(loop_delay_s=delay_s if tenth >= 70 else 0.0)
            update_health(state, sample, tenth / 10)
        withdrawn.append(sum(state.is_withdrawn for state in states))
    assert 1 <= max(withdrawn) <= count / 3


def test_memory_can_be_what_is_short():
    health = GatewayHealth()
    for tenth in range(20):
        health.observe(ResourceSample(memory_headroom=0.02), tenth / 10)
    assert (health.is_short, health.scarcest) == (True, Resource.MEMORY)
