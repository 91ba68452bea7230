"""Prompts of very unlike lengths, drawn or recorded in a gateway's log."""

import json
import math
import random
from collections.abc import Iterable

import attrs

MS_PER_S = 1000

BURST_S = 4.0
"""How long each kind bursts, one after the other: the users' mix turns in seconds."""

SIZE_SHARE, MOST_FACTOR = 0.7, 4.0
"""Part of a prompt's worth that grows with its size, and the most it is worth
against the mean of its kind; both from the users' pages."""


@attrs.frozen(kw_only=True)
class Kind:
    """A kind of prompt, as the users describe theirs.

    Parameters
    ----------
    name : str
    per_s : float
    mean_tokens, spread, most_tokens : float
        Of a log-normal distribution.
    events : int
    objective_s, deadline_s, pause_s : float
    worth, late_worth : float
    """

    name: str
    per_s: float
    mean_tokens: float
    spread: float
    most_tokens: float
    events: int
    objective_s: float
    deadline_s: float
    pause_s: float
    worth: float
    late_worth: float


KINDS = (
    Kind(
        name="quick",
        per_s=40.0,
        mean_tokens=5_000,
        spread=0.9,
        most_tokens=24_000,
        events=38,
        objective_s=0.3,
        deadline_s=10.0,
        pause_s=0.25,
        worth=1.3,
        late_worth=0.33,
    ),
    Kind(
        name="middle",
        per_s=2.5,
        mean_tokens=45_000,
        spread=0.5,
        most_tokens=110_000,
        events=23,
        objective_s=1.5,
        deadline_s=10.0,
        pause_s=0.6,
        worth=3.9,
        late_worth=0.97,
    ),
    Kind(
        name="long",
        per_s=1.2,
        mean_tokens=182_000,
        spread=0.55,
        most_tokens=900_000,
        events=19,
        objective_s=3.0,
        deadline_s=15.0,
        pause_s=1.0,
        worth=24.0,
        late_worth=6.1,
    ),
)


@attrs.frozen
class Arrival:
    """One prompt."""

    at_s: float
    kind: Kind
    prompt_tokens: int

    @property
    def size_factor(self) -> float:
        """Worth against the mean of its kind."""
        by_size = SIZE_SHARE * self.prompt_tokens / self.kind.mean_tokens
        return min(MOST_FACTOR, 1 - SIZE_SHARE + by_size)


def drawn(
    rng: random.Random, seconds_s: float, factor: float, burst: float
) -> list[Arrival]:
    """Draw arrivals; each kind has its own burst, one after the other, and again."""
    arrivals = []
    for number, kind in enumerate(KINDS):
        at_s = 0.0
        most = kind.per_s * factor * burst
        while (at_s := at_s + rng.expovariate(most)) < seconds_s:
            is_burst = int(at_s / BURST_S) % (len(KINDS) + 1) == number
            if rng.random() > (1.0 if is_burst else 1.0 / burst):
                continue
            mu = math.log(kind.mean_tokens) - kind.spread**2 / 2
            tokens = min(rng.lognormvariate(mu, kind.spread), kind.most_tokens)
            arrivals.append(Arrival(at_s, kind, max(50, int(tokens))))
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


def recorded(lines: Iterable[str]) -> list[Arrival]:
    """Take arrivals from the ``sent`` lines of gateways' logs.

    The kind is told from the size: a log says nothing of objectives.
    """
    arrivals: dict[str, Arrival] = {}
    for line in lines:
        start = line.find("{")
        if start < 0 or '"event": "sent"' not in line:
            continue
        fields = json.loads(line[start:])
        tokens = fields.get("prompt_tokens")
        if not tokens or fields["request_id"] in arrivals:
            continue
        at_s = float(line.split()[0]) - fields["waited_ms"] / MS_PER_S
        arrivals[fields["request_id"]] = Arrival(at_s, _kind_of(tokens), tokens)
    return sorted(arrivals.values(), key=lambda arrival: arrival.at_s)


def _kind_of(prompt_tokens: int) -> Kind:
    quick, middle, long = KINDS
    if prompt_tokens <= quick.most_tokens:
        return quick
    return middle if prompt_tokens <= middle.most_tokens else long
