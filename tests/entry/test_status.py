"""Alarms of the system status, and their text for operators."""

import random

import attrs
import pytest

from sorrelhoist.commands.operator_text import MAX_LISTED, status_lines
from sorrelhoist.decisions.configuration_set import Configuration
from sorrelhoist.decisions.documents import (
    Endpoint,
    FailureDomain,
    ModelUse,
    Service,
)
from sorrelhoist.decisions.membership_records import Member, MemberState
from sorrelhoist.decisions.routing import ExpectedFirstToken, Router
from sorrelhoist.decisions.suspicion import SuspicionTable
from sorrelhoist.entry.refusals import RecentRefusals
from sorrelhoist.entry.status_alarms import (
    configuration_alarms,
    endpoint_alarms,
    model_alarms,
    phase_alarms,
    refusal_alarms,
    suspicion_alarms,
)
from sorrelhoist.messages.gen import ttypes

AGENT = Member("agent-1", role="agent", failure_domain="praha-a", endpoint="praha-a-1")
DEAD = Member(
    "agent-1",
    state=MemberState.DEAD,
    failure_domain="praha-a",
    endpoint="praha-a-1",
)
SECOND = Member("agent-2", failure_domain="praha-a", endpoint="praha-a-1")
ELSEWHERE = Member("agent-1", failure_domain="praha-b", endpoint="praha-a-1")


def make_configuration(state="in", endpoints=("praha-a-1",)):
    documents = [Endpoint(name, "praha-a", "drafts") for name in endpoints]
    return Configuration.of([FailureDomain("praha-a", state=state), *documents])


def kinds(alarms):
    alarms = list(alarms)
    assert all(alarm.message and alarm.remedy for alarm in alarms)
    return [alarm.kind for alarm in alarms]


@pytest.mark.parametrize(
    ("is_ready", "revision", "expected"),
    [(True, 0, ["configuration_empty"]), (True, 1, []), (False, 0, [])],
)
def test_alarm_if_no_configuration_was_ever_applied(is_ready, revision, expected):
    assert kinds(configuration_alarms(is_ready, revision)) == expected


@pytest.mark.parametrize(
    ("configuration", "members", "expected"),
    [
        (make_configuration(), [AGENT], []),
        (make_configuration(), [], ["endpoint_missing"]),
        (make_configuration(), [DEAD], ["endpoint_missing"]),
        (make_configuration("out"), [], []),
        (make_configuration(endpoints=()), [AGENT], []),
        (make_configuration(), [AGENT, SECOND], ["endpoint_contested"]),
        (make_configuration(), [ELSEWHERE], ["endpoint_misplaced"]),
    ],
)
def test_alarms_for_missing_contested_and_misplaced_agents(
    configuration, members, expected
):
    assert kinds(endpoint_alarms(configuration, members)) == expected


@pytest.mark.parametrize(
    ("phase", "configuration", "members", "expected"),
    [
        ("cold", make_configuration(), [AGENT], ["endpoint_cold"]),
        ("unknown", make_configuration(), [AGENT], ["endpoint_cold"]),
        ("serving", make_configuration(), [AGENT], []),
        ("cold", make_configuration("out"), [AGENT], []),
        ("cold", make_configuration(endpoints=()), [AGENT], []),
        ("cold", make_configuration(), [DEAD], []),
    ],
)
def test_alarm_for_cold_and_unknown_endpoints(phase, configuration, members, expected):
    router = Router(ExpectedFirstToken(), random.Random(1))
    load = ttypes.Load("praha-a-1", phase, 0, 0, 0, 0, 0, 0, 0, 0)
    router.observe(load, now_s=3.0)
    alarms = list(phase_alarms(configuration, members, router, now_s=10.0))
    assert kinds(alarms) == expected
    assert all("7 s ago" in alarm.message for alarm in alarms)


@pytest.mark.parametrize(
    ("loaded", "state", "expected"),
    [
        (("clown-large@3",), MemberState.ALIVE, ["endpoint_model"]),
        (("clown-large@4",), MemberState.ALIVE, []),
        ((), MemberState.ALIVE, []),
        (("clown-large@3",), MemberState.DEAD, []),
    ],
)
def test_alarm_for_endpoint_without_its_configured_model(loaded, state, expected):
    configuration = Configuration.of(
        [
            Service("drafts", "model", (ModelUse("clown-large", "4"),)),
            Endpoint("praha-a-1", "praha-a", "drafts", "clown-large"),
        ]
    )
    member = attrs.evolve(AGENT, models=loaded, state=state)
    assert kinds(model_alarms(configuration, [member])) == expected


def record_deaths(table, alone, *deaths):
    for number in deaths:
        table.endpoint_died(
            f"praha-a-{number}", "boot", [7], 100.0 * number, 1 if alone else 2
        )


@pytest.mark.parametrize(
    ("alone", "deaths", "completes", "now_s", "expected"),
    [
        (True, [], False, 300.0, []),
        (True, [1], False, 300.0, ["request_suspected"]),
        (True, [1, 2], False, 300.0, ["request_condemned"]),
        (False, [1, 2], False, 300.0, ["request_suspected"]),
        (True, [1, 2], True, 300.0, []),
        (True, [1, 2], False, 9_000.0, []),
    ],
)
def test_alarms_for_suspected_and_condemned_requests(
    alone, deaths, completes, now_s, expected
):
    table = SuspicionTable()
    record_deaths(table, alone, *deaths)
    if completes:
        table.completed(7, 250.0)
    assert kinds(suspicion_alarms(table, now_s)) == expected


@pytest.mark.parametrize(
    ("kind", "count", "requests", "age_s", "expected"),
    [
        ("overloaded", 10, 100, 0.0, ["refusals_high"]),
        ("overloaded", 9, 100, 0.0, []),
        ("overloaded", 10, 1_000, 0.0, []),
        ("overloaded", 10, 100, 90.0, []),
        ("limit_exceeded", 90, 100, 0.0, []),
        ("outcome_unknown", 1, 100, 0.0, ["claims_without_outcome"]),
        ("outcome_unknown", 1, 100, 90.0, ["claims_without_outcome"]),
        ("outcome_unknown", 1, 100, 700.0, []),
    ],
)
def test_alarms_for_recent_refusals(kind, count, requests, age_s, expected):
    recent = RecentRefusals()
    for _ in range(requests):
        recent.requested(1_000.0)
    for _ in range(count):
        recent.refused(kind, 1_000.0)
    assert kinds(refusal_alarms(recent, 1_000.0 + age_s)) == expected


def test_history_of_refusals_is_bounded():
    recent = RecentRefusals()
    for second in range(10_000):
        recent.refused("overloaded", float(second))
    assert len(recent._buckets) <= 61
    assert recent.refusals(60.0, 9_999.0)["overloaded"] == 60


def test_status_text_shows_each_kind_of_alarm_and_outdated_members():
    alarm = {"kind": "endpoint_missing", "message": "gone", "remedy": "start it"}
    last = {"kind": "request_condemned", "message": "kills", "remedy": "stop it"}
    status = {
        "is_healthy": False,
        "alarms": [alarm] * 400 + [last],
        "configuration": {"revision": 2, "effective_offset": 9},
        "members": [
            {"node_id": "agent-1", "configuration_offset": 8},
            {"node_id": "agent-2", "configuration_offset": 9},
            {"node_id": "agent-3", "configuration_offset": None},
        ],
    }
    lines = list(status_lines(status))
    assert lines[0] == "NOT healthy: 401 alarms"
    assert lines.count("    remedy: start it") == MAX_LISTED
    assert "  endpoint_missing: ... and 380 more" in lines
    assert "    remedy: stop it" in lines
    assert lines[-1] == "  older configuration on 1: agent-1"
