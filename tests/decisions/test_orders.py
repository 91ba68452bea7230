"""Placement is deterministic; the reconciler respects fencing, leases and back-off."""

import random
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sorrelhoist.decisions.configuration_set import Configuration
from sorrelhoist.decisions.documents import (
    Endpoint,
    FailureDomain,
    Model,
    ModelUse,
    Service,
)
from sorrelhoist.decisions.orders import (
    AnnounceFencing,
    ConfirmLease,
    Load,
    NoOrder,
    Observed,
    OrderOptions,
    Reconciler,
)
from sorrelhoist.decisions.orders_placement import (
    Desired,
    desired_for,
    may_change_model,
)
from sorrelhoist.decisions.orders_registrations import (
    Registration,
    decode_registration,
    encode_registration,
)
from sorrelhoist.exceptions import PlatformError

DOMAINS = ("praha-a", "praha-b", "kladno-c")
WANTED = Desired("clown", "2")


def _fleet(per_domain, models=("clown", "juggler"), fixed=""):
    uses = tuple(ModelUse(name, "2") for name in models)
    endpoints = [
        Endpoint(f"{domain}-{index}", domain, "drafts", fixed)
        for domain in DOMAINS
        for index in range(per_domain)
    ]
    return Configuration.of(
        [
            *(FailureDomain(name) for name in DOMAINS),
            *(Model(name, "2", 1000, 100) for name in models),
            Service("drafts", "model", uses),
            Service("bookings", "plain"),
            *endpoints,
            Endpoint("plain-1", DOMAINS[0], "bookings"),
        ]
    )


def _placed(fleet, live):
    return {name: desired_for(fleet, name, live) for name in live}


@given(st.integers(1, 9), st.integers(1, 5), st.randoms())
def test_fuzz_placement_is_balanced_and_independent_of_other_domains(
    per_domain, count, rng
):
    fleet = _fleet(per_domain, tuple(f"m{index}" for index in range(count)))
    live = [name for name in fleet.endpoints if name != "plain-1"]
    before = _placed(fleet, live)
    shuffled = rng.sample(live, len(live))
    assert _placed(fleet, shuffled) == before
    for domain in DOMAINS:
        held = Counter(
            desired.model for name, desired in before.items() if domain in name
        )
        counts = [held[f"m{index}"] for index in range(count)]
        assert max(counts) - min(counts) <= 1
    # Losing the other domains moves no model in this one.
    here = [name for name in live if DOMAINS[0] in name]
    assert _placed(fleet, here) == {name: before[name] for name in here}


@pytest.mark.parametrize("name", ["plain-1", "unknown"])
def test_endpoint_without_a_model_service_has_no_desired_state(name):
    assert desired_for(_fleet(2), name, []) is None


def test_model_named_by_the_endpoint_overrides_placement():
    fleet = _fleet(2, fixed="juggler")
    assert desired_for(fleet, "praha-a-0", []) == Desired("juggler", "2")
    assert desired_for(_fleet(2, fixed="gone"), "praha-a-0", []) is None


def test_rolling_change_takes_a_quarter_at_once_and_reaches_all():
    fleet = _fleet(4)
    live = [name for name in fleet.endpoints if name != "plain-1"]
    settled: set[str] = set()
    rounds = 0
    while len(settled) < len(live):
        turns = [
            name
            for name in live
            if name not in settled and may_change_model(fleet, name, live, settled)
        ]
        assert 1 <= len(turns) <= 3
        settled.update(turns)
        rounds += 1
    assert rounds == 4


def _observed(version="1", highest_fencing=7, taken_at_s=500.0, model="clown"):
    return Observed(model, version, highest_fencing, taken_at_s)


def _reconciler(*, fences=True, registered_at_s=0.0):
    options = OrderOptions(
        fences, lease_s=5.0, max_order_duration_s=100.0, load_jitter_s=0.0
    )
    reconciler = Reconciler(options, random.Random(0))
    reconciler.registered(7, registered_at_s)
    return reconciler


@pytest.mark.parametrize(
    ("observed", "desired", "turn", "decision"),
    [
        (_observed(), WANTED, True, Load("clown", "2")),
        (_observed("2"), WANTED, True, NoOrder("as desired")),
        (_observed(), None, True, NoOrder("the configuration asks for nothing")),
        (_observed(), WANTED, False, NoOrder("others change first")),
        (_observed(model=""), WANTED, False, Load("clown", "2")),
        (_observed("2", 6), WANTED, False, AnnounceFencing("serve")),
        (_observed("1", 8), WANTED, True, NoOrder("another agent has the endpoint")),
    ],
)
def test_decisions_for_an_endpoint_with_fencing(observed, desired, turn, decision):
    assert _reconciler().decide(observed, desired, turn, 500.0) == decision


def test_successor_waits_for_lease_and_longest_order_to_end():
    reconciler = _reconciler(fences=False)
    observed = _observed(highest_fencing=0)
    held = reconciler.decide(observed, WANTED, True, 110.0)
    assert held == NoOrder("orders of the agent before may still run")
    assert reconciler.decide(observed, WANTED, True, 111.0) == ConfirmLease()
    reconciler.lease_confirmed(111.0)
    assert reconciler.decide(observed, WANTED, True, 112.0) == Load("clown", "2")
    assert reconciler.may_send(115.9)
    assert not reconciler.may_send(116.0)
    reconciler.mark_replaced()
    assert not reconciler.may_send(112.0)


def test_report_older_than_the_last_order_is_ignored():
    reconciler = _reconciler()
    reconciler.order_done(500.0)
    old = reconciler.decide(_observed(taken_at_s=499.0), WANTED, True, 501.0)
    assert old == NoOrder("the report is older than the last order")
    new = reconciler.decide(_observed(taken_at_s=500.5), WANTED, True, 501.0)
    assert new == Load("clown", "2")


def test_failed_order_backs_off_for_at_least_retry_after():
    reconciler = _reconciler()
    reconciler.decide(_observed(), WANTED, True, 500.0)
    reconciler.order_failed(PlatformError("busy", retry_after_s=30.0), 500.0)
    held = reconciler.decide(_observed(), WANTED, True, 529.0)
    assert held == NoOrder("waiting to load")
    again = reconciler.decide(_observed(), WANTED, True, 545.0)
    assert again == Load("clown", "2")


@given(st.text() | st.from_type(Registration).map(encode_registration))
def test_fuzz_decoded_registrations_round_trip(text):
    registration = decode_registration(text)
    assert registration is None or encode_registration(registration) == text
