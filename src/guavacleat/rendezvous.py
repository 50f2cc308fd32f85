"""Rendezvous (highest random weight) hashing.

Processes with the same member list assign a task to the same members without communicating. A
task is reassigned only when a member assigned to it leaves or one with a higher weight joins.
"""

import functools
import hashlib
import heapq
from collections.abc import Iterable

__all__ = ["select_members", "weight"]

# Entries, one per (member, task) pair.
WEIGHT_CACHE_SIZE = 4096


@functools.lru_cache(WEIGHT_CACHE_SIZE)
def weight(member: str, task: str) -> bytes:
    """The member's weight for a task; the highest weight is selected first."""
    return hashlib.blake2b(f"{member}|{task}".encode(), digest_size=8).digest()


def select_members(members: Iterable[str], task: str, count: int = 1) -> list[str]:
    """The ``count`` members with the highest weights for a task, or all if there are fewer."""
    return heapq.nlargest(count, members, key=lambda member: weight(member, task))
