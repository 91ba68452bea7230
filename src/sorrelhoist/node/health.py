"""HTTP handlers shared by the roles: metrics, liveness and readiness."""

import json
from collections.abc import Callable

from tornado.web import RequestHandler, URLSpec

from .metrics import ProcessMetrics

METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class MetricsHandler(RequestHandler):
    """Serve metrics to a Prometheus scraper."""

    def initialize(self, metrics: ProcessMetrics) -> None:
        """Store the metrics to serve."""
        self._metrics = metrics

    def get(self) -> None:
        """Return all metrics in the Prometheus text format."""
        self.set_header("Content-Type", METRICS_CONTENT_TYPE)
        self.finish(self._metrics.text())


class HealthHandler(RequestHandler):
    """Liveness check: answers as long as the event loop runs."""

    def get(self) -> None:
        """Return 200."""
        self.finish({"healthy": True})


class ReadyHandler(RequestHandler):
    """Readiness check: tells whether the process accepts new work."""

    def initialize(self, problem: Callable[[], str]) -> None:
        """Store the function that returns the problem; an empty text means ready."""
        self._problem = problem

    def get(self) -> None:
        """Return 200 if ready, else 503 with the reason."""
        problem = self._problem()
        self.set_status(503 if problem else 200)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps({"ready": not problem, "problem": problem}))


def health_routes(metrics: ProcessMetrics, problem: Callable[[], str]) -> list[URLSpec]:
    """Return the URL routes of the metrics and health handlers.

    Parameters
    ----------
    metrics : ProcessMetrics
    problem : callable
        Returns why the process accepts no new work, or an empty text.
    """
    return [
        URLSpec("/metrics", MetricsHandler, {"metrics": metrics}),
        URLSpec("/healthz", HealthHandler),
        URLSpec("/readyz", ReadyHandler, {"problem": problem}),
    ]
