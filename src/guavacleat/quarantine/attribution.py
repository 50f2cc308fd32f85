"""Attributes the crashes of endpoints to the requests, and parts of prompts, that were in flight.

A crash is not counted against one if another explains it better. If several endpoints without a
request in common crash at the same time (power, a rack), each crash counts half. A part that used
to be sound is in flight at many endpoints, so crashes at one moment count as one for it.
"""

import bisect
import functools

from guavacleat.quarantine.crash_log import CrashLog
from guavacleat.quarantine.messages import QUARANTINE_CRASHES, QUARANTINE_SECONDS, EndpointCrash
from guavacleat.quarantine.proofs import PartProofs

__all__ = ["CrashAttribution"]

# A crash counts less if at least this many others, without the request, are within the window: they
# probably have a cause in common.
CORRELATION_WINDOW_SECONDS = 1.0
MIN_CORRELATED_CRASHES = 2
CORRELATED_CRASH_WEIGHT = 0.5
# Crashes within this time are one for a part that used to be sound. Shorter, as requests that share
# it come often: its answers since then show whether it still is.
PART_WINDOW_SECONDS = 0.5


@functools.total_ordering
class _Suspicion:
    """How much speaks against a request or part: its crashes, and that it never was sound."""

    __slots__ = ("weight", "never_sound")

    def __init__(self, weight: float, never_sound: bool):
        self.weight = weight
        self.never_sound = never_sound

    def __eq__(self, other):
        return (self.weight, self.never_sound) == (other.weight, other.never_sound)

    def __lt__(self, other):
        return (self.weight, self.never_sound) < (other.weight, other.never_sound)

    def explains(self, other: "_Suspicion") -> bool:
        """Whether a crash at which both were in flight is not counted against ``other``."""
        if self.weight < QUARANTINE_CRASHES:
            return False
        return self.weight >= other.weight + 1 or (
            self.weight >= other.weight and self.never_sound > other.never_sound
        )


class CrashAttribution:
    """Counts the crashes of ``log`` that are attributed to each request and part.

    :param proofs: the parts that used to be sound.
    """

    __slots__ = ("log", "proofs", "_revision", "_counts", "_suspicions", "_crash_times")

    def __init__(self, log: CrashLog, proofs: PartProofs):
        self.log = log
        self.proofs = proofs
        # Results for this revision of the log, by fingerprint.
        self._revision: int | None = None
        self._counts: dict[int, float] = {}
        self._suspicions: dict[int, _Suspicion] = {}
        self._crash_times: list[float] = []

    def count(self, fingerprint: int) -> float:
        """The total weight of the crashes that nothing else explains better."""
        self._drop_outdated()
        if fingerprint not in self._counts:
            explanations = self._explanations(fingerprint)
            unexplained = [
                crash
                for crash in self.log.by_fingerprint[fingerprint]
                if not any(map(crash.involves, explanations))
            ]
            self._counts[fingerprint] = self._sum_weights(fingerprint, unexplained)
        return self._counts[fingerprint]

    def is_contested(self, part: int, fingerprints) -> bool:
        """Whether something else explains all crashes of a part as well.

        :param fingerprints: of the request with the part; what it contains explains nothing.
        """
        self._drop_outdated()
        suspicion = self._suspicion(part)
        crashes = self.log.by_fingerprint[part]
        return any(
            self._suspicion(other) >= suspicion and all(crash.involves(other) for crash in crashes)
            for other in self.log.recurrent.difference(fingerprints)
        )

    def failed_trials(self, fingerprint: int) -> int:
        """Number of crashes by themselves after the moment that began the quarantine.

        A trial starts only after the request was refused for some time: a crash that follows sooner
        has ended an earlier run.
        """
        crashes = self.log.by_fingerprint.get(fingerprint, ())
        restored = sum(crash.restored for crash in crashes)
        count, failed = float(restored), max(0, restored - QUARANTINE_CRASHES)
        previous_at = float("-inf")
        self._drop_outdated()
        for moment in _moments([crash for crash in crashes if not crash.restored]):
            weight = self._sum_observed_weights(fingerprint, moment)
            follows_refusal = moment[0].crashed_at - previous_at >= QUARANTINE_SECONDS[0]
            if count >= QUARANTINE_CRASHES and follows_refusal and len(moment) == weight == 1:
                failed += 1
            count += weight
            previous_at = moment[-1].crashed_at
        return failed

    def _drop_outdated(self) -> None:
        if self._revision != self.log.revision:
            self._revision = self.log.revision
            self._counts.clear()
            self._suspicions.clear()
            self._crash_times = _times(self.log.crashes)

    def _suspicion(self, fingerprint: int) -> _Suspicion:
        """The suspicion from all crashes at which the request or part was in flight."""
        if fingerprint not in self._suspicions:
            crashes = self.log.by_fingerprint[fingerprint]
            self._suspicions[fingerprint] = _Suspicion(
                self._sum_weights(fingerprint, crashes), not self._used_to_be_sound(fingerprint)
            )
        return self._suspicions[fingerprint]

    def _used_to_be_sound(self, fingerprint: int) -> bool:
        return fingerprint in self.log.parts and self.proofs.used_to_be_sound(fingerprint)

    def _explanations(self, fingerprint: int) -> list[int]:
        """What explains a crash better than this request or part, if both were in flight."""
        suspicion = self._suspicion(fingerprint)
        return [
            other
            for other in self.log.recurrent
            if other != fingerprint and self._suspicion(other).explains(suspicion)
        ]

    def _sum_weights(self, fingerprint: int, crashes: list[EndpointCrash]) -> float:
        observed = [crash for crash in crashes if not crash.restored]
        restored = len(crashes) - len(observed)
        if self._used_to_be_sound(fingerprint):
            return float(restored + len(_moments(observed, PART_WINDOW_SECONDS)))
        return restored + self._sum_observed_weights(fingerprint, observed)

    def _sum_observed_weights(self, fingerprint: int, crashes: list[EndpointCrash]) -> float:
        """The weights of crashes that were not restored; lower in a correlated failure."""
        own_times = _times(self.log.by_fingerprint[fingerprint])
        return sum(self._weight(crash.crashed_at, own_times) for crash in crashes)

    def _weight(self, at: float, own_times: list[float]) -> float:
        concurrent = _count_around(at, self._crash_times) - _count_around(at, own_times)
        return CORRELATED_CRASH_WEIGHT if concurrent >= MIN_CORRELATED_CRASHES else 1.0


def _times(crashes: list[EndpointCrash]) -> list[float]:
    """The times of the crashes that were not restored, in order."""
    return sorted(crash.crashed_at for crash in crashes if not crash.restored)


def _count_around(at: float, times: list[float]) -> int:
    """The number of sorted ``times`` within ``CORRELATION_WINDOW_SECONDS`` of a clock time."""
    first = bisect.bisect_left(times, at - CORRELATION_WINDOW_SECONDS)
    return bisect.bisect_right(times, at + CORRELATION_WINDOW_SECONDS) - first


def _moments(
    crashes: list[EndpointCrash], window: float = CORRELATION_WINDOW_SECONDS
) -> list[list[EndpointCrash]]:
    """Group crashes that are at most ``window`` seconds after a group's first."""
    moments: list[list[EndpointCrash]] = []
    for crash in sorted(crashes, key=lambda crash: crash.crashed_at):
        if moments and crash.crashed_at - moments[-1][0].crashed_at <= window:
            moments[-1].append(crash)
        else:
            moments.append([crash])
    return moments
