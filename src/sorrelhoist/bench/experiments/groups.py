"""Compare two protocols that reserve groups of endpoints under contention.

Run it by ``python -m sorrelhoist.bench.experiments.groups``. Entries reserve three of
the endpoints, hold them for a while and start again. They request the endpoints either
one after the other in the order of names, with queues ordered by arrival or by
timestamp, or all at once with queues ordered by timestamp and a YIELD message, as in
the Sigma protocol ("A Practical Distributed Mutual Exclusion Protocol in Dynamic
Peer-to-Peer Systems", 2004).
"""

import itertools
import math
import random

import attrs
import click

from ...decisions.groups import RENEWALS_PER_LEASE, FixedOrderReservation
from ...decisions.groups_parts import Action, PartStatus
from .tables import mean, percentile, show
from .virtual_groups import PATIENCE_S, ContentionSimulation, RunStats, Variant

ENTRIES = (2, 4, 8, 16, 32)
LOSSES = (0.0, 0.01)
FIRST_YIELD_PAUSE_S = 0.002


@attrs.define
class Sigma(FixedOrderReservation):
    """Request all parts at once; yield the held parts while another is missing."""

    yield_s: float = attrs.field(init=False, default=math.inf)
    renew_s: float = attrs.field(init=False, default=math.inf)
    yield_pause_s: float = attrs.field(init=False, default=FIRST_YIELD_PAUSE_S)

    def tick(self, now_s: float) -> list[Action]:
        """Renew the held parts, and yield them when that is due."""
        actions: list[Action] = []
        if now_s >= min(self.renew_s, self.deadline_s) or self.is_over:
            actions += super().tick(now_s)
            self.renew_s = self.next_tick_s
        if not (self.is_over or self.is_reserved) and now_s >= self.yield_s:
            actions += self._yield(now_s)
        self.next_tick_s = min(
            self.renew_s, math.inf if self.is_reserved else self.yield_s
        )
        return actions

    def _initial_requests(self, now_s: float) -> list[Action]:
        self.renew_s = self.next_tick_s
        return [self._request_part(state, now_s) for state in self.parts.values()]

    def _next_requests(self, now_s: float) -> list[Action]:
        return self._handle_queued(now_s)

    def _handle_queued(self, now_s: float) -> list[Action]:
        """Schedule a yield when all parts have answered and only some are held."""
        held = [state.is_held(now_s) for state in self.parts.values()]
        answered = all(state.status for state in self.parts.values())
        if answered and any(held) and self.yield_s == math.inf:
            self.yield_s = now_s + self.yield_pause_s
            self.next_tick_s = min(self.next_tick_s, self.yield_s)
        return []

    def _handle_lost(self, now_s: float) -> list[Action]:
        if self.is_reserved:
            return self._abort()
        if now_s >= self.renew_s:
            return self._renew(now_s)
        return self._handle_queued(now_s)

    def _yield(self, now_s: float) -> list[Action]:
        self.yield_s = math.inf
        self.yield_pause_s = min(
            2 * self.yield_pause_s, self.lease_s / RENEWALS_PER_LEASE
        )
        held = [s for s in self.parts.values() if s.status is PartStatus.HELD]
        for state in held:
            state.status = None
            state.held_until_s = -math.inf
        return [self._request_part(state, now_s, yields=True) for state in held]


VARIANTS = {
    "fixed order": Variant(FixedOrderReservation, by_timestamp=False),
    "fixed, stamps": Variant(FixedOrderReservation, by_timestamp=True),
    "sigma": Variant(Sigma, by_timestamp=True),
}


def measure(
    name: str, entries: int, loss: float, runs: int, seed: int, patience_s: float
) -> dict[str, object]:
    """Return the results of a variant over several runs."""
    figures: list[RunStats] = []
    oldest_s: list[float] = []
    for run in range(runs):
        rng = random.Random(seed + run)
        contention = ContentionSimulation(
            VARIANTS[name], entries, rng, loss=loss, patience_s=patience_s
        )
        figures.append(contention.run())
        left = [a for a in contention.attempts.values() if not a.is_reserved]
        oldest_s += [contention.now_s - attempt.timestamp_s for attempt in left]
    waits_s = [wait_s for figure in figures for wait_s in figure.waits_s]
    idle_s = sum(figure.owned_s - figure.run_s for figure in figures)
    return {
        "way": name,
        "entries": entries,
        "loss": loss,
        "reserved": len(waits_s),
        "ended": sum(figure.ended for figure in figures),
        "wait_p50_s": percentile(waits_s, 0.5),
        "wait_p99_s": percentile(waits_s, 0.99),
        "wait_mean_s": mean(waits_s),
        "wait_max_s": max(waits_s + oldest_s, default=math.nan),
        "messages": sum(figure.messages for figure in figures) / len(waits_s),
        "idle_endpoint_s": idle_s / len(waits_s),
    }


@click.command()
@click.option("--runs", default=3, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--patience", "patience_s", default=PATIENCE_S, show_default=True)
@click.option("--json", "as_json", is_flag=True)
def main(runs: int, seed: int, patience_s: float, as_json: bool) -> None:
    """Compare protocols that reserve groups."""
    cases = itertools.product(LOSSES, ENTRIES, VARIANTS)
    rows = [measure(name, n, loss, runs, seed, patience_s) for loss, n, name in cases]
    show(rows, as_json)


if __name__ == "__main__":
    main()
