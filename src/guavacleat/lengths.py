"""Estimates of how much longer a generation will run, learnt from the ones that finished.

Output lengths are unknown ahead and heavy-tailed: the longer a generation has run, the longer it
will probably still run. The estimate is therefore a quantile of what past generations of the
same kind had left at the length this one has reached.
"""

import bisect
import math
import operator
from collections import deque

__all__ = ["LengthEstimator", "LengthForecast"]

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

    def record_finished(self, kind: tuple, length: int) -> None:
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


# Before anything has finished, lengths are taken to be spread evenly on a log scale up to the
# longest allowed; these give a mean of 0.39 of it.
FIRST_LENGTHS = (1 / 16, 1 / 8, 1 / 4, 1 / 2, 1.0)
# Finished lengths kept: enough for a mean, few enough to weigh anew for each estimate.
FORECAST_KEPT = 64
# Standard deviation of log(hint / length) before any was seen, and how many observations that
# counts for.
FIRST_HINT_SPREAD = 1.2
FIRST_HINT_WEIGHT = 8
LEAST_HINT_SPREAD = 0.2
# Part of its output that a run is expected to produce once more when it outgrew all others.
OUTGROWN_SHARE = 0.25


class LengthForecast:
    """Expected lengths of generations of one kind, from those that finished and a caller's hint.

    A hint is right in the middle and often far off, so it only shifts weight among the lengths
    seen.

    :param longest: tokens that a generation of this kind may produce at most.
    """

    __slots__ = ("lengths", "squares")

    def __init__(self, longest: int):
        first = (max(1.0, share * longest) for share in FIRST_LENGTHS)
        self.lengths: deque[float] = deque(first, maxlen=FORECAST_KEPT)
        # log(hint / length) squared, of the latest that came with a hint.
        self.squares: deque[float] = deque(
            [FIRST_HINT_SPREAD**2] * FIRST_HINT_WEIGHT, maxlen=FORECAST_KEPT
        )

    def record_finished(self, length: int, hint: float | None) -> None:
        """Learn from a generation that ran to its end."""
        self.lengths.append(max(1.0, length))
        if _usable(hint):
            self.squares.append(math.log(hint / max(1.0, length)) ** 2)

    def expected_length(self, emitted: int, hint: float | None) -> int:
        """Expected tokens at its end of a generation that has produced ``emitted`` so far."""
        longer = [length for length in self.lengths if length > emitted]
        if not longer:
            return emitted + int(OUTGROWN_SHARE * emitted) + 1
        weights = [self._weight(length, hint) for length in longer]
        total = math.fsum(weights)
        if not total:
            # The hint is so far from all of them that none has any weight left.
            return int(min(longer))
        return int(math.fsum(map(operator.mul, weights, longer)) / total)

    def _weight(self, length: float, hint: float | None) -> float:
        """How likely the hint is for a generation of this length, up to a factor."""
        if not _usable(hint):
            return 1.0
        variance = max(LEAST_HINT_SPREAD**2, math.fsum(self.squares) / len(self.squares))
        return math.exp(-(math.log(hint / length) ** 2) / (2 * variance))


def _usable(hint: float | None) -> bool:
    """Whether a hint says anything: one caller's ``inf`` would spoil everybody's forecasts."""
    return hint is not None and math.isfinite(hint) and hint >= 1.0
