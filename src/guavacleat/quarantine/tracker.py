"""Identifies the requests that crash endpoints from what was in flight at each crash.

What crashes an endpoint is a whole request, sent again and again, or one part of a prompt, whatever
else the requests hold. A single crash does not show which of all in flight caused it.

A request that was in flight at several crashes is suspected: it runs isolated from others and only
once at a time. After the third crash it is refused for a time that grows with each failed trial,
and is then tried once. A part is suspected from the third crash on. If something else explains its
crashes as well, requests with the part alone are tried one at a time; those with both are refused.

Crashes at one moment are one event, whatever was in flight: a request that all endpoints ran when
they lost power is refused no longer than one that crashed three. Only a later crash by itself is a
failed trial.

Four rules protect harmless requests. A request that completes is cleared of all earlier crashes,
and so are the parts of its prompt once an endpoint has begun to answer it and goes on. A crash is
not counted against one if another explains it better. If several endpoints without a request in
common crash at the same time (power, a rack), each crash counts half.
"""

from eliot import log_message
from twisted.internet.interfaces import IReactorTime

from guavacleat.quarantine.crash_log import SAME_CRASH_SECONDS
from guavacleat.quarantine.fingerprint import format_fingerprint
from guavacleat.quarantine.messages import (
    QUARANTINE_CRASHES,
    SUSPECT_CRASHES,
    EndpointCrash,
)
from guavacleat.quarantine.trials import TRIAL_TIMEOUT_SECONDS
from guavacleat.quarantine.view import CrashView

__all__ = ["CrashTracker"]


class CrashTracker(CrashView):
    """Records the crashes of endpoints that this gateway and its peers observe.

    :ivar on_local_change: called when this gateway observed something to report to peers.
    :ivar on_remote_change: called when a peer reported something new.
    :ivar on_quarantined: called with a request or part that a crash observed here put into
        quarantine.
    :ivar on_cleared: called with a quarantined request that completed here or a part that was
        proven sound, and whether it is a part.
    :ivar on_crash: called after a confirmed crash, observed here or by a peer.
    :ivar changed_at: time of the last change, local or remote.
    """

    def __init__(self, clock: IReactorTime):
        super().__init__(clock)
        self.on_local_change = lambda: None
        self.on_remote_change = lambda: None
        self.on_quarantined = lambda fingerprint: None
        self.on_cleared = lambda fingerprint, is_part: None
        self.on_crash = lambda: None
        self.changed_at = float("-inf")

    def request_interrupted(
        self, endpoint: str, fingerprint: int, sent_at: float = float("-inf"), parts=()
    ) -> EndpointCrash:
        """Record that ``endpoint`` interrupted a request of this gateway and may have crashed.

        :param sent_at: clock time at which the request was sent; earlier crashes do not match.
        :param parts: fingerprints of the parts of its prompt, unless its answer had begun well.
        """
        now = self.clock.seconds()
        crash = self._log.find(endpoint, now, sent_at=sent_at)
        if crash is None:
            crash = self._log.add(EndpointCrash(endpoint, now, confirmed=False))
        crash.observed_locally = True
        self._add_fingerprint(crash, fingerprint)
        for part in parts:
            self._add_fingerprint(crash, part, is_part=True)
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
            requests=len(crash.requests),
            parts=len(crash.parts),
            suspects=[format_fingerprint(suspect) for suspect in self._log.suspects(crash)],
        )
        self._record_local_crash(crash)

    def discard(self, crash: EndpointCrash) -> None:
        """Discard an unconfirmed crash: the endpoint is alive."""
        if not crash.confirmed and crash in self._log.crashes:
            self._log.remove(crash)

    def merge_crash(
        self, endpoint: str, age: float, fingerprints, restored: bool = False, parts=()
    ) -> None:
        """Merge a peer's report of a crash ``age`` seconds ago.

        :param fingerprints: of the requests in flight.
        :param parts: fingerprints of the parts of prompts in flight.
        """
        at = self.clock.seconds() - age
        crash = self._log.find(endpoint, at, restored)
        if crash is None:
            crash = self._log.add(EndpointCrash(endpoint, at, confirmed=False, restored=restored))
        was_confirmed = crash.confirmed
        changed = not was_confirmed
        crash.confirmed = True
        for fingerprint in set(fingerprints) - crash.requests:
            changed |= self._add_fingerprint(crash, fingerprint)
        for part in set(parts) - crash.parts:
            changed |= self._add_fingerprint(crash, part, is_part=True)
        if changed:
            if not was_confirmed and not restored:
                log_message(
                    message_type="endpoint:crash-reported",
                    endpoint=endpoint,
                    age=round(age, 3),
                    requests=len(crash.requests),
                    parts=len(crash.parts),
                )
            crash.updated_at = self.clock.seconds()
            self._end_trials(crash)
            self._notify(self.on_remote_change)
            self.on_crash()

    def restore(self, fingerprint: int, count: int, is_part: bool = False) -> None:
        """Merge the number of crashes from the record in the store; their times are unknown."""
        missing = count - len(self._log.by_fingerprint.get(fingerprint, ()))
        for number in range(missing):
            name = f"record:{format_fingerprint(fingerprint)}:{number}"
            requests, parts = ([], [fingerprint]) if is_part else ([fingerprint], [])
            self.merge_crash(name, 0.0, requests, restored=True, parts=parts)

    def request_completed(self, fingerprint: int) -> None:
        """Record that a request of this gateway completed."""
        if fingerprint not in self._log.by_fingerprint:
            return
        quarantined = len(self._log.by_fingerprint[fingerprint]) >= QUARANTINE_CRASHES
        self._clear(fingerprint, self.clock.seconds())
        self._notify(self.on_local_change)
        if quarantined:
            self.on_cleared(fingerprint, False)

    def part_proven(self, part: int, began_at: float) -> None:
        """Record that an endpoint answers a request with the part, and has not crashed on it.

        :param began_at: clock time at which it began to write the answer.
        """
        self._proofs.record(part, began_at)
        crashes = self._log.by_fingerprint.get(part, ())
        if crashes:
            # The part is less suspect now, even if all crashes are later.
            self._log.revision += 1
        if not any(crash.crashed_at <= began_at for crash in crashes):
            return
        quarantined = len(crashes) >= QUARANTINE_CRASHES
        self._clear(part, began_at)
        self._notify(self.on_local_change)
        if quarantined and part not in self._log.by_fingerprint:
            self.on_cleared(part, True)

    def merge_completion(self, fingerprint: int, age: float) -> None:
        """Merge a peer's report of a :class:`~.messages.Clearance` ``age`` seconds ago."""
        at = self.clock.seconds() - age
        previous = self._clearances.by_fingerprint.get(fingerprint)
        if previous is None or at > previous.completed_at + SAME_CRASH_SECONDS:
            if self.is_part(fingerprint):
                self._proofs.record(fingerprint, at)
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

    def _notify(self, callback) -> None:
        self.changed_at = self.clock.seconds()
        callback()

    def _add_fingerprint(
        self, crash: EndpointCrash, fingerprint: int, is_part: bool = False
    ) -> bool:
        """Add what was in flight at a crash unless it is cleared; return whether it was added."""
        if self._clearances.covers(fingerprint, crash.crashed_at):
            return False
        if is_part and self._proofs.covers(fingerprint, crash.crashed_at):
            # Peers that know of the crash may not know of an answer that only this gateway saw.
            self._clearances.record(fingerprint, self._proofs.began_at_by_part[fingerprint])
            return False
        return self._log.add_fingerprint(crash, fingerprint, is_part)

    def _record_local_crash(self, crash: EndpointCrash) -> None:
        """Update trials and quarantine after this gateway observed a confirmed crash."""
        crash.updated_at = self.clock.seconds()
        self._end_trials(crash)
        for fingerprint in filter(crash.involves, self._log.recurrent):
            count = self._attribution.count(fingerprint)
            if count >= QUARANTINE_CRASHES:
                log_message(
                    message_type="quarantine:began",
                    fingerprint=format_fingerprint(fingerprint),
                    part=self.is_part(fingerprint),
                    crashes=count,
                    seconds=round(self._refused_until(fingerprint, count) - crash.crashed_at, 1),
                )
                self.on_quarantined(fingerprint)
        self._notify(self.on_local_change)
        self.on_crash()

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
