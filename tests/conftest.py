"""Hypothesis profiles: `ci` repeats the same examples, `fuzz` runs more on request."""

import os

from hypothesis import HealthCheck, settings

_SLOW = [HealthCheck.too_slow, HealthCheck.data_too_large]
settings.register_profile(
    "ci", derandomize=True, deadline=None, max_examples=60, suppress_health_check=_SLOW
)
settings.register_profile(
    "fuzz", deadline=None, max_examples=3000, suppress_health_check=_SLOW
)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))
