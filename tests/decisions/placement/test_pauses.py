"""Prefill that fits into a pass, for engines and pause targets of any deployment."""

import attrs
import pytest

from sorrelhoist.bench.experiments.deployments import DEPLOYMENTS
from sorrelhoist.bench.experiments.virtual_gateways import COSTS
from sorrelhoist.decisions.placement.load_tracker import (
    EndpointUse,
    LoadTracker,
    RequestUse,
)
from sorrelhoist.decisions.placement.long import MAX_LOOSE_PART_MS, MAX_TIGHT_PART_MS
from sorrelhoist.decisions.placement.pauses import (
    SHORT_PROMPT_TOKENS,
    decode_pass_ms,
    is_tight,
    max_prefill_ms,
    max_short_ms,
)


@pytest.mark.parametrize("tokens_per_event", [34, 36, 38])
def test_limits_of_the_measured_deployments_are_kept(tokens_per_event):
    # These limits were measured on engines with 154 prompt tokens per ms.
    costs = attrs.evolve(COSTS, tokens_per_event=tokens_per_event)
    measured = ((250.0, MAX_TIGHT_PART_MS), (600.0, MAX_LOOSE_PART_MS))
    for pause_ms, measured_ms in measured:
        use = EndpointUse(address="a", streams=5, pause_ms=pause_ms)
        assert max_prefill_ms(use, costs) == pytest.approx(measured_ms, rel=0.05)
    assert max_short_ms(250.0, costs) == pytest.approx(120.0, rel=0.05)
    assert [is_tight(s, costs) for s in (0.25, 0.6, 1.0)] == [True, False, False]


@pytest.mark.parametrize("deployment", list(DEPLOYMENTS.values()))
def test_a_full_batch_keeps_its_pauses_with_what_others_add_unreported(deployment):
    # With 120 ms for any engine, the pass of A's engines took 219 ms of 200 ms.
    costs, quick = deployment.costs, deployment.kinds[0]
    use = EndpointUse(
        address="a", streams=6, kv_tokens=150_000, pause_ms=quick.pause_s * 1000
    )
    unreported_ms = 2 * costs.read_ms(SHORT_PROMPT_TOKENS)
    pass_ms = decode_pass_ms(6, 150_000, costs) + max_prefill_ms(use, costs)
    assert pass_ms + unreported_ms <= use.pause_ms
    assert is_tight(quick.pause_s, costs)
    assert not any(is_tight(kind.pause_s, costs) for kind in deployment.kinds[1:])


@pytest.mark.parametrize(("tight_streams", "expected_ms"), [(1, 120.0), (0, 420.0)])
def test_a_report_of_a_former_build_falls_back_to_tight_streams(
    tight_streams, expected_ms
):
    # The own stream has the longest target, and the peer's may not be taken for one.
    tracker = LoadTracker()
    tracker.place("r", (RequestUse(address="a", pause_ms=1000.0),), now_s=1.0)
    reported = EndpointUse(address="a", streams=1, tight_streams=tight_streams)
    tracker.peer_reported("peer", 1, 1, [reported], now_s=1.0)
    use = tracker.endpoint_use("a", now_s=1.0)
    assert max_prefill_ms(use, COSTS) == pytest.approx(expected_ms, rel=0.05)
    tracker.release("r")
    use = tracker.endpoint_use("a", now_s=1.0)
    assert max_prefill_ms(use, COSTS) == pytest.approx(expected_ms, rel=0.05)


def test_the_shortest_target_ends_with_its_stream():
    tracker = LoadTracker()
    for key, pause_ms in (("quick", 250.0), ("loose", 600.0)):
        tracker.place(key, (RequestUse(address="a", pause_ms=pause_ms),), now_s=1.0)
    assert tracker.endpoint_use("a", now_s=1.0).shortest_pause_ms == 250.0
    tracker.release("quick")
    assert tracker.endpoint_use("a", now_s=1.0).shortest_pause_ms == 600.0
