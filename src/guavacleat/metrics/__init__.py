"""Counters and per-account, per-class latency histograms (aioprometheus and hdrhistogram)."""

from guavacleat.metrics.streams import LatencyHistograms, StreamMetrics

__all__ = ["LatencyHistograms", "StreamMetrics"]
