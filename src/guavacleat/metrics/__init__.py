"""Counters and latency histograms per client account and priority class."""

from guavacleat.metrics.streams import LatencyHistograms, StreamMetrics

__all__ = ["LatencyHistograms", "StreamMetrics"]
