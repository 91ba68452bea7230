"""The two deployments of ``demanding-load.md``, with their load in phases."""

import math
import random

import attrs

from ...decisions.routes import EngineCosts
from .virtual_prompts import Arrival, Kind

PHASE_S = 9.5
"""Time after which the load switches between many long and many short prompts."""

LONG_PHASE, SHORT_PHASE = 2.8, 2.4
"""Factor of the rate of long prompts in the one phase, of short ones in the other."""

LATE_WORTH_SHARE = 0.25
"""Worth of a late answer, as a fraction of one in time."""


@attrs.frozen
class Deployment:
    """Size, engine costs and kinds of prompts (short, middle, long) of a deployment."""

    gateways: int
    engines: int
    costs: EngineCosts
    kinds: tuple[Kind, Kind, Kind]


def _kind(
    name: str,
    per_s: float,
    tokens: tuple[float, float],
    events: int,
    times_s: tuple[float, float, float],
    worth: float,
) -> Kind:
    mean_tokens, max_tokens = tokens
    objective_s, deadline_s, pause_s = times_s
    return Kind(
        name=name,
        per_s=per_s,
        mean_tokens=mean_tokens,
        spread=0.9 if name == "quick" else 0.5,
        max_prompt_tokens=max_tokens,
        events=events,
        objective_s=objective_s,
        deadline_s=deadline_s,
        pause_s=pause_s,
        worth=worth,
        late_worth=worth * LATE_WORTH_SHARE,
    )


A = Deployment(
    gateways=22,
    engines=60,
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
        _kind("quick", 38.2, (5_000, 24_000), 33, (0.271, 10.8, 0.2), 1.3),
        _kind("middle", 6.1, (45_000, 110_000), 20, (1.532, 10.2, 0.5), 3.9),
        _kind("long", 1.04, (300_000, 1_000_000), 16, (8.055, 15.1, 0.8), 24.0),
    ),
)

B = Deployment(
    gateways=27,
    engines=60,
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
        _kind("quick", 42.6, (5_000, 24_000), 32, (0.321, 10.7, 0.25), 1.3),
        _kind("middle", 2.7, (45_000, 110_000), 19, (1.533, 10.2, 0.6), 3.9),
        _kind("long", 0.89, (220_000, 900_000), 16, (4.057, 15.2, 1.0), 24.0),
    ),
)

DEPLOYMENTS = {"a": A, "b": B}


def draw_phases(
    rng: random.Random, deployment: Deployment, seconds_s: float, factor: float = 1.0
) -> list[Arrival]:
    """Draw arrivals in phases of many long prompts and of many short ones in turn."""
    arrivals = []
    for kind in deployment.kinds:
        peak = {"quick": SHORT_PHASE, "long": LONG_PHASE}.get(kind.name, 1.0)
        peak_phase = 1 if kind.name == "quick" else 0
        at_s = 0.0
        while (at_s := at_s + rng.expovariate(kind.per_s * factor * peak)) < seconds_s:
            is_peak = int(at_s / PHASE_S) % 2 == peak_phase
            if not is_peak and rng.random() > 1.0 / peak:
                continue
            mu = math.log(kind.mean_tokens) - kind.spread**2 / 2
            tokens = min(rng.lognormvariate(mu, kind.spread), kind.max_prompt_tokens)
            arrivals.append(Arrival(at_s, kind, max(50, int(tokens))))
    return sorted(arrivals, key=lambda arrival: arrival.at_s)
