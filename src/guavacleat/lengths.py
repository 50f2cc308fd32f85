"""Estimates of how much longer a generation will run, learnt from the ones that finished.

Output lengths are unknown ahead and heavy-tailed: the longer a generation has run, the longer it
will probably still run. The estimate is therefore a quantile of what past generations of the
same kind had left at the length this one has reached.
"""

import bisect
from collections import deque

__all__ = ["LengthEstimator"]

KEPT = 512
REFRESH_EVERY = 16
ENOUGH = 8
FIRST_GUESS = 128
# The estimate is this quantile of what generations had left.
QUANTILE = 0.5


class _Lengths:
    """Finished lengths of one kind: the latest, and those in order of length."""

    __slots__ = ("recent", "ordered", "unseen")

    def __init__(self):
        self.recent: deque[int] = deque(maxlen=KEPT)
        self.ordered: list[int] = []
        self.unseen = 0

    def add(self, length: int) -> None:
        self.recent.append(length)
        self.unseen += 1
        if self.unseen >= REFRESH_EVERY or len(self.recent) <= REFRESH_EVERY:
            self.unseen = 0
            self.ordered = sorted(self.recent)


class LengthEstimator:
    """Estimates by kind; a kind is any key under which lengths are alike (service, class)."""

    def __init__(self):
        self.lengths_by_kind: dict[tuple, _Lengths] = {}

    def finished(self, kind: tuple, length: int) -> None:
        """Learn from a generation that ran to its end with ``length`` tokens."""
        self.lengths_by_kind.setdefault(kind, _Lengths()).add(length)

    def remaining(self, kind: tuple, emitted: int, max_tokens: int) -> int:
        """Expected tokens still to come after ``emitted``, at most up to ``max_tokens``.

        Past what has been seen often enough, a generation is expected to run as long again as
        it has so far.
        """
        most = max(0, max_tokens - emitted)
        lengths = self.lengths_by_kind.get(kind)
        if lengths is None:
            return min(most, max(FIRST_GUESS, emitted))
        rank = bisect.bisect_right(lengths.ordered, emitted)
        longer = len(lengths.ordered) - rank
        if longer < ENOUGH:
            return min(most, max(FIRST_GUESS, emitted))
        expected = lengths.ordered[rank + int(longer * QUANTILE)]
        return min(most, expected - emitted)
