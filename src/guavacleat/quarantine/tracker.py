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

import collections
import itertools

from eliot import log_message
from twisted.internet.interfaces import IReactorTime

from guavacleat.quarantine.fingerprint import format_fingerprint
from guavacleat.quarantine.messages import (
    QUARANTINE_CRASHES,
    Clearance,
    EndpointCrash,
    QuarantineState,
    QuarantineStatus,
    Trial,
)

__all__ = ["CrashTracker"]

# Number of crashes from which a request runs isolated from others, one at a time.
SUSPECT_CRASHES = 2
# How long a request is refused after its third crash, and after each failed trial; the last value
# repeats.
QUARANTINE_SECONDS = (2.0, 60.0, 600.0, 21600.0)
# A trial that has not crashed its endpoint by then is considered over.
TRIAL_TIMEOUT_SECONDS = 5.0
TRIAL_RETRY_SECONDS = 1.0
# Reports about one endpoint that are closer than this in time are about the same crash.
SAME_CRASH_SECONDS = 0.8
# A crash counts less if at least this many others, without the request, are within the window: they
# probably have a cause in common.
CORRELATION_WINDOW_SECONDS = 1.0
MIN_CORRELATED_CRASHES = 2
CORRELATED_CRASH_WEIGHT = 0.5
# How long a crash without suspects is remembered.
CRASH_RETENTION_SECONDS = 600.0
# Limits on memory: this many crashes with this many fingerprints each take a few megabytes.
MAX_CRASHES = 256
MAX_FINGERPRINTS_PER_CRASH = 32
MAX_CLEARANCES = 1024


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
        self.endpoint_crashes: list[EndpointCrash] = []
        self.crashes_by_fingerprint: dict[int, list[EndpointCrash]] = {}
        self.trials_by_fingerprint: dict[int, Trial] = {}
        # Oldest first.
        self.clearances_by_fingerprint: collections.OrderedDict[int, Clearance] = (
            collections.OrderedDict()
        )

    def status(self, fingerprint: int) -> QuarantineStatus:
        """How a request with this fingerprint must be handled now."""
        if fingerprint not in self.crashes_by_fingerprint:
            return QuarantineStatus(QuarantineState.FREE)
        count = self._crash_count(fingerprint)
        if count < SUSPECT_CRASHES:
            return QuarantineStatus(QuarantineState.FREE, count)
        now = self.clock.seconds()
        if self._trial(fingerprint) is not None:
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
            for fingerprint, crashes in self.crashes_by_fingerprint.items()
            if len(crashes) >= QUARANTINE_CRASHES
            and self._crash_count(fingerprint) >= QUARANTINE_CRASHES
        ]

    def crash_count(self, fingerprint: int) -> float:
        """Number of crashes attributed to the request."""
        return self._crash_count(fingerprint) if fingerprint in self.crashes_by_fingerprint else 0.0

    def request_interrupted(
        self, endpoint: str, fingerprint: int, sent_at: float = float("-inf")
    ) -> EndpointCrash:
        """Record that ``endpoint`` interrupted a request of this gateway and may have crashed.

        :param sent_at: clock time at which the request was sent; earlier crashes do not match.
        """
        now = self.clock.seconds()
        crash = self._find(endpoint, now, sent_at=sent_at)
        if crash is None:
            crash = self._add(EndpointCrash(endpoint, now, confirmed=False))
        crash.observed_locally = True
        self._add_fingerprint(crash, fingerprint)
        if crash.confirmed:
            self._record_local_crash(crash)
        return crash

    def confirm(self, crash: EndpointCrash) -> None:
        """Record that the endpoint has crashed."""
        if crash.confirmed or crash not in self.endpoint_crashes:
            return
        crash.confirmed = True
        log_message(
            message_type="endpoint:crashed",
            endpoint=crash.endpoint,
            requests=len(crash.fingerprints),
            suspects=self._format_suspects(crash),
        )
        self._record_local_crash(crash)

    def discard(self, crash: EndpointCrash) -> None:
        """Discard an unconfirmed crash: the endpoint is alive."""
        if not crash.confirmed and crash in self.endpoint_crashes:
            self._remove(crash)

    def merge_crash(self, endpoint: str, age: float, fingerprints, restored: bool = False) -> None:
        """Merge a peer's report of a crash ``age`` seconds ago."""
        at = self.clock.seconds() - age
        crash = self._find(endpoint, at, restored)
        if crash is None:
            crash = self._add(EndpointCrash(endpoint, at, confirmed=False, restored=restored))
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
        missing = count - len(self.crashes_by_fingerprint.get(fingerprint, ()))
        for number in range(missing):
            name = f"record:{format_fingerprint(fingerprint)}:{number}"
            self.merge_crash(name, 0.0, [fingerprint], restored=True)

    def request_completed(self, fingerprint: int) -> None:
        """Record that a request of this gateway completed."""
        if fingerprint not in self.crashes_by_fingerprint:
            return
        quarantined = len(self.crashes_by_fingerprint[fingerprint]) >= QUARANTINE_CRASHES
        self._clear(fingerprint, self.clock.seconds())
        self._notify(self.on_local_change)
        if quarantined:
            self.on_cleared(fingerprint)

    def merge_completion(self, fingerprint: int, age: float) -> None:
        """Merge a peer's report that a request completed ``age`` seconds ago."""
        at = self.clock.seconds() - age
        previous = self.clearances_by_fingerprint.get(fingerprint)
        if previous is None or at > previous.completed_at + SAME_CRASH_SECONDS:
            self._clear(fingerprint, at)
            self._notify(self.on_remote_change)

    def begin_trial(self, fingerprint: int, endpoint: str) -> None:
        """Record that a request that must run isolated is sent to ``endpoint``."""
        trial = Trial(fingerprint, endpoint, self.clock.seconds(), own=True)
        self.trials_by_fingerprint[fingerprint] = trial
        log_message(
            message_type="quarantine:trial",
            fingerprint=format_fingerprint(fingerprint),
            endpoint=endpoint,
            crashes=self._crash_count(fingerprint),
        )
        self._notify(self.on_local_change)

    def end_trial(self, fingerprint: int) -> None:
        """Record that a trial of this gateway is over, whatever its outcome."""
        trial = self.trials_by_fingerprint.get(fingerprint)
        if trial is not None and trial.own:
            del self.trials_by_fingerprint[fingerprint]

    def merge_trial(self, fingerprint: int, endpoint: str, age: float) -> None:
        """Merge a peer's report of a trial that began ``age`` seconds ago."""
        at = self.clock.seconds() - age
        active = self._trial(fingerprint)
        if (
            active is not None
            or age >= TRIAL_TIMEOUT_SECONDS
            or self._crashed_since(fingerprint, at)
        ):
            return
        self.trials_by_fingerprint[fingerprint] = Trial(fingerprint, endpoint, at, own=False)
        self._notify(self.on_remote_change)

    def trials(self) -> list[Trial]:
        """Active trials of this gateway and its peers."""
        active = (self._trial(fingerprint) for fingerprint in list(self.trials_by_fingerprint))
        return [trial for trial in active if trial is not None]

    def recent_crashes(self, seconds: float, local_only: bool) -> list[EndpointCrash]:
        """Confirmed crashes updated in the last ``seconds``, newest first."""
        oldest = self.clock.seconds() - seconds
        return [
            crash
            for crash in reversed(self.endpoint_crashes)
            if crash.confirmed
            and crash.updated_at >= oldest
            and (crash.observed_locally or not local_only)
        ]

    def quarantining_crashes(self) -> list[EndpointCrash]:
        """Confirmed crashes at which a quarantined request was in flight."""
        crashes = itertools.chain.from_iterable(
            self.crashes_by_fingerprint[fingerprint]
            for fingerprint in self.quarantined_fingerprints()
        )
        return [crash for crash in dict.fromkeys(crashes) if crash.confirmed]

    def most_suspected(self, crash: EndpointCrash) -> list[int]:
        """The requests of a crash, sorted by the number of crashes they were in flight at."""
        return sorted(
            crash.fingerprints,
            key=lambda fingerprint: -len(self.crashes_by_fingerprint[fingerprint]),
        )

    def recent_clearances(self, seconds: float) -> list[Clearance]:
        """Clearances recorded in the last ``seconds``, newest first."""
        oldest = self.clock.seconds() - seconds
        newest_first = reversed(self.clearances_by_fingerprint.values())
        return list(
            itertools.takewhile(lambda clearance: clearance.updated_at >= oldest, newest_first)
        )

    def _notify(self, callback) -> None:
        self.changed_at = self.clock.seconds()
        callback()

    def _crash_count(self, fingerprint: int) -> float:
        """The total weight of the crashes that no other request explains better."""
        total_weight = self._total_weight(fingerprint)
        return sum(
            self._weight(crash, fingerprint)
            for crash in self.crashes_by_fingerprint[fingerprint]
            if not self._is_explained(crash, fingerprint, total_weight)
        )

    def _total_weight(self, fingerprint: int) -> float:
        """The total weight of all crashes at which the request was in flight."""
        crashes = self.crashes_by_fingerprint[fingerprint]
        return sum(self._weight(crash, fingerprint) for crash in crashes)

    def _is_explained(self, crash: EndpointCrash, fingerprint: int, total_weight: float) -> bool:
        """Whether another request in flight at the crash explains it better.

        Its total weight must be at least 1 higher, and at least QUARANTINE_CRASHES.
        """
        suspects = (
            other
            for other in crash.fingerprints
            if other != fingerprint
            and len(self.crashes_by_fingerprint[other]) >= QUARANTINE_CRASHES
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
            for other in self.endpoint_crashes
            if not other.restored
            and abs(other.crashed_at - crash.crashed_at) <= CORRELATION_WINDOW_SECONDS
            and fingerprint not in other.fingerprints
        )
        return (
            CORRELATED_CRASH_WEIGHT if sum(1 for _ in concurrent) >= MIN_CORRELATED_CRASHES else 1.0
        )

    def _refused_until(self, fingerprint: int, count: float) -> float:
        """Clock time until which the request is refused; -inf if it is not."""
        if count < QUARANTINE_CRASHES:
            return float("-inf")
        last = max(crash.crashed_at for crash in self.crashes_by_fingerprint[fingerprint])
        failed_trials = min(self.failed_trials(fingerprint), len(QUARANTINE_SECONDS) - 1)
        return last + QUARANTINE_SECONDS[failed_trials]

    def failed_trials(self, fingerprint: int) -> int:
        """Number of crashes by themselves after the moment that put the request into quarantine.

        A trial starts only after the request was refused for some time: a crash that follows sooner
        has ended an earlier run.
        """
        crashes = self.crashes_by_fingerprint.get(fingerprint, ())
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

    def _trial(self, fingerprint: int) -> Trial | None:
        """The active trial of a request; drops one that timed out."""
        trial = self.trials_by_fingerprint.get(fingerprint)
        if trial is not None and self.clock.seconds() - trial.started_at >= TRIAL_TIMEOUT_SECONDS:
            del self.trials_by_fingerprint[fingerprint]
            return None
        return trial

    def _find(
        self, endpoint: str, at: float, restored: bool = False, sent_at: float = float("-inf")
    ) -> EndpointCrash | None:
        """The known crash of ``endpoint`` at that time, but not before ``sent_at``.

        With ``restored`` the time does not matter.
        """
        return next(
            (
                crash
                for crash in reversed(self.endpoint_crashes)
                if crash.endpoint == endpoint
                and (restored or abs(crash.crashed_at - at) <= SAME_CRASH_SECONDS)
                and crash.crashed_at >= sent_at
            ),
            None,
        )

    def _add(self, crash: EndpointCrash) -> EndpointCrash:
        self._evict()
        crash.updated_at = self.clock.seconds()
        self.endpoint_crashes.append(crash)
        return crash

    def _evict(self) -> None:
        """Drop expired crashes, and the oldest if there are too many; keep those with suspects."""
        oldest = self.clock.seconds() - CRASH_RETENTION_SECONDS
        for crash in [
            crash
            for crash in self.endpoint_crashes
            if crash.crashed_at < oldest and not self._format_suspects(crash)
        ]:
            self._remove(crash)
        if len(self.endpoint_crashes) >= MAX_CRASHES:
            self._remove(
                min(
                    self.endpoint_crashes,
                    key=lambda crash: (bool(self._format_suspects(crash)), crash.crashed_at),
                )
            )

    def _format_suspects(self, crash: EndpointCrash) -> list[str]:
        """The formatted fingerprints of the requests of a crash that are suspected."""
        return [
            format_fingerprint(fingerprint)
            for fingerprint in crash.fingerprints
            if len(self.crashes_by_fingerprint[fingerprint]) >= SUSPECT_CRASHES
        ]

    def _add_fingerprint(self, crash: EndpointCrash, fingerprint: int) -> bool:
        """Add a request in flight at a crash; return whether it was added."""
        cleared = self.clearances_by_fingerprint.get(fingerprint)
        if fingerprint in crash.fingerprints or (
            cleared is not None and crash.crashed_at <= cleared.completed_at
        ):
            return False
        if len(crash.fingerprints) >= MAX_FINGERPRINTS_PER_CRASH:
            return False
        crash.fingerprints.add(fingerprint)
        self.crashes_by_fingerprint.setdefault(fingerprint, []).append(crash)
        return True

    def _record_local_crash(self, crash: EndpointCrash) -> None:
        """Update trials and quarantine after this gateway observed a confirmed crash."""
        crash.updated_at = self.clock.seconds()
        self._end_trials(crash)
        for fingerprint in crash.fingerprints:
            count = self._crash_count(fingerprint)
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
        for fingerprint in crash.fingerprints & self.trials_by_fingerprint.keys():
            if self.trials_by_fingerprint[fingerprint].started_at <= crash.crashed_at:
                del self.trials_by_fingerprint[fingerprint]

    def _crashed_since(self, fingerprint: int, at: float) -> bool:
        crashes = self.crashes_by_fingerprint.get(fingerprint, ())
        return any(crash.crashed_at >= at for crash in crashes)

    def _clear(self, fingerprint: int, at: float) -> None:
        previous_count = len(self.crashes_by_fingerprint.get(fingerprint, ()))
        for crash in list(self.crashes_by_fingerprint.get(fingerprint, ())):
            if crash.crashed_at <= at:
                self._remove_fingerprint(crash, fingerprint)
        self.trials_by_fingerprint.pop(fingerprint, None)
        self.clearances_by_fingerprint.pop(fingerprint, None)
        self.clearances_by_fingerprint[fingerprint] = Clearance(
            fingerprint, at, self.clock.seconds()
        )
        if len(self.clearances_by_fingerprint) > MAX_CLEARANCES:
            self.clearances_by_fingerprint.popitem(last=False)
        if previous_count >= SUSPECT_CRASHES:
            log_message(
                message_type="quarantine:cleared",
                fingerprint=format_fingerprint(fingerprint),
                crashes=previous_count,
            )

    def _remove_fingerprint(self, crash: EndpointCrash, fingerprint: int) -> None:
        crash.fingerprints.discard(fingerprint)
        crashes = self.crashes_by_fingerprint[fingerprint]
        crashes.remove(crash)
        if not crashes:
            del self.crashes_by_fingerprint[fingerprint]

    def _remove(self, crash: EndpointCrash) -> None:
        for fingerprint in list(crash.fingerprints):
            self._remove_fingerprint(crash, fingerprint)
        self.endpoint_crashes.remove(crash)


def _moments(crashes: list[EndpointCrash]) -> list[list[EndpointCrash]]:
    """Group crashes that are at most ``CORRELATION_WINDOW_SECONDS`` after a group's first."""
    moments: list[list[EndpointCrash]] = []
    for crash in sorted(crashes, key=lambda crash: crash.crashed_at):
        if moments and crash.crashed_at - moments[-1][0].crashed_at <= CORRELATION_WINDOW_SECONDS:
            moments[-1].append(crash)
        else:
            moments.append([crash])
    return moments
