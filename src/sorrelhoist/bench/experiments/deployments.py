"""Deployments with phases of load, from docs/design/demanding-load.md.

The worth of the kinds relative to each other is that of `virtual_prompts`; a late
answer is worth a quarter.
"""

import math
import random

import attrs

from ...decisions.routes import EngineCosts
from .virtual_prompts import Arrival, Kind

PHASE_S = 9.5
"""Time after which the load turns from many long prompts to many short ones."""

LONG_PEAK, SHORT_PEAK = 2.8, 2.4
"""Arrival rates at these times, relative to the usual."""

LATE_SHARE = 0.25


@attrs.frozen(kw_only=True)
class Deployment:
    """Gateways, engines and load.

    Parameters
    ----------
    gateways, engines : int
    delay_s : float
        One-way delay between two gateways.
    costs : EngineCosts
    kinds : tuple of Kind
        Short, middle and long prompts.
    """

    gateways: int
    engines: int
    delay_s: float
    costs: EngineCosts
    kinds: tuple[Kind, ...]

    def draw_arrivals(
        self, rng: random.Random, seconds_s: float, factor: float = 1.0
    ) -> list[Arrival]:
        """Draw arrivals whose mix switches every `PHASE_S`, long prompts first."""
        arrivals = []
        for kind, phase, peak in zip(
            self.kinds, (1, None, 0), (SHORT_PEAK, 1.0, LONG_PEAK), strict=True
        ):
            at_s = 0.0
            while (
                at_s := at_s + rng.expovariate(kind.per_s * factor * peak)
            ) < seconds_s:
                is_peak = phase is None or int(at_s / PHASE_S) % 2 == phase
                if not is_peak and rng.random() > 1 / peak:
                    continue
                mu = math.log(kind.mean_tokens) - kind.spread**2 / 2
                drawn = rng.lognormvariate(mu, kind.spread)
                tokens = int(min(drawn, kind.max_prompt_tokens))
                arrivals.append(Arrival(at_s, kind, max(50, tokens)))
        return sorted(arrivals, key=lambda arrival: arrival.at_s)


def _kind(
    name: str,
    mean_tokens: int,
    events: int,
    per_s: float,
    objective_s: float,
    pause_s: float,
    deadline_s: float,
) -> Kind:
    spread, largest, worth = {
        "short": (0.9, 24_000, 1.3),
        "middle": (0.5, 110_000, 3.9),
        "long": (0.55, 1_000_000, 24.0),
    }[name]
    return Kind(
        name=name,
        per_s=per_s,
        mean_tokens=mean_tokens,
        spread=spread,
        max_prompt_tokens=largest,
        events=events,
        objective_s=objective_s,
        deadline_s=deadline_s,
        pause_s=pause_s,
        worth=worth,
        late_worth=worth * LATE_SHARE,
    )


DEPLOYMENTS = {
    "a": Deployment(
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
            _kind("short", 5_000, 33, 38.2, 0.271, 0.2, 10.8),
            _kind("middle", 45_000, 20, 6.1, 1.532, 0.5, 10.2),
            _kind("long", 300_000, 16, 1.04, 8.055, 0.8, 15.1),
        ),
    ),
    "b": Deployment(
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
            _kind("short", 5_000, 32, 42.6, 0.321, 0.25, 10.7),
            _kind("middle", 45_000, 19, 2.7, 1.533, 0.6, 10.2),
            _kind("long", 220_000, 16, 0.89, 4.057, 1.0, 15.2),
        ),
    ),
}
