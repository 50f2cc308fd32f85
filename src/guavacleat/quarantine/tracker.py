"""Which requests crash the endpoints that run them, judged by the ends of endpoints.

One end says little: everything that ran there was in flight. What was in flight at several ends of
different endpoints is suspected, runs apart from others and one at a time, and is refused after the
third. A refusal holds for a time that grows with each further end; then the request is tried once.

Sound requests are kept out of it in three ways. One that runs to its end is cleared of the ends
before. An end that a more frequent request explains is not counted against others. Where several
endpoints end together that had no request in common (power, a rack), an end counts half.
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

# From so many ends on a request runs apart from others, one at a time.
SUSPECTING_CRASHES = 2
# How long a request is refused after its third end, and after each further one: few trials in all.
QUARANTINE_SECONDS = (2.0, 60.0, 600.0, 21600.0)
# A trial that has ended the endpoint by then will not, or nobody will tell.
TRIAL_SECONDS = 5.0
RETRY_AFTER_TRIAL = 1.0
# What several gateways and connections tell of one end arrives within so long.
SAME_END_SECONDS = 0.8
# Ends of other endpoints so near in time, and so many, have a cause in common.
COMMON_SECONDS = 1.0
COMMON_ENDS = 2
COMMON_WEIGHT = 0.5
# A request that was in flight at one end is suspected for so long.
MEMORY_SECONDS = 600.0
# Bounds of memory: so many ends with so many requests each are a few megabytes.
MAX_CRASHES = 256
MAX_FINGERPRINTS_PER_CRASH = 32
MAX_CLEARANCES = 1024


class CrashTracker:
    """Ends of endpoints and what was in flight there, as far as this gateway knows.

    Requests are named by their fingerprints. Times are the clock's; seconds.

    :ivar on_local_change: called when this gateway saw something to tell peers.
    :ivar on_remote_change: called when it learnt something new from a peer.
    :ivar on_quarantined: called with a request that an end seen here makes one that is refused.
    :ivar on_cleared: called with such a request when it ran to its end here.
    :ivar changed_at: time at which there was last something to tell.
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
        """How a request with this fingerprint is treated now."""
        if fingerprint not in self.crashes_by_fingerprint:
            return QuarantineStatus(QuarantineState.FREE)
        crashes = self._crash_count(fingerprint)
        if crashes < SUSPECTING_CRASHES:
            return QuarantineStatus(QuarantineState.FREE, crashes)
        now = self.clock.seconds()
        if self._trial(fingerprint) is not None:
            wait = max(RETRY_AFTER_TRIAL, self._refused_until(fingerprint, crashes) - now)
            return QuarantineStatus(QuarantineState.REFUSED, crashes, wait)
        wait = self._refused_until(fingerprint, crashes) - now
        if wait > 0:
            return QuarantineStatus(QuarantineState.REFUSED, crashes, wait)
        return QuarantineStatus(QuarantineState.ISOLATED, crashes)

    def quarantined_fingerprints(self) -> list[int]:
        """Fingerprints of the requests that are refused, or are after another end."""
        return [
            fingerprint
            for fingerprint, ends in self.crashes_by_fingerprint.items()
            if len(ends) >= QUARANTINE_CRASHES
            and self._crash_count(fingerprint) >= QUARANTINE_CRASHES
        ]

    def crash_count(self, fingerprint: int) -> float:
        """Ends that are put down to the request."""
        return self._crash_count(fingerprint) if fingerprint in self.crashes_by_fingerprint else 0.0

    def request_interrupted(
        self, endpoint: str, fingerprint: int, began: float = float("-inf")
    ) -> EndpointCrash:
        """A request of this gateway was broken off at ``endpoint``, which may have ended.

        :param began: clock time at which it was sent there; an earlier end is another one.
        """
        now = self.clock.seconds()
        end = self._find(endpoint, now, began=began)
        if end is None:
            end = self._add(EndpointCrash(endpoint, now, confirmed=False))
        end.observed_locally = True
        self._charge(end, fingerprint)
        if end.confirmed:
            self._seen(end)
        return end

    def confirm(self, end: EndpointCrash) -> None:
        """The endpoint has ended."""
        if end.confirmed or end not in self.endpoint_crashes:
            return
        end.confirmed = True
        log_message(
            message_type="endpoint:crashed",
            endpoint=end.endpoint,
            requests=len(end.fingerprints),
            suspects=self._suspects(end),
        )
        self._seen(end)

    def discard(self, end: EndpointCrash) -> None:
        """The endpoint lives: what broke off there says nothing of the requests."""
        if not end.confirmed and end in self.endpoint_crashes:
            self._drop(end)

    def merge_crash(self, endpoint: str, age: float, fingerprints, restored: bool = False) -> None:
        """Take in what a peer knows of an end ``age`` seconds ago."""
        at = self.clock.seconds() - age
        end = self._find(endpoint, at, restored)
        if end is None:
            end = self._add(EndpointCrash(endpoint, at, restored=restored))
        news = not end.confirmed
        end.confirmed = True
        for fingerprint in set(fingerprints) - end.fingerprints:
            news |= self._charge(end, fingerprint)
        if news:
            end.learned_at = self.clock.seconds()
            self._end_trials(end)
            self._changed(self.on_remote_change)

    def restore(self, fingerprint: int, crashes: int) -> None:
        """Take in that a record in the store counts ``crashes`` ends, of times that are unknown."""
        missing = crashes - len(self.crashes_by_fingerprint.get(fingerprint, ()))
        for number in range(missing):
            name = f"record:{format_fingerprint(fingerprint)}:{number}"
            self.merge_crash(name, 0.0, [fingerprint], restored=True)

    def request_completed(self, fingerprint: int) -> None:
        """A request ran to its end here."""
        if fingerprint not in self.crashes_by_fingerprint:
            return
        quarantined = len(self.crashes_by_fingerprint[fingerprint]) >= QUARANTINE_CRASHES
        self._clear(fingerprint, self.clock.seconds())
        self._changed(self.on_local_change)
        if quarantined:
            self.on_cleared(fingerprint)

    def merge_completion(self, fingerprint: int, age: float) -> None:
        """A request ran to its end at a peer, ``age`` seconds ago."""
        at = self.clock.seconds() - age
        known = self.clearances_by_fingerprint.get(fingerprint)
        if known is None or at > known.at + SAME_END_SECONDS:
            self._clear(fingerprint, at)
            self._changed(self.on_remote_change)

    def begin_trial(self, fingerprint: int, endpoint: str) -> None:
        """A request that must run apart is sent to ``endpoint``."""
        trial = Trial(fingerprint, endpoint, self.clock.seconds(), own=True)
        self.trials_by_fingerprint[fingerprint] = trial
        log_message(
            message_type="quarantine:trial",
            fingerprint=format_fingerprint(fingerprint),
            endpoint=endpoint,
            crashes=self._crash_count(fingerprint),
        )
        self._changed(self.on_local_change)

    def end_trial(self, fingerprint: int) -> None:
        """What this gateway tried is over, one way or another."""
        trial = self.trials_by_fingerprint.get(fingerprint)
        if trial is not None and trial.own:
            del self.trials_by_fingerprint[fingerprint]

    def merge_trial(self, fingerprint: int, endpoint: str, age: float) -> None:
        """A peer began a trial ``age`` seconds ago."""
        at = self.clock.seconds() - age
        known = self._trial(fingerprint)
        if known is not None or age >= TRIAL_SECONDS or self._ended_since(fingerprint, at):
            return
        self.trials_by_fingerprint[fingerprint] = Trial(fingerprint, endpoint, at, own=False)
        self._changed(self.on_remote_change)

    def trials(self) -> list[Trial]:
        """Trials under way, here and at peers."""
        found = (self._trial(fingerprint) for fingerprint in list(self.trials_by_fingerprint))
        return [trial for trial in found if trial is not None]

    def recent_crashes(self, seconds: float, local_only: bool) -> list[EndpointCrash]:
        """Confirmed ends of which something was learnt in the last ``seconds``, newest first."""
        oldest = self.clock.seconds() - seconds
        return [
            end
            for end in reversed(self.endpoint_crashes)
            if end.confirmed
            and end.learned_at >= oldest
            and (end.observed_locally or not local_only)
        ]

    def quarantining_crashes(self) -> list[EndpointCrash]:
        """Confirmed ends that are put down to a request which is refused."""
        ends = itertools.chain.from_iterable(
            self.crashes_by_fingerprint[fingerprint]
            for fingerprint in self.quarantined_fingerprints()
        )
        return [end for end in dict.fromkeys(ends) if end.confirmed]

    def most_suspected(self, end: EndpointCrash) -> list[int]:
        """The requests of an end, those first that were in flight at most others."""
        return sorted(
            end.fingerprints,
            key=lambda fingerprint: -len(self.crashes_by_fingerprint[fingerprint]),
        )

    def recent_clearances(self, seconds: float) -> list[Clearance]:
        oldest = self.clock.seconds() - seconds
        newest_first = reversed(self.clearances_by_fingerprint.values())
        return list(itertools.takewhile(lambda known: known.learned_at >= oldest, newest_first))

    def _changed(self, tell) -> None:
        self.changed_at = self.clock.seconds()
        tell()

    def _crash_count(self, fingerprint: int) -> float:
        """The weights of the ends that no other request explains better."""
        blame = self._blame(fingerprint)
        return sum(
            self._weight(end, fingerprint)
            for end in self.crashes_by_fingerprint[fingerprint]
            if not self._is_explained(end, fingerprint, blame)
        )

    def _blame(self, fingerprint: int) -> float:
        """The weights of all ends at which the request was in flight."""
        ends = self.crashes_by_fingerprint[fingerprint]
        return sum(self._weight(end, fingerprint) for end in ends)

    def _is_explained(self, end: EndpointCrash, fingerprint: int, blame: float) -> bool:
        """Whether the end is the doing of a request that is to blame for more of them."""
        likely = (
            other
            for other in end.fingerprints
            if other != fingerprint
            and len(self.crashes_by_fingerprint[other]) >= QUARANTINE_CRASHES
        )
        return any(self._blame(other) >= max(QUARANTINE_CRASHES, blame + 1) for other in likely)

    def _weight(self, end: EndpointCrash, fingerprint: int) -> float:
        """What an end counts against one of the requests in flight there."""
        if end.restored:
            return 1.0
        beside = (
            other
            for other in self.endpoint_crashes
            if not other.restored
            and abs(other.at - end.at) <= COMMON_SECONDS
            and fingerprint not in other.fingerprints
        )
        return COMMON_WEIGHT if sum(1 for _ in beside) >= COMMON_ENDS else 1.0

    def _refused_until(self, fingerprint: int, crashes: float) -> float:
        """Clock time until which the request is refused; the past if it is not."""
        beyond = int(crashes) - QUARANTINE_CRASHES
        if beyond < 0:
            return float("-inf")
        last = max(end.at for end in self.crashes_by_fingerprint[fingerprint])
        return last + QUARANTINE_SECONDS[min(beyond, len(QUARANTINE_SECONDS) - 1)]

    def _trial(self, fingerprint: int) -> Trial | None:
        trial = self.trials_by_fingerprint.get(fingerprint)
        if trial is not None and self.clock.seconds() - trial.at >= TRIAL_SECONDS:
            del self.trials_by_fingerprint[fingerprint]
            return None
        return trial

    def _find(
        self, endpoint: str, at: float, restored: bool = False, began: float = float("-inf")
    ) -> EndpointCrash | None:
        """The end that is known already; one that a record counts has no time of its own."""
        return next(
            (
                end
                for end in reversed(self.endpoint_crashes)
                if end.endpoint == endpoint
                and (restored or abs(end.at - at) <= SAME_END_SECONDS)
                and end.at >= began
            ),
            None,
        )

    def _add(self, end: EndpointCrash) -> EndpointCrash:
        self._make_room()
        end.learned_at = self.clock.seconds()
        self.endpoint_crashes.append(end)
        return end

    def _make_room(self) -> None:
        """Forget old ends, and the oldest if there are too many; suspects' ends go last."""
        oldest = self.clock.seconds() - MEMORY_SECONDS
        for end in [
            end for end in self.endpoint_crashes if end.at < oldest and not self._suspects(end)
        ]:
            self._drop(end)
        if len(self.endpoint_crashes) >= MAX_CRASHES:
            self._drop(
                min(self.endpoint_crashes, key=lambda end: (bool(self._suspects(end)), end.at))
            )

    def _suspects(self, end: EndpointCrash) -> list[str]:
        """The requests of an end that were in flight at others too."""
        return [
            format_fingerprint(fingerprint)
            for fingerprint in end.fingerprints
            if len(self.crashes_by_fingerprint[fingerprint]) >= SUSPECTING_CRASHES
        ]

    def _charge(self, end: EndpointCrash, fingerprint: int) -> bool:
        """Note that a request was in flight at an end; return whether that is new."""
        cleared = self.clearances_by_fingerprint.get(fingerprint)
        if fingerprint in end.fingerprints or (cleared is not None and end.at <= cleared.at):
            return False
        if len(end.fingerprints) >= MAX_FINGERPRINTS_PER_CRASH:
            return False
        end.fingerprints.add(fingerprint)
        self.crashes_by_fingerprint.setdefault(fingerprint, []).append(end)
        return True

    def _seen(self, end: EndpointCrash) -> None:
        """This gateway learnt something of a confirmed end by itself."""
        end.learned_at = self.clock.seconds()
        self._end_trials(end)
        for fingerprint in end.fingerprints:
            crashes = self._crash_count(fingerprint)
            if crashes >= QUARANTINE_CRASHES:
                log_message(
                    message_type="quarantine:began",
                    fingerprint=format_fingerprint(fingerprint),
                    crashes=crashes,
                    seconds=round(self._refused_until(fingerprint, crashes) - end.at, 1),
                )
                self.on_quarantined(fingerprint)
        self._changed(self.on_local_change)

    def _end_trials(self, end: EndpointCrash) -> None:
        for fingerprint in end.fingerprints & self.trials_by_fingerprint.keys():
            if self.trials_by_fingerprint[fingerprint].at <= end.at:
                del self.trials_by_fingerprint[fingerprint]

    def _ended_since(self, fingerprint: int, at: float) -> bool:
        ends = self.crashes_by_fingerprint.get(fingerprint, ())
        return any(end.at >= at for end in ends)

    def _clear(self, fingerprint: int, at: float) -> None:
        was = len(self.crashes_by_fingerprint.get(fingerprint, ()))
        for end in list(self.crashes_by_fingerprint.get(fingerprint, ())):
            if end.at <= at:
                self._acquit(end, fingerprint)
        self.trials_by_fingerprint.pop(fingerprint, None)
        self.clearances_by_fingerprint.pop(fingerprint, None)
        self.clearances_by_fingerprint[fingerprint] = Clearance(
            fingerprint, at, self.clock.seconds()
        )
        if len(self.clearances_by_fingerprint) > MAX_CLEARANCES:
            self.clearances_by_fingerprint.popitem(last=False)
        if was >= SUSPECTING_CRASHES:
            log_message(
                message_type="quarantine:cleared",
                fingerprint=format_fingerprint(fingerprint),
                crashes=was,
            )

    def _acquit(self, end: EndpointCrash, fingerprint: int) -> None:
        end.fingerprints.discard(fingerprint)
        ends = self.crashes_by_fingerprint[fingerprint]
        ends.remove(end)
        if not ends:
            del self.crashes_by_fingerprint[fingerprint]

    def _drop(self, end: EndpointCrash) -> None:
        for fingerprint in list(end.fingerprints):
            self._acquit(end, fingerprint)
        self.endpoint_crashes.remove(end)
