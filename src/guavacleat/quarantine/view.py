"""What is known of the crashes of endpoints, and how requests must be handled because of it."""

import itertools

from twisted.internet.interfaces import IReactorTime

from guavacleat.quarantine.attribution import CrashAttribution
from guavacleat.quarantine.clearances import ClearanceRegister
from guavacleat.quarantine.crash_log import CrashLog
from guavacleat.quarantine.messages import (
    QUARANTINE_CRASHES,
    QUARANTINE_SECONDS,
    SUSPECT_CRASHES,
    Clearance,
    EndpointCrash,
    QuarantineState,
    QuarantineStatus,
    Trial,
)
from guavacleat.quarantine.proofs import PartProofs
from guavacleat.quarantine.trials import TrialRegister

__all__ = ["CrashView"]

# Delay after which a request may come again that is refused as its like is being tried.
TRIAL_RETRY_SECONDS = 1.0


class CrashView:
    """The crashes of endpoints that this gateway knows, and what was in flight at each.

    Requests and parts of prompts are identified by their fingerprints. Times are clock times in
    seconds.

    :ivar trial_delay: returns by how many seconds this gateway tries a quarantined part later than
        its refusal ends, so that one gateway tries it before the others.
    """

    def __init__(self, clock: IReactorTime):
        self.clock = clock
        self.trial_delay = lambda fingerprint: 0.0
        self._log = CrashLog(clock)
        self._proofs = PartProofs(clock)
        self._attribution = CrashAttribution(self._log, self._proofs)
        self._trials = TrialRegister(clock)
        self._clearances = ClearanceRegister(clock)

    @property
    def endpoint_crashes(self) -> list[EndpointCrash]:
        """The known crashes, oldest first."""
        return self._log.crashes

    @property
    def crashes_by_fingerprint(self) -> dict[int, list[EndpointCrash]]:
        return self._log.by_fingerprint

    @property
    def trials_by_fingerprint(self) -> dict[int, Trial]:
        return self._trials.by_fingerprint

    @property
    def clearances_by_fingerprint(self) -> dict[int, Clearance]:
        return self._clearances.by_fingerprint

    def status(self, *fingerprints: int) -> QuarantineStatus:
        """How a request must be handled; ``fingerprints`` are its own and those of its parts."""
        known = [
            self._status(fingerprint, fingerprints)
            for fingerprint in fingerprints
            if fingerprint in self._log.by_fingerprint
        ]
        return max(known, key=_severity, default=QuarantineStatus(QuarantineState.FREE))

    def _status(self, fingerprint: int, fingerprints: tuple[int, ...]) -> QuarantineStatus:
        """How a request with ``fingerprints`` must be handled because of one of them."""
        is_part = self.is_part(fingerprint)
        count = self._attribution.count(fingerprint)
        if count < (QUARANTINE_CRASHES if is_part else SUSPECT_CRASHES):
            return QuarantineStatus(QuarantineState.FREE, count)
        contested = is_part and self._attribution.is_contested(fingerprint, fingerprints)
        wait = 0.0 if contested else self._refused_until(fingerprint, count) - self.clock.seconds()
        if self._trials.active(fingerprint) is not None:
            wait = max(TRIAL_RETRY_SECONDS, wait)
        if wait > 0:
            return QuarantineStatus(QuarantineState.REFUSED, count, wait)
        return QuarantineStatus(QuarantineState.ISOLATED, count, contested=contested)

    def suspects(self, fingerprints) -> list[int]:
        """Those of a request's fingerprints because of which it must run isolated."""
        return [
            fingerprint
            for fingerprint in fingerprints
            if fingerprint in self._log.by_fingerprint
            and self._status(fingerprint, fingerprints).state is QuarantineState.ISOLATED
        ]

    def is_part(self, fingerprint: int) -> bool:
        """Whether a fingerprint with crashes is that of a part of a prompt."""
        return fingerprint in self._log.parts

    def quarantined_fingerprints(self) -> list[int]:
        """Fingerprints with at least QUARANTINE_CRASHES attributed crashes."""
        return [
            fingerprint
            for fingerprint in self._log.recurrent
            if self._attribution.count(fingerprint) >= QUARANTINE_CRASHES
        ]

    def crash_count(self, fingerprint: int) -> float:
        """Number of crashes attributed to the request or part."""
        known = fingerprint in self._log.by_fingerprint
        return self._attribution.count(fingerprint) if known else 0.0

    def failed_trials(self, fingerprint: int) -> int:
        """Number of trials of a quarantined request or part that crashed their endpoints."""
        return self._attribution.failed_trials(fingerprint)

    def trials(self) -> list[Trial]:
        """Active trials of this gateway and its peers."""
        return self._trials.all_active()

    def recent_crashes(self, seconds: float, local_only: bool) -> list[EndpointCrash]:
        """Confirmed crashes updated in the last ``seconds``, newest first."""
        oldest = self.clock.seconds() - seconds
        return [
            crash
            for crash in reversed(self._log.crashes)
            if crash.confirmed
            and crash.updated_at >= oldest
            and (crash.observed_locally or not local_only)
        ]

    def quarantining_crashes(self) -> list[EndpointCrash]:
        """Confirmed crashes at which a quarantined request or part was in flight."""
        crashes = itertools.chain.from_iterable(
            self._log.by_fingerprint[fingerprint] for fingerprint in self.quarantined_fingerprints()
        )
        return [crash for crash in dict.fromkeys(crashes) if crash.confirmed]

    def known_crashes(self, fingerprint: int) -> int:
        """Number of crashes at which the request or part was in flight, whatever explains them."""
        return len(self._log.by_fingerprint.get(fingerprint, ()))

    def recent_clearances(self, seconds: float) -> list[Clearance]:
        """Clearances recorded in the last ``seconds``, newest first."""
        return self._clearances.recent(seconds)

    def _refused_until(self, fingerprint: int, count: float) -> float:
        """Clock time until which the request is refused; -inf if it is not."""
        if count < QUARANTINE_CRASHES:
            return float("-inf")
        last = max(crash.crashed_at for crash in self._log.by_fingerprint[fingerprint])
        failed_trials = min(self.failed_trials(fingerprint), len(QUARANTINE_SECONDS) - 1)
        delay = self.trial_delay(fingerprint) if self.is_part(fingerprint) else 0.0
        return last + QUARANTINE_SECONDS[failed_trials] + delay


def _severity(status: QuarantineStatus) -> tuple[int, float]:
    """Sort key: the status that restricts a request most is the highest."""
    order = (QuarantineState.FREE, QuarantineState.ISOLATED, QuarantineState.REFUSED)
    return order.index(status.state), status.retry_after or status.crashes
