import pytest
from hypothesis import given
from hypothesis import strategies as st

from sorrelhoist.decisions.lifecycle import EndpointLifecycle, LifecycleEvent, Phase

TO_SERVING = ["reported_serving", "fully_allowed"]
PATHS = {
    "unknown": [],
    "cold": ["reported_cold"],
    "warming": ["reported_serving"],
    "serving": TO_SERVING,
    "leaving": [*TO_SERVING, "leave"],
    "gone": [*TO_SERVING, "leave", "drained"],
}


def after(*events):
    lifecycle = EndpointLifecycle(0.0)
    for number, event in enumerate(events):
        lifecycle.on(LifecycleEvent(event), float(number))
    return lifecycle


@pytest.mark.parametrize("phase", PATHS)
def test_each_phase_is_reachable_and_a_reboot_makes_it_cold(phase):
    assert after(*PATHS[phase]).phase == phase
    assert after(*PATHS[phase], "boot_changed").phase is Phase.COLD


@pytest.mark.parametrize(
    "phase, event, target",
    [
        ("serving", "reported_cold", "cold"),
        ("serving", "slowed", "cold"),
        ("warming", "slowed", "cold"),
        ("serving", "troubled", "warming"),
        ("serving", "unreachable", "unknown"),
        ("cold", "fully_allowed", "cold"),
        ("cold", "leave", "leaving"),
        ("unknown", "leave", "leaving"),
        ("leaving", "stay", "unknown"),
        ("leaving", "reported_serving", "leaving"),
        ("leaving", "reported_cold", "cold"),
        ("gone", "reported_serving", "gone"),
        ("gone", "stay", "unknown"),
        ("warming", "removed", "gone"),
    ],
)
def test_transition(phase, event, target):
    assert after(*PATHS[phase], event).phase == target


def test_since_s_is_the_time_of_the_phase_change():
    lifecycle = after("reported_cold", "reported_cold", "troubled")
    assert lifecycle.dump() == {"phase": "cold", "since_s": 0.0}


@given(st.lists(st.sampled_from(LifecycleEvent)))
def test_fuzz_only_a_report_starts_warming_and_only_full_allowance_serving(events):
    lifecycle = EndpointLifecycle(0.0)
    for event in events:
        before = lifecycle.phase
        phase = lifecycle.on(event, 1.0)
        if phase is Phase.SERVING and before is not phase:
            assert (before, event) == (Phase.WARMING, LifecycleEvent.FULLY_ALLOWED)
        if phase is Phase.WARMING and before not in (phase, Phase.SERVING):
            assert event is LifecycleEvent.REPORTED_SERVING
