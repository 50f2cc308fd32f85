"""Counters and per-account, per-class latency histograms (aioprometheus and hdrhistogram)."""

from guavacleat.metrics.book import LatencyBook, StreamMetrics

__all__ = ["LatencyBook", "StreamMetrics"]
