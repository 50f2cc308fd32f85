"""Sums of tokens by client account."""

import collections
import heapq
from collections.abc import Iterable

__all__ = ["largest_accounts", "sum_accounts"]


def largest_accounts(parts: Iterable[dict[str, int]], count: int) -> dict[str, int]:
    """The ``count`` accounts with the most tokens in the sum of ``parts``."""
    total = sum_accounts(parts)
    return dict(heapq.nlargest(count, total.items(), key=lambda item: item[1]))


def sum_accounts(parts: Iterable[dict[str, int]]) -> dict[str, int]:
    """The sum of tokens by account."""
    total: collections.Counter[str] = collections.Counter()
    for part in parts:
        total.update(part)
    return dict(total)
