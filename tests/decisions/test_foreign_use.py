import pytest

from sorrelhoist.decisions.foreign_use import ForeignUse
from sorrelhoist.decisions.grants import EndpointObservation


@pytest.mark.parametrize(
    "age_s, kv_tokens, foreign",
    [
        (0.0, 0, 0),
        (0.0, 130, 30),
        (5.0, 500, 0),
        (5.0, 520, 20),
        (5.4, 500, 0),
        (10.0, 500, 500),
        (500.0, 40, 40),
    ],
)
def test_a_report_is_compared_with_the_grants_held_at_the_time_it_describes(
    age_s, kv_tokens, foreign
):
    use = ForeignUse()
    for held_at_s, held in [(0.0, 0), (94.0, 500), (98.0, 100)]:
        use.held(held // 100, held, held_at_s)
    report = EndpointObservation(
        boot_id="b",
        is_cold=False,
        kv_used_tokens=kv_tokens,
        running_requests=kv_tokens // 100,
        report_age_s=age_s,
    )
    use.report(report, 100.0)
    assert use.kv_tokens == foreign
    assert use.requests == foreign // 100
