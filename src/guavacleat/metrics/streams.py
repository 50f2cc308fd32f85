"""Latency and outcome metrics of streams, per client account and priority class.

``/metrics`` exports aioprometheus histograms and counters. Latencies are recorded in HDR histograms
(in microseconds) as well, from which status reports and the load tool compute percentiles.
"""

from aioprometheus import Counter, Histogram, Registry
from aioprometheus.renderer import render
from hdrh.histogram import HdrHistogram

__all__ = ["LatencyHistograms", "StreamMetrics"]

MIN_RECORDED_US = 1
MAX_RECORDED_US = 600_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50, 95, 99)
TTFT_BUCKETS_SECONDS = (0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)
# Accounts with their own time series; all others share one, which bounds the memory of the gateway
# and of the scraper.
MAX_ACCOUNTS = 100
OTHER_ACCOUNTS = "other"
GAP_BUCKETS_SECONDS = (0.005, 0.01, 0.02, 0.033, 0.05, 0.1, 0.2, 0.5, 1.0)


class LatencyHistograms:
    """HDR histograms by ``(measure, account, priority_class)``."""

    def __init__(self):
        self.histograms_by_key: dict[tuple[str, str, str], HdrHistogram] = {}

    def record(self, measure: str, account: str, priority_class: str, seconds: float) -> None:
        key = (measure, account, priority_class)
        histogram = self.histograms_by_key.get(key)
        if histogram is None:
            histogram = HdrHistogram(MIN_RECORDED_US, MAX_RECORDED_US, SIGNIFICANT_DIGITS)
            self.histograms_by_key[key] = histogram
        histogram.record_value(max(MIN_RECORDED_US, min(MAX_RECORDED_US, int(seconds * 1e6))))

    def summary(self) -> list[dict]:
        """One row per histogram: the count, and percentiles in seconds."""
        return [
            {
                "measure": measure,
                "account": account,
                "class": priority_class,
                "count": histogram.get_total_count(),
                **{f"p{p}": histogram.get_value_at_percentile(p) / 1e6 for p in PERCENTILES},
            }
            for (measure, account, priority_class), histogram in sorted(
                self.histograms_by_key.items()
            )
        ]


class StreamMetrics:
    """A gateway's metrics of streams, exported on ``/metrics``."""

    def __init__(self):
        self.registry = Registry()
        self.latencies = LatencyHistograms()
        self.accounts: set[str] = set()
        self.ttft = Histogram(
            "guavacleat_time_to_first_token_seconds",
            "Time from a request's arrival to its first token reaching the caller.",
            registry=self.registry,
            buckets=TTFT_BUCKETS_SECONDS,
        )
        self.gap = Histogram(
            "guavacleat_inter_token_seconds",
            "Time between consecutive tokens sent to a caller.",
            registry=self.registry,
            buckets=GAP_BUCKETS_SECONDS,
        )
        self.outcomes = Counter(
            "guavacleat_requests_total",
            "Requests by outcome (completed, not_run, failed, cancelled).",
            registry=self.registry,
        )
        self.preemptions = Counter(
            "guavacleat_preemptions_total",
            "Engine preemptions seen on streams relayed by this gateway.",
            registry=self.registry,
        )

    def record_first_token(self, account: str, priority_class: str, seconds: float) -> None:
        labels = self._labels(account, priority_class)
        self.ttft.observe(labels, seconds)
        self.latencies.record("ttft", labels["account"], priority_class, seconds)

    def record_token_gap(self, account: str, priority_class: str, seconds: float) -> None:
        labels = self._labels(account, priority_class)
        self.gap.observe(labels, seconds)
        self.latencies.record("gap", labels["account"], priority_class, seconds)

    def record_outcome(self, account: str, priority_class: str, outcome: str) -> None:
        self.outcomes.inc({**self._labels(account, priority_class), "outcome": outcome})

    def record_preemptions(self, account: str, priority_class: str, count: int) -> None:
        if count:
            self.preemptions.add(self._labels(account, priority_class), count)

    def _labels(self, account: str, priority_class: str) -> dict[str, str]:
        if account not in self.accounts:
            if len(self.accounts) < MAX_ACCOUNTS:
                self.accounts.add(account)
            else:
                account = OTHER_ACCOUNTS
        return {"account": account, "class": priority_class}

    def preemption_count(self, labels: dict[str, str]) -> int:
        """Number of preemptions recorded for one account and class."""
        try:
            return int(self.preemptions.get(labels))
        except KeyError:
            return 0

    def exposition(self) -> tuple[bytes, dict]:
        """Return the body and the headers of the Prometheus text format."""
        return render(self.registry, [])
