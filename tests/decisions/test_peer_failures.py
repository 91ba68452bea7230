"""Failures that other gateways report, and how they spread in a loss of endpoints."""

import random

from sorrelhoist.decisions.endpoint_failures import FailureTracker
from sorrelhoist.decisions.peer_failures import MAX_REPORTED, REPORT_TTL_S, PeerFailures


def test_one_peer_is_not_enough_to_avoid_an_endpoint():
    peers = PeerFailures("zone-a")
    peers.heard("g-2", "zone-a", {"i-1": 1.0}, now_s=1.0)
    evidence = peers.evidence(1.0)["i-1"]
    own = FailureTracker()
    assert not own.is_avoided("i-1", 1.0, evidence)
    own.failed("i-1", 1.0, weight=0.5)
    assert own.is_avoided("i-1", 1.0, evidence)


def test_gateways_of_one_other_domain_are_not_enough():
    # They may be cut off together from an endpoint that this gateway reaches.
    peers = PeerFailures("zone-a")
    for number in range(20):
        peers.heard(f"g-{number}", "zone-b", {"i-1": 6.0}, now_s=1.0)
    assert not FailureTracker().is_avoided("i-1", 1.0, peers.evidence(1.0)["i-1"])


def test_a_later_report_replaces_an_earlier_one():
    peers = PeerFailures("zone-a")
    peers.heard("g-2", "zone-a", {"i-1": 1.0}, now_s=1.0)
    assert peers.evidence(1.0)
    peers.heard("g-2", "zone-a", {}, now_s=1.05)
    assert not peers.evidence(1.05)


def test_reports_of_a_silent_peer_expire():
    peers = PeerFailures("zone-a")
    peers.heard("g-2", "zone-a", {"i-1": 1.0}, now_s=1.0)
    assert not peers.evidence(1.0 + REPORT_TTL_S)


def test_a_report_holds_the_highest_scores_and_forgets_negligible_ones():
    own = FailureTracker()
    own.failed("i-low", 0.0, weight=0.1)
    own.failed("i-high", 0.0)
    assert list(own.worst(1, 0.0)) == ["i-high"]
    assert list(own.worst(MAX_REPORTED, 4.0)) == ["i-high"]
    assert own.worst(MAX_REPORTED, 60.0) == {}


GATEWAYS, ENDPOINTS, LOST = 27, 69, 22
REPORT_DELAY_S = 0.15
REQUESTS_PER_S = 120


def failed_sends(are_shared):
    """Replay the loss of a domain's endpoints; return the sends to lost ones in 2 s.

    As on lumenvale-perth-grown trouble-1, 23 to 25 s. Each gateway draws among the
    endpoints that it doesn't avoid.
    """
    rng = random.Random(1)
    own = [FailureTracker() for _ in range(GATEWAYS)]
    domains = [f"zone-{number % 3}" for number in range(GATEWAYS)]
    peers = [PeerFailures(domain) for domain in domains]
    next_report_s, failed = REPORT_DELAY_S, 0
    for step in range(2 * REQUESTS_PER_S):
        now_s = step / REQUESTS_PER_S
        if are_shared and now_s >= next_report_s:
            next_report_s += REPORT_DELAY_S
            for number in range(GATEWAYS):
                worst = own[number].worst(MAX_REPORTED, now_s)
                for other in range(GATEWAYS):
                    if other != number:
                        peers[other].heard(f"g-{number}", domains[number], worst, now_s)
        gateway = rng.randrange(GATEWAYS)
        evidence = peers[gateway].evidence(now_s)
        while True:
            usable = [
                endpoint
                for endpoint in map(str, range(ENDPOINTS))
                if not own[gateway].is_avoided(
                    endpoint, now_s, evidence.get(endpoint, 0.0)
                )
            ]
            chosen = rng.choice(usable)
            if int(chosen) >= LOST:
                break
            own[gateway].failed(chosen, now_s)
            failed += 1
    return failed


def test_gateways_that_share_failures_find_lost_endpoints_together():
    alone, together = failed_sends(are_shared=False), failed_sends(are_shared=True)
    # Two gateways have to fail at an endpoint before the others avoid it.
    assert together < 3 * LOST < alone
