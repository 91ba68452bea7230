"""Measure the gossip membership in virtual time: traffic and dissemination time.

Run it by ``python -m sorrelhoist.bench.experiments.membership``.
"""

import random
from collections.abc import Callable
from functools import partial

import attrs
import click

from ...decisions.membership_options import MembershipOptions
from ...decisions.membership_records import MemberState
from .virtual_network import VirtualNetwork, make_member

SIZES = (25, 100, 400, 1660)
STEADY_S = 20.0
LIMIT_S = 300.0
DOMAINS = 3


@attrs.frozen
class Rates:
    """Mean traffic that each member sends; each receives as much."""

    datagrams_per_s: float
    datagram_bytes_per_s: float
    sync_bytes_per_s: float


def started(count: int, seed: int) -> VirtualNetwork:
    """Return a network whose members already know each other."""
    network = VirtualNetwork(random.Random(seed))
    members = [make_member(index) for index in range(count)]
    for index in range(count):
        network.start(index).preload(members, network.now_s)
    network.run(5.0)
    return network


def measure_rates(
    network: VirtualNetwork, run: Callable[[], float]
) -> tuple[float, Rates]:
    """Run a step; return its virtual duration and the traffic during it."""
    datagrams, sent = network.sent_datagrams, network.sent_bytes
    synced = network.sync_bytes
    duration_s = run()
    scale = len(network.tables) * max(duration_s, 1.0)
    rates = Rates(
        (network.sent_datagrams - datagrams) / scale,
        (network.sent_bytes - sent) / scale,
        (network.sync_bytes - synced) / scale,
    )
    return duration_s, rates


def report(name: str, count: int, seconds_s: float, rates: Rates) -> None:
    """Print the result of one step."""
    click.echo(
        f"{count:5d} {name:24s} {seconds_s:7.1f} s"
        f" {rates.datagrams_per_s:6.2f} datagrams/s"
        f" {rates.datagram_bytes_per_s:7.0f} B/s"
        f" {rates.sync_bytes_per_s:7.0f} B/s in syncs"
    )


def steady(network: VirtualNetwork) -> float:
    """Run without membership changes."""
    network.run(STEADY_S)
    return STEADY_S


def all_members_see(
    network: VirtualNetwork, node_id: str, *states: MemberState
) -> bool:
    """Return whether each running member sees a node in one of the states."""
    return all(
        (known := table.get(node_id)) is not None and known.state in states
        for table in network.tables.values()
    )


def first_death(network: VirtualNetwork, index: int) -> float:
    """Stop a member; return the time until the first other has detected its death."""
    network.stop(index)
    node_id = make_member(index).node_id

    def seen() -> bool:
        return any(
            (known := table.get(node_id)) is not None and not known.is_up
            for table in network.tables.values()
        )

    return network.run_until(seen, LIMIT_S)


def last_death(network: VirtualNetwork, index: int) -> float:
    """Return the time until all others have recorded a member as dead."""
    node_id = make_member(index).node_id
    return network.run_until(
        lambda: all_members_see(network, node_id, MemberState.DEAD), LIMIT_S
    )


def join(network: VirtualNetwork, index: int) -> float:
    """Start a member; return the time until all others see it alive."""
    network.start(index)
    node_id = make_member(index).node_id
    return network.run_until(
        lambda: all_members_see(network, node_id, MemberState.ALIVE), LIMIT_S
    )


def leave(network: VirtualNetwork, index: int) -> float:
    """Let a member leave; return the time until all others have recorded it."""
    table = network.table(index)
    network.perform(table.local_member.peer_address, table.leave(network.now_s))
    node_id = make_member(index).node_id
    return network.run_until(
        lambda: all_members_see(network, node_id, MemberState.LEFT), LIMIT_S
    )


def domain_death(network: VirtualNetwork, count: int) -> float:
    """Stop a whole failure domain at once; return the time until convergence."""
    for index in range(DOMAINS + 2, count, DOMAINS):
        network.stop(index)
    return network.run_until(network.has_converged, 4 * LIMIT_S)


def cut(network: VirtualNetwork) -> float:
    """Partition the network until each half has declared the other dead."""
    for number, address in enumerate(network.tables):
        network.sides[address] = number % 2
    network.run(LIMIT_S)
    return LIMIT_S


def heal(network: VirtualNetwork) -> float:
    """Heal the partition; return the time until convergence."""
    network.sides.clear()
    return network.run_until(network.has_converged, 4 * LIMIT_S)


STEPS: dict[str, Callable[[VirtualNetwork, int], float]] = {
    "steady": lambda network, count: steady(network),
    "death, until the first": lambda network, count: first_death(network, 3),
    "from there to the last": lambda network, count: last_death(network, 3),
    "join": lambda network, count: join(network, count),
    "leave": lambda network, count: leave(network, 4),
    "a domain dies": domain_death,
}
PARTITION_STEPS: dict[str, Callable[[VirtualNetwork, int], float]] = {
    "partition": lambda network, count: cut(network),
    "partition heals": lambda network, count: heal(network),
}


@click.command()
@click.option("--size", "sizes", multiple=True, type=int, default=SIZES)
@click.option("--seed", default=1)
@click.option("--partition/--no-partition", default=False)
def main(sizes: tuple[int, ...], seed: int, partition: bool) -> None:
    """Print the durations and traffic for each fleet size."""
    click.echo(f"options: {MembershipOptions()}")
    for count in sizes:
        network = started(count, seed)
        steps = STEPS | (PARTITION_STEPS if partition else {})
        for name, step in steps.items():
            seconds_s, rates = measure_rates(network, partial(step, network, count))
            report(name, count, seconds_s, rates)


if __name__ == "__main__":
    main()
