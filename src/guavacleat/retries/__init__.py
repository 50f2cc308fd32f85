"""Repeats of requests, kept within a budget that all gateways share without talking."""

from guavacleat.retries.budget import RetryBudget

__all__ = ["RetryBudget"]
