"""HTTP handlers that both roles have: metrics and health."""

import json
from collections.abc import Callable

from tornado.web import RequestHandler, URLSpec

from .metrics import ProcessMetrics

METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class MetricsHandler(RequestHandler):
    """Answer a scraper."""

    def initialize(self, metrics: ProcessMetrics) -> None:
        """Keep the metrics."""
        self._metrics = metrics

    def get(self) -> None:
        """Return all metrics."""
        self.set_header("Content-Type", METRICS_CONTENT_TYPE)
        self.finish(self._metrics.text())


class HealthHandler(RequestHandler):
    """Say that the loop turns."""

    def get(self) -> None:
        """Return 200."""
        self.finish({"healthy": True})


class ReadyHandler(RequestHandler):
    """Say whether the process takes new work."""

    def initialize(self, problem: Callable[[], str]) -> None:
        """Keep the question; an empty text means ready."""
        self._problem = problem

    def get(self) -> None:
        """Return 200 or 503 with the reason."""
        problem = self._problem()
        self.set_status(503 if problem else 200)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps({"ready": not problem, "problem": problem}))


def health_routes(metrics: ProcessMetrics, problem: Callable[[], str]) -> list[URLSpec]:
    """Return the routes of these handlers.

    Parameters
    ----------
    metrics : ProcessMetrics
    problem : callable
        Returns why the process takes no new work, or an empty text.
    """
    return [
        URLSpec("/metrics", MetricsHandler, {"metrics": metrics}),
        URLSpec("/healthz", HealthHandler),
        URLSpec("/readyz", ReadyHandler, {"problem": problem}),
    ]
