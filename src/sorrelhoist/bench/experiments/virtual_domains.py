"""Two deployments with three failure domains, and their uneven arrivals."""

import math
import random
from collections.abc import Sequence

import attrs

from ...decisions.routes import EngineCosts, RouteTable, ServiceConfig
from .virtual_prompts import KINDS, Arrival, Kind

DOMAINS = ("a", "b", "c")

PHASE_S = 9.5
"""Time after which the load switches between long and short prompts."""

WAVE_S = 12.0
"""Period of the waves of demand, which are out of phase between domains."""

WAVE_SHARE = 0.8
"""Amplitude of these waves, as a fraction of the mean."""

DEMAND_WEIGHTS = (1.4, 1.0, 0.6)
"""Mean demand of the domains, relative to their mean."""


@attrs.frozen(kw_only=True)
class Deployment:
    """A deployment from the page "Demanding load".

    Parameters
    ----------
    gateways, engines : int
    delay_s : float
        One-way delay between failure domains.
    costs : EngineCosts
    kinds : tuple of Kind
    """

    gateways: int
    engines: int
    delay_s: float
    costs: EngineCosts
    kinds: tuple[Kind, ...]

    @property
    def delays_s(self) -> dict[tuple[str, str], float]:
        """Delays between the domains, as in `ServiceConfig.domain_delays_s`."""
        return {(x, y): self.delay_s for x in DOMAINS for y in DOMAINS if x != y}

    @property
    def table(self) -> RouteTable:
        """The configuration that the gateways decide by."""
        service = ServiceConfig(
            name="llm", engine=self.costs, domain_delays_s=self.delays_s
        )
        return RouteTable(version=1, routes={}, services={"llm": service})

    def draw_arrivals(
        self, rng: random.Random, seconds_s: float, factor: float
    ) -> list[Arrival]:
        """Draw arrivals whose mix switches, and whose domains have waves."""
        arrivals = []
        for number, kind in enumerate(self.kinds):
            at_s = 0.0
            while (at_s := at_s + rng.expovariate(kind.per_s * factor * 3)) < seconds_s:
                is_short_phase = int(at_s / PHASE_S) % 2
                times = ((0.6, 2.4), (1.0, 1.0), (2.8, 0.6))[number][is_short_phase]
                if rng.random() > times / 3:
                    continue
                mu = math.log(kind.mean_tokens) - kind.spread**2 / 2
                tokens = min(
                    rng.lognormvariate(mu, kind.spread), kind.max_prompt_tokens
                )
                domain = rng.choices(DOMAINS, _demand(at_s))[0]
                arrivals.append(Arrival(at_s, kind, max(50, int(tokens)), domain))
        return sorted(arrivals, key=lambda arrival: arrival.at_s)


def _demand(now_s: float) -> Sequence[float]:
    return [
        weight
        * (1 + WAVE_SHARE * math.sin(2 * math.pi * (now_s / WAVE_S + number / 3)))
        for number, weight in enumerate(DEMAND_WEIGHTS)
    ]


QUICK, MIDDLE, LONG = KINDS

DEPLOYMENTS = {
    "A": Deployment(
        gateways=22,
        engines=60,
        delay_s=0.0009,
        costs=EngineCosts(
            max_running=6,
            kv_capacity_tokens=382_500,
            tokens_per_event=52,
            step_ms=0.925,
            prefill_tokens_per_s=256_000.0,
            pair_ms_per_million=0.0917,
            per_stream_ms=0.00966,
            context_ms_per_thousand=0.00254,
            chunk_tokens=2048,
        ),
        kinds=(
            attrs.evolve(QUICK, per_s=38.2, events=33, objective_s=0.271, pause_s=0.2),
            attrs.evolve(MIDDLE, per_s=6.1, events=20, objective_s=1.532, pause_s=0.5),
            attrs.evolve(
                LONG,
                per_s=1.04,
                mean_tokens=300_000,
                max_prompt_tokens=1_000_000,
                events=16,
                objective_s=8.055,
                pause_s=0.8,
            ),
        ),
    ),
    "B": Deployment(
        gateways=27,
        engines=60,
        delay_s=0.0045,
        costs=EngineCosts(
            max_running=6,
            kv_capacity_tokens=315_000,
            tokens_per_event=57,
            step_ms=0.85,
            prefill_tokens_per_s=177_000.0,
            pair_ms_per_million=0.184,
            per_stream_ms=0.0085,
            context_ms_per_thousand=0.00285,
            chunk_tokens=2048,
        ),
        kinds=(
            attrs.evolve(QUICK, per_s=42.6, events=32, objective_s=0.321, pause_s=0.25),
            attrs.evolve(MIDDLE, per_s=2.7, events=19, objective_s=1.533, pause_s=0.6),
            attrs.evolve(
                LONG,
                per_s=0.89,
                mean_tokens=220_000,
                events=16,
                objective_s=4.057,
                pause_s=1.0,
            ),
        ),
    ),
}
