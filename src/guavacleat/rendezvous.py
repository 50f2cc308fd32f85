"""Rendezvous hashing: who of several does a task, decided by each alone.

All who know of the same members choose alike, without talking, and a task changes hands only if
the one who has it goes.
"""

import functools
import hashlib
import heapq
from collections.abc import Iterable

__all__ = ["select_members", "weight"]

# Pairs of member and task whose ranks are kept.
RANKS_KEPT = 4096


@functools.lru_cache(RANKS_KEPT)
def weight(member: str, task: str) -> bytes:
    """The member's rank for a task: the highest is chosen first."""
    return hashlib.blake2b(f"{member}|{task}".encode(), digest_size=8).digest()


def select_members(members: Iterable[str], task: str, count: int = 1) -> list[str]:
    """The first ``count`` members for a task, fewer if there are no more."""
    return heapq.nlargest(count, members, key=lambda member: weight(member, task))
