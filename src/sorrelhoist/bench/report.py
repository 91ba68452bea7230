"""Sum up the samples of a load: percentiles, outcomes, slowdown."""

import statistics
from collections.abc import Iterable, Sequence

import attrs
from hdrh.histogram import HdrHistogram

from .load_client import Outcome, Sample

BUCKETS_TOKENS = (1_000, 4_000, 16_000, 32_000, 100_000, 1_000_001)
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 3
US_PER_S = 1_000_000


@attrs.frozen
class Percentiles:
    """Of times to first token.

    Parameters
    ----------
    count : int
    median_s, p95_s, p99_s : float
        0 if there is none.
    """

    count: int
    median_s: float
    p95_s: float
    p99_s: float


@attrs.frozen
class Bucket:
    """Percentiles for prompts of one range of lengths."""

    from_tokens: int
    below_tokens: int
    first_token: Percentiles


@attrs.frozen
class Slowdown:
    """Short requests beside long ones against the same without.

    Parameters
    ----------
    pairs : int
        Requests that were answered in both runs.
    median, p95 : float
        Of the ratio of each request's times to first token.
    of_p95 : float
        Ratio of the two runs' 95th percentiles.
    """

    pairs: int
    median: float
    p95: float
    of_p95: float


@attrs.frozen
class Outcomes:
    """How many requests came to what."""

    whole: int
    late: int
    refused: int
    lost: int


def percentiles(times_s: Iterable[float]) -> Percentiles:
    """Sum up times in seconds.

    Examples
    --------
    >>> percentiles([1.0, 2.0, 3.0]).count
    3
    """
    histogram = HdrHistogram(1, HIGHEST_US, SIGNIFICANT_DIGITS)
    for time_s in times_s:
        histogram.record_value(max(1, int(time_s * US_PER_S)))
    if not histogram.total_count:
        return Percentiles(0, 0.0, 0.0, 0.0)
    median, p95, p99 = (
        histogram.get_value_at_percentile(percent) / US_PER_S
        for percent in (50, 95, 99)
    )
    return Percentiles(histogram.total_count, median, p95, p99)


def answered(samples: Iterable[Sample]) -> list[Sample]:
    """Return the samples with a whole answer, late or not."""
    return [s for s in samples if s.outcome in (Outcome.WHOLE, Outcome.LATE)]


def buckets(samples: Sequence[Sample]) -> list[Bucket]:
    """Sum up the times to first token by the length of the prompt."""
    bounds = zip(BUCKETS_TOKENS, BUCKETS_TOKENS[1:], strict=False)
    return [
        Bucket(
            low,
            high,
            percentiles(
                s.first_token_s
                for s in answered(samples)
                if low <= s.arrival.prompt_tokens < high
            ),
        )
        for low, high in bounds
    ]


def outcomes(samples: Iterable[Sample]) -> Outcomes:
    """Count what became of the requests."""
    kinds = [sample.outcome for sample in samples]
    return Outcomes(**{kind.value: kinds.count(kind) for kind in Outcome})


def slowdown(
    alone: Sequence[Sample], beside: Sequence[Sample], below_tokens: int
) -> Slowdown:
    """Compare the short requests of two runs of one plan.

    Parameters
    ----------
    alone, beside : sequence of Sample
        Without and with the long requests.
    below_tokens : int
        Shorter prompts count as short.
    """
    before = _short_times(alone, below_tokens)
    after = _short_times(beside, below_tokens)
    pairs = sorted(before.keys() & after.keys())
    if not pairs:
        return Slowdown(0, 0.0, 0.0, 0.0)
    ratios = sorted(after[number] / before[number] for number in pairs)
    p95_before = percentiles(before[number] for number in pairs).p95_s
    p95_after = percentiles(after[number] for number in pairs).p95_s
    return Slowdown(
        len(pairs),
        statistics.median(ratios),
        ratios[min(len(ratios) - 1, int(len(ratios) * 0.95))],
        p95_after / p95_before,
    )


def _short_times(samples: Sequence[Sample], below_tokens: int) -> dict[int, float]:
    return {
        s.arrival.number: s.first_token_s
        for s in answered(samples)
        if s.arrival.prompt_tokens < below_tokens
    }
