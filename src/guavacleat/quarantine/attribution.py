"""Attributes the crashes of endpoints to the requests that were in flight.

A crash is not counted against a request if another one explains it better. If several endpoints
without a request in common crash at the same time (power, a rack), each crash counts half.
"""

from guavacleat.quarantine.crash_log import CrashLog
from guavacleat.quarantine.messages import QUARANTINE_CRASHES, QUARANTINE_SECONDS, EndpointCrash

__all__ = ["CrashAttribution"]

# A crash counts less if at least this many others, without the request, are within the window: they
# probably have a cause in common.
CORRELATION_WINDOW_SECONDS = 1.0
MIN_CORRELATED_CRASHES = 2
CORRELATED_CRASH_WEIGHT = 0.5


class CrashAttribution:
    """Counts the crashes of ``log`` that are attributed to each request."""

    __slots__ = ("log",)

    def __init__(self, log: CrashLog):
        self.log = log

    def count(self, fingerprint: int) -> float:
        """The total weight of the crashes that no other request explains better."""
        total_weight = self._total_weight(fingerprint)
        return sum(
            self._weight(crash, fingerprint)
            for crash in self.log.by_fingerprint[fingerprint]
            if not self._is_explained(crash, fingerprint, total_weight)
        )

    def failed_trials(self, fingerprint: int) -> int:
        """Number of crashes by themselves after the moment that put the request into quarantine.

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

    def _total_weight(self, fingerprint: int) -> float:
        """The total weight of all crashes at which the request was in flight."""
        crashes = self.log.by_fingerprint[fingerprint]
        return sum(self._weight(crash, fingerprint) for crash in crashes)

    def _is_explained(self, crash: EndpointCrash, fingerprint: int, total_weight: float) -> bool:
        """Whether another request in flight at the crash explains it better.

        Its total weight must be at least 1 higher, and at least QUARANTINE_CRASHES.
        """
        suspects = (
            other
            for other in crash.fingerprints
            if other != fingerprint and len(self.log.by_fingerprint[other]) >= QUARANTINE_CRASHES
        )
        return any(
            self._total_weight(other) >= max(QUARANTINE_CRASHES, total_weight + 1)
            for other in suspects
        )

    def _weight(self, crash: EndpointCrash, fingerprint: int) -> float:
        """The weight of a crash for one of its requests; lower in a correlated failure."""
        if crash.restored:
            return 1.0
        concurrent = (
            other
            for other in self.log.crashes
            if not other.restored
            and abs(other.crashed_at - crash.crashed_at) <= CORRELATION_WINDOW_SECONDS
            and fingerprint not in other.fingerprints
        )
        return (
            CORRELATED_CRASH_WEIGHT if sum(1 for _ in concurrent) >= MIN_CORRELATED_CRASHES else 1.0
        )


def _moments(crashes: list[EndpointCrash]) -> list[list[EndpointCrash]]:
    """Group crashes that are at most ``CORRELATION_WINDOW_SECONDS`` after a group's first."""
    moments: list[list[EndpointCrash]] = []
    for crash in sorted(crashes, key=lambda crash: crash.crashed_at):
        if moments and crash.crashed_at - moments[-1][0].crashed_at <= CORRELATION_WINDOW_SECONDS:
            moments[-1].append(crash)
        else:
            moments.append([crash])
    return moments
