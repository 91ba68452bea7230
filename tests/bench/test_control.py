import pytest
import yaml

from sorrelhoist.bench.commands import fit_to_fleet, longest_group_tokens
from sorrelhoist.bench.control import ControlCost, RoleCost, fit_line, fit_lines
from sorrelhoist.bench.control_fleet import count_alive, documents_for
from sorrelhoist.bench.load_phases import LoadShape
from sorrelhoist.decisions.configuration_parsing import SourceText, parse_texts


@pytest.mark.parametrize("agents", [1, 7])
def test_configuration_has_one_endpoint_for_each_agent(agents):
    documents = documents_for(agents)
    endpoints = [d for d in documents if d["kind"] == "Endpoint"]
    assert len({d["name"] for d in endpoints}) == agents
    text = yaml.safe_dump_all(documents)
    parse_texts([SourceText("all.yaml", text)]).unwrap()


def test_linear_fits_recover_known_coefficients():
    costs = [
        ControlCost(
            n,
            0.0,
            [RoleCost(r, n, 0.1 + 0.01 * n, 0, 50.0, 0, 2.0 * n, 0, 0) for r in "ea"],
            0.1,
            0.1,
        )
        for n in (10, 20, 40)
    ]
    found = fit_lines(costs)
    assert found["entry cpu_percent"].value_at(100) == pytest.approx(1.1)
    assert found["agent udp_bytes_per_s"].per_member == pytest.approx(2.0)
    assert found["agent resident_mib"].per_member == pytest.approx(0.0)
    assert fit_line([]).value_at(5) == 0.0


def test_only_alive_members_are_counted():
    members = [{"state": "alive"}, {"state": "dead"}, {"state": "alive"}]
    assert count_alive({"process": {"membership": {"members": members}}}) == 2


def test_prompt_length_and_rate_are_fitted_to_the_fleet():
    documents = documents_for(6)
    assert longest_group_tokens(documents) == int(2 * 450_000 * 0.75) - 100
    shape = fit_to_fleet(documents, LoadShape(1, 0.0, 9.0, 1_000_000, 9))
    assert shape.longest_tokens == longest_group_tokens(documents)
    assert 1.0 < shape.requests_per_s < 20.0
    given = fit_to_fleet(documents, LoadShape(1, 3.0, 9.0, 50_000, 9))
    assert (given.requests_per_s, given.longest_tokens) == (3.0, 50_000)
