"""Retry budget, shared by all gateways without communication."""

from guavacleat.retries.budget import RetryBudget, RetryPurpose

__all__ = ["RetryBudget", "RetryPurpose"]
