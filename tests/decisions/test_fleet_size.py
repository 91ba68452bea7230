"""How many gateways share a bound."""

from sorrelhoist.decisions.fleet_size import GONE_S, FleetSize


def fleet_of(*node_ids):
    fleet = FleetSize("g-0")
    for node_id in node_ids:
        fleet.seen(node_id, 0.0)
    return fleet


def test_a_gateway_counts_once_and_the_own_entry_not_again():
    fleet = fleet_of("g-0", "g-1", "g-1", "g-2")
    fleet.list_read(0.1)
    assert fleet.gateways == 3


def test_the_number_is_unknown_until_the_list_was_read():
    fleet = fleet_of("g-1")
    assert fleet.gateways is None


def test_gateways_that_are_not_heard_count_while_the_list_is_not_read():
    fleet = fleet_of("g-1", "g-2")
    fleet.list_read(0.1)
    fleet.seen("g-1", 10 * GONE_S)
    assert fleet.gateways == 3
    fleet.list_read(10 * GONE_S + 0.1)
    assert fleet.gateways == 2
