"""Counters and latency histograms of forwarded requests."""

from aioprometheus import Counter, Histogram, Registry
from aioprometheus.renderer import render

__all__ = ["IngressMetrics"]

# Seconds; from a plain answer within one data centre to a stream of a minute.
LATENCY_BUCKETS = (0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8, 25.6, 51.2)


class IngressMetrics:
    """Everything one gateway counts, with the exposition for scraping."""

    def __init__(self):
        self.registry = Registry()
        self.requests = Counter(
            "guavacleat_requests_total",
            "Requests by route kind and outcome.",
            registry=self.registry,
        )
        self.latency = Histogram(
            "guavacleat_request_seconds",
            "Time from a request's arrival to the end of its answer.",
            registry=self.registry,
            buckets=LATENCY_BUCKETS,
        )

    def ended(self, request, outcome: str, seconds: float) -> None:
        kind = request.route.kind.value if request else "unmatched"
        self.requests.inc({"kind": kind, "outcome": outcome})
        self.latency.observe({"kind": kind}, seconds)

    def exposition(self) -> bytes:
        """The Prometheus text."""
        body, _ = render(self.registry, [])
        return body
