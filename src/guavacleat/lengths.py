"""Estimates of a generation's output length from finished generations of the same kind.

Output lengths are heavy-tailed: the more tokens a generation has produced, the more it will
probably still produce. Estimates are therefore conditional on the tokens produced so far.
"""

import bisect
import math
import operator
from collections import deque

__all__ = ["LengthEstimator", "LengthForecast"]

# Finished lengths kept per kind, the number of new ones between sorts, and the minimum for an
# estimate.
MAX_SAMPLES = 512
SORT_INTERVAL = 16
MIN_SAMPLES = 8
# Minimum estimate, in tokens, without enough samples.
DEFAULT_LENGTH = 128
# Quantile of the remaining lengths that is the estimate.
QUANTILE = 0.5


class _Lengths:
    """The most recent finished lengths of one kind, in order of arrival and sorted."""

    __slots__ = ("recent", "ordered", "unsorted")

    def __init__(self):
        self.recent: deque[int] = deque(maxlen=MAX_SAMPLES)
        self.ordered: list[int] = []
        self.unsorted = 0

    def add(self, length: int) -> None:
        self.recent.append(length)
        self.unsorted += 1
        if self.unsorted >= SORT_INTERVAL or len(self.recent) <= SORT_INTERVAL:
            self.unsorted = 0
            self.ordered = sorted(self.recent)


class LengthEstimator:
    """Estimates remaining lengths by kind, a key such as (service, priority class)."""

    def __init__(self):
        self.lengths_by_kind: dict[tuple, _Lengths] = {}

    def record_finished(self, kind: tuple, length: int) -> None:
        """Add the length in tokens of a finished generation."""
        self.lengths_by_kind.setdefault(kind, _Lengths()).add(length)

    def remaining(self, kind: tuple, emitted: int, max_tokens: int) -> int:
        """Expected remaining tokens after ``emitted``, limited by ``max_tokens``.

        With too few samples longer than ``emitted``, the generation is expected to produce as many
        tokens again, at least ``DEFAULT_LENGTH``.
        """
        limit = max(0, max_tokens - emitted)
        lengths = self.lengths_by_kind.get(kind)
        if lengths is None:
            return min(limit, max(DEFAULT_LENGTH, emitted))
        rank = bisect.bisect_right(lengths.ordered, emitted)
        longer = len(lengths.ordered) - rank
        if longer < MIN_SAMPLES:
            return min(limit, max(DEFAULT_LENGTH, emitted))
        expected = lengths.ordered[rank + int(longer * QUANTILE)]
        return min(limit, expected - emitted)


# Initial samples as shares of the longest output: evenly spaced on a log scale;
# their mean is 0.39.
PRIOR_LENGTH_SHARES = (1 / 16, 1 / 8, 1 / 4, 1 / 2, 1.0)
# Finished lengths kept; all are weighted again for each estimate.
MAX_FORECAST_SAMPLES = 64
# Initial standard deviation of log(hint / length), and the number of samples it counts as.
PRIOR_HINT_SPREAD = 1.2
PRIOR_HINT_SAMPLES = 8
# Minimum standard deviation of log(hint / length).
MIN_HINT_SPREAD = 0.2
# Expected remaining output of a run longer than all samples, as a share of its output so far.
OVERRUN_SHARE = 0.25


class LengthForecast:
    """Estimates the lengths of one kind of generation from finished ones and a caller's hint.

    Hints are unreliable, so a hint only changes the weights of the finished lengths.

    :param longest: maximum output tokens of a generation of this kind.
    """

    __slots__ = ("lengths", "squared_log_errors")

    def __init__(self, longest: int):
        first = (max(1.0, share * longest) for share in PRIOR_LENGTH_SHARES)
        self.lengths: deque[float] = deque(first, maxlen=MAX_FORECAST_SAMPLES)
        # Squares of log(hint / length) of recent generations with a hint.
        self.squared_log_errors: deque[float] = deque(
            [PRIOR_HINT_SPREAD**2] * PRIOR_HINT_SAMPLES, maxlen=MAX_FORECAST_SAMPLES
        )

    def record_finished(self, length: int, hint: float | None) -> None:
        """Add the length of a finished generation."""
        self.lengths.append(max(1.0, length))
        if _is_usable(hint):
            self.squared_log_errors.append(math.log(hint / max(1.0, length)) ** 2)

    def expected_length(self, emitted: int, hint: float | None) -> int:
        """Expected total tokens of a generation that has produced ``emitted`` so far."""
        longer = [length for length in self.lengths if length > emitted]
        if not longer:
            return emitted + int(OVERRUN_SHARE * emitted) + 1
        weights = [self._weight(length, hint) for length in longer]
        total = math.fsum(weights)
        if not total:
            # The hint is so far off that all weights have underflowed to zero.
            return int(min(longer))
        return int(math.fsum(map(operator.mul, weights, longer)) / total)

    def _weight(self, length: float, hint: float | None) -> float:
        """Likelihood of the hint for a generation of this length, up to a constant factor."""
        if not _is_usable(hint):
            return 1.0
        variance = max(
            MIN_HINT_SPREAD**2, math.fsum(self.squared_log_errors) / len(self.squared_log_errors)
        )
        return math.exp(-(math.log(hint / length) ** 2) / (2 * variance))


def _is_usable(hint: float | None) -> bool:
    """Whether a hint is finite and at least 1: ``inf`` would make all later estimates NaN."""
    return hint is not None and math.isfinite(hint) and hint >= 1.0
