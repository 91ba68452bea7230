"""Summarise the results of a load: latency percentiles, outcomes and slowdown."""

import statistics
from collections.abc import Iterable, Sequence

import attrs
from hdrh.histogram import HdrHistogram

from .load_client import Outcome, Sample

BUCKETS_TOKENS = (1_000, 4_000, 16_000, 32_000, 100_000, 1_000_001)
MAX_RECORDED_US = 3_600_000_000
SIGNIFICANT_DIGITS = 3
US_PER_S = 1_000_000


@attrs.frozen
class Percentiles:
    """Percentiles of the time to first token.

    Parameters
    ----------
    count : int
        Number of times.
    median_s, p95_s, p99_s : float
        0 if there are no times.
    """

    count: int
    median_s: float
    p95_s: float
    p99_s: float


@attrs.frozen
class Bucket:
    """Percentiles for the prompts of one range of lengths."""

    from_tokens: int
    below_tokens: int
    first_token: Percentiles


@attrs.frozen
class Slowdown:
    """Slowdown of short requests caused by long ones in the same load.

    Parameters
    ----------
    pairs : int
        Requests that were answered in both runs.
    median, p95 : float
        Median and 95th percentile, over the requests, of the ratio of the time to
        first token with long requests to that without.
    of_p95 : float
        Ratio of the 95th percentiles of the two runs.
    """

    pairs: int
    median: float
    p95: float
    of_p95: float


@attrs.frozen
class Outcomes:
    """Number of requests by outcome."""

    whole: int
    late: int
    refused: int
    lost: int


def percentiles(times_s: Iterable[float]) -> Percentiles:
    """Compute the percentiles of times in seconds.

    Examples
    --------
    >>> percentiles([1.0, 2.0, 3.0]).count
    3
    """
    histogram = HdrHistogram(1, MAX_RECORDED_US, SIGNIFICANT_DIGITS)
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
    """Return the samples with a complete answer, late or not."""
    return [s for s in samples if s.outcome in (Outcome.WHOLE, Outcome.LATE)]


def buckets(samples: Sequence[Sample]) -> list[Bucket]:
    """Compute percentiles of the time to first token by prompt length."""
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
    """Count the requests by outcome."""
    kinds = [sample.outcome for sample in samples]
    return Outcomes(**{kind.value: kinds.count(kind) for kind in Outcome})


def slowdown(
    alone: Sequence[Sample], beside: Sequence[Sample], below_tokens: int
) -> Slowdown:
    """Compare the short requests of two runs of one plan.

    Parameters
    ----------
    alone, beside : sequence of Sample
        Results without and with the long requests.
    below_tokens : int
        Prompts below this length count as short.
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
