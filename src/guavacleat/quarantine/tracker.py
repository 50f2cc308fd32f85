"""Identifies the requests that crash endpoints from what was in flight at each crash.

A single crash does not show which of the requests in flight caused it. A request that was in flight
at several crashes is suspected: it runs isolated from others and only once at a time. After the
third crash it is refused for a time that grows with each failed trial, and is then tried once.

Crashes at one moment are one event, whatever was in flight: a request that all endpoints ran when
they lost power is refused no longer than one that crashed three. Only a later crash by itself is a
failed trial.

Three rules protect harmless requests. A request that completes is cleared of all earlier crashes.
A crash is not counted against a request if another one explains it better. If several endpoints
without a request in common crash at the same time (power, a rack), each crash counts half.
"""

import itertools

from eliot import log_message
from twisted.internet.interfaces import IReactorTime

from guavacleat.quarantine.attribution import CrashAttribution
from guavacleat.quarantine.clearances import ClearanceRegister
from guavacleat.quarantine.crash_log import SAME_CRASH_SECONDS, CrashLog
from guavacleat.quarantine.fingerprint import format_fingerprint
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
from guavacleat.quarantine.trials import TRIAL_TIMEOUT_SECONDS, TrialRegister

__all__ = ["CrashTracker"]

# Delay after which a request may come again that is refused as its like is being tried.
TRIAL_RETRY_SECONDS = 1.0


class CrashTracker:
    """The crashes of endpoints that this gateway knows, and the requests in flight at each.

    Requests are identified by their fingerprints. Times are clock times in seconds.

    :ivar on_local_change: called when this gateway observed something to report to peers.
    :ivar on_remote_change: called when a peer reported something new.
    :ivar on_quarantined: called with a request that a crash observed here put into quarantine.
    :ivar on_cleared: called with a quarantined request that completed here.
    :ivar changed_at: time of the last change, local or remote.
    """

    def __init__(self, clock: IReactorTime):
        self.clock = clock
        self.on_local_change = lambda: None
        self.on_remote_change = lambda: None
        self.on_quarantined = lambda fingerprint: None
        self.on_cleared = lambda fingerprint: None
        self.changed_at = float("-inf")
        self._log = CrashLog(clock)
        self._attribution = CrashAttribution(self._log)
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

    def status(self, fingerprint: int) -> QuarantineStatus:
        """How a request with this fingerprint must be handled now."""
        if fingerprint not in self._log.by_fingerprint:
            return QuarantineStatus(QuarantineState.FREE)
        count = self._attribution.count(fingerprint)
        if count < SUSPECT_CRASHES:
            return QuarantineStatus(QuarantineState.FREE, count)
        now = self.clock.seconds()
        if self._trials.active(fingerprint) is not None:
            wait = max(TRIAL_RETRY_SECONDS, self._refused_until(fingerprint, count) - now)
            return QuarantineStatus(QuarantineState.REFUSED, count, wait)
        wait = self._refused_until(fingerprint, count) - now
        if wait > 0:
            return QuarantineStatus(QuarantineState.REFUSED, count, wait)
        return QuarantineStatus(QuarantineState.ISOLATED, count)

    def quarantined_fingerprints(self) -> list[int]:
        """Fingerprints of the requests with at least QUARANTINE_CRASHES attributed crashes."""
        return [
            fingerprint
            for fingerprint, crashes in self._log.by_fingerprint.items()
            if len(crashes) >= QUARANTINE_CRASHES
            and self._attribution.count(fingerprint) >= QUARANTINE_CRASHES
        ]

    def crash_count(self, fingerprint: int) -> float:
        """Number of crashes attributed to the request."""
        known = fingerprint in self._log.by_fingerprint
        return self._attribution.count(fingerprint) if known else 0.0

    def failed_trials(self, fingerprint: int) -> int:
        """Number of trials of a quarantined request that crashed their endpoints."""
        return self._attribution.failed_trials(fingerprint)

    def request_interrupted(
        self, endpoint: str, fingerprint: int, sent_at: float = float("-inf")
    ) -> EndpointCrash:
        """Record that ``endpoint`` interrupted a request of this gateway and may have crashed.

        :param sent_at: clock time at which the request was sent; earlier crashes do not match.
        """
        now = self.clock.seconds()
        crash = self._log.find(endpoint, now, sent_at=sent_at)
        if crash is None:
            crash = self._log.add(EndpointCrash(endpoint, now, confirmed=False))
        crash.observed_locally = True
        self._add_fingerprint(crash, fingerprint)
        if crash.confirmed:
            self._record_local_crash(crash)
        return crash

    def confirm(self, crash: EndpointCrash) -> None:
        """Record that the endpoint has crashed."""
        if crash.confirmed or crash not in self._log.crashes:
            return
        crash.confirmed = True
        log_message(
            message_type="endpoint:crashed",
            endpoint=crash.endpoint,
            requests=len(crash.fingerprints),
            suspects=[format_fingerprint(suspect) for suspect in self._log.suspects(crash)],
        )
        self._record_local_crash(crash)

    def discard(self, crash: EndpointCrash) -> None:
        """Discard an unconfirmed crash: the endpoint is alive."""
        if not crash.confirmed and crash in self._log.crashes:
            self._log.remove(crash)

    def merge_crash(self, endpoint: str, age: float, fingerprints, restored: bool = False) -> None:
        """Merge a peer's report of a crash ``age`` seconds ago."""
        at = self.clock.seconds() - age
        crash = self._log.find(endpoint, at, restored)
        if crash is None:
            crash = self._log.add(EndpointCrash(endpoint, at, confirmed=False, restored=restored))
        was_confirmed = crash.confirmed
        changed = not was_confirmed
        crash.confirmed = True
        for fingerprint in set(fingerprints) - crash.fingerprints:
            changed |= self._add_fingerprint(crash, fingerprint)
        if changed:
            if not was_confirmed and not restored:
                log_message(
                    message_type="endpoint:crash-reported",
                    endpoint=endpoint,
                    age=round(age, 3),
                    requests=len(crash.fingerprints),
                )
            crash.updated_at = self.clock.seconds()
            self._end_trials(crash)
            self._notify(self.on_remote_change)

    def restore(self, fingerprint: int, count: int) -> None:
        """Merge the number of crashes from the record in the store; their times are unknown."""
        missing = count - len(self._log.by_fingerprint.get(fingerprint, ()))
        for number in range(missing):
            name = f"record:{format_fingerprint(fingerprint)}:{number}"
            self.merge_crash(name, 0.0, [fingerprint], restored=True)

    def request_completed(self, fingerprint: int) -> None:
        """Record that a request of this gateway completed."""
        if fingerprint not in self._log.by_fingerprint:
            return
        quarantined = len(self._log.by_fingerprint[fingerprint]) >= QUARANTINE_CRASHES
        self._clear(fingerprint, self.clock.seconds())
        self._notify(self.on_local_change)
        if quarantined:
            self.on_cleared(fingerprint)

    def merge_completion(self, fingerprint: int, age: float) -> None:
        """Merge a peer's report that a request completed ``age`` seconds ago."""
        at = self.clock.seconds() - age
        previous = self._clearances.by_fingerprint.get(fingerprint)
        if previous is None or at > previous.completed_at + SAME_CRASH_SECONDS:
            self._clear(fingerprint, at)
            self._notify(self.on_remote_change)

    def begin_trial(self, fingerprint: int, endpoint: str) -> None:
        """Record that a request that must run isolated is sent to ``endpoint``."""
        self._trials.begin(fingerprint, endpoint, self.clock.seconds(), own=True)
        log_message(
            message_type="quarantine:trial",
            fingerprint=format_fingerprint(fingerprint),
            endpoint=endpoint,
            crashes=self._attribution.count(fingerprint),
        )
        self._notify(self.on_local_change)

    def end_trial(self, fingerprint: int) -> None:
        """Record that a trial of this gateway is over, whatever its outcome."""
        self._trials.end_own(fingerprint)

    def merge_trial(self, fingerprint: int, endpoint: str, age: float) -> None:
        """Merge a peer's report of a trial that began ``age`` seconds ago."""
        at = self.clock.seconds() - age
        if (
            self._trials.active(fingerprint) is not None
            or age >= TRIAL_TIMEOUT_SECONDS
            or self._log.crashed_since(fingerprint, at)
        ):
            return
        self._trials.begin(fingerprint, endpoint, at, own=False)
        self._notify(self.on_remote_change)

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
        """Confirmed crashes at which a quarantined request was in flight."""
        crashes = itertools.chain.from_iterable(
            self._log.by_fingerprint[fingerprint] for fingerprint in self.quarantined_fingerprints()
        )
        return [crash for crash in dict.fromkeys(crashes) if crash.confirmed]

    def most_suspected(self, crash: EndpointCrash) -> list[int]:
        """The requests of a crash, sorted by the number of crashes they were in flight at."""
        return self._log.most_suspected(crash)

    def recent_clearances(self, seconds: float) -> list[Clearance]:
        """Clearances recorded in the last ``seconds``, newest first."""
        return self._clearances.recent(seconds)

    def _notify(self, callback) -> None:
        self.changed_at = self.clock.seconds()
        callback()

    def _refused_until(self, fingerprint: int, count: float) -> float:
        """Clock time until which the request is refused; -inf if it is not."""
        if count < QUARANTINE_CRASHES:
            return float("-inf")
        last = max(crash.crashed_at for crash in self._log.by_fingerprint[fingerprint])
        failed_trials = min(self.failed_trials(fingerprint), len(QUARANTINE_SECONDS) - 1)
        return last + QUARANTINE_SECONDS[failed_trials]

    def _add_fingerprint(self, crash: EndpointCrash, fingerprint: int) -> bool:
        """Add a request in flight at a crash unless it is cleared; return whether it was added."""
        if self._clearances.covers(fingerprint, crash.crashed_at):
            return False
        return self._log.add_fingerprint(crash, fingerprint)

    def _record_local_crash(self, crash: EndpointCrash) -> None:
        """Update trials and quarantine after this gateway observed a confirmed crash."""
        crash.updated_at = self.clock.seconds()
        self._end_trials(crash)
        for fingerprint in crash.fingerprints:
            count = self._attribution.count(fingerprint)
            if count >= QUARANTINE_CRASHES:
                log_message(
                    message_type="quarantine:began",
                    fingerprint=format_fingerprint(fingerprint),
                    crashes=count,
                    seconds=round(self._refused_until(fingerprint, count) - crash.crashed_at, 1),
                )
                self.on_quarantined(fingerprint)
        self._notify(self.on_local_change)

    def _end_trials(self, crash: EndpointCrash) -> None:
        for fingerprint in crash.fingerprints & self._trials.by_fingerprint.keys():
            self._trials.end(fingerprint, crash.crashed_at)

    def _clear(self, fingerprint: int, at: float) -> None:
        crashes = list(self._log.by_fingerprint.get(fingerprint, ()))
        for crash in crashes:
            if crash.crashed_at <= at:
                self._log.remove_fingerprint(crash, fingerprint)
        self._trials.end(fingerprint)
        self._clearances.record(fingerprint, at)
        if len(crashes) >= SUSPECT_CRASHES:
            log_message(
                message_type="quarantine:cleared",
                fingerprint=format_fingerprint(fingerprint),
                crashes=len(crashes),
            )
