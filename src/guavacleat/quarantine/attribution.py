"""Attributes the crashes of endpoints to the requests, and parts of prompts, that were in flight.

A crash is not counted against one if another explains it better. If several endpoints without a
request in common crash at the same time (power, a rack), each crash counts half. A part that used
to be sound is in flight at many endpoints, so crashes at one moment count as one for it.
"""

import functools
import itertools

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

    __slots__ = ("log", "proofs", "_revision", "_counts", "_suspicions")

    def __init__(self, log: CrashLog, proofs: PartProofs):
        self.log = log
        self.proofs = proofs
        # Results for this revision of the log, by fingerprint.
        self._revision = log.revision
        self._counts: dict[int, float] = {}
        self._suspicions: dict[int, _Suspicion] = {}

    def count(self, fingerprint: int) -> float:
        """The total weight of the crashes that nothing else explains better."""
        self._drop_outdated()
        if fingerprint not in self._counts:
            self._counts[fingerprint] = self._sum_weights(
                fingerprint,
                [
                    crash
                    for crash in self.log.by_fingerprint[fingerprint]
                    if not self._is_explained(crash, fingerprint)
                ],
            )
        return self._counts[fingerprint]

    def is_contested(self, part: int, fingerprints) -> bool:
        """Whether something else explains all crashes of a part as well.

        :param fingerprints: of the request with the part; what it contains explains nothing.
        """
        self._drop_outdated()
        suspicion = self._suspicion(part)
        common = functools.reduce(
            set.intersection, (crash.fingerprints for crash in self.log.by_fingerprint[part])
        )
        return any(self._suspicion(other) >= suspicion for other in common.difference(fingerprints))

    def failed_trials(self, fingerprint: int) -> int:
        """Number of crashes by themselves after the moment that began the quarantine.

        A trial starts only after the request was refused for some time: a crash that follows sooner
        has ended an earlier run.
        """
        crashes = self.log.by_fingerprint.get(fingerprint, ())
        restored = sum(crash.restored for crash in crashes)
        count, failed = float(restored), max(0, restored - QUARANTINE_CRASHES)
        previous_at = float("-inf")
        for moment in _moments([crash for crash in crashes if not crash.restored]):
            weight = sum(self._weight(crash, fingerprint) for crash in moment)
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

    def _is_explained(self, crash: EndpointCrash, fingerprint: int) -> bool:
        """Whether something else in flight at the crash explains it better."""
        suspicion = self._suspicion(fingerprint)
        suspects = (
            other
            for other in itertools.chain(crash.requests, crash.parts)
            if other != fingerprint and len(self.log.by_fingerprint[other]) >= QUARANTINE_CRASHES
        )
        return any(self._suspicion(other).explains(suspicion) for other in suspects)

    def _sum_weights(self, fingerprint: int, crashes: list[EndpointCrash]) -> float:
        if self._used_to_be_sound(fingerprint):
            restored = sum(crash.restored for crash in crashes)
            observed = [crash for crash in crashes if not crash.restored]
            return float(restored + len(_moments(observed, PART_WINDOW_SECONDS)))
        return sum(self._weight(crash, fingerprint) for crash in crashes)

    def _weight(self, crash: EndpointCrash, fingerprint: int) -> float:
        """The weight of a crash for one in flight there; lower in a correlated failure."""
        if crash.restored:
            return 1.0
        concurrent = (
            other
            for other in self.log.crashes
            if not other.restored
            and abs(other.crashed_at - crash.crashed_at) <= CORRELATION_WINDOW_SECONDS
            and fingerprint not in other.requests
            and fingerprint not in other.parts
        )
        return (
            CORRELATED_CRASH_WEIGHT if sum(1 for _ in concurrent) >= MIN_CORRELATED_CRASHES else 1.0
        )


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
