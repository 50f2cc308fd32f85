"""Retry budget, shared by all gateways without communication."""

from guavacleat.retries.budget import RetryBudget

__all__ = ["RetryBudget"]
