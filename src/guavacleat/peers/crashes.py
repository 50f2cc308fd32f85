"""Gossip about requests, and parts of prompts, that crash endpoints.

Each gateway reports its own observations to the gateways of its data centre. Forwarders also relay
those of others, and periodically all crashes for which requests are quarantined, for gateways that
start or were partitioned.
"""

import collections
import itertools

from guavacleat.protocol.gen.peers import ttypes
from guavacleat.quarantine import CrashTracker
from guavacleat.quarantine.crash_log import EVIDENCE_CRASHES

__all__ = ["CrashGossip"]

# Bound the size of a report: a fingerprint takes about ten bytes, a crash, a trial or a clearance
# with its endpoint and age some forty.
MAX_FINGERPRINTS_PER_REPORT = 128
MAX_PARTS_PER_REPORT = 96
MAX_CRASHES_PER_REPORT = 64
MAX_TRIALS_PER_REPORT = 32
MAX_CLEARANCES_PER_REPORT = 64


class CrashGossip:
    """Encodes the observations of a gateway's :class:`~guavacleat.quarantine.CrashTracker`.

    It also merges those of its peers into the tracker.
    """

    def __init__(self, clock, tracker: CrashTracker):
        self.clock = clock
        self.tracker = tracker

    def build_message(
        self, seconds: float, include_remote: bool, include_quarantined: bool
    ) -> ttypes.Crashes | None:
        """Encode the recent observations; None if there are none.

        :param seconds: maximum age of the observations to include.
        :param include_remote: whether to include observations of other gateways.
        :param include_quarantined: whether to include, regardless of their age, all crashes at
            which quarantined requests were in flight; effective only with ``include_remote``.
        """
        crashes = self.tracker.recent_crashes(seconds, local_only=not include_remote)
        if include_quarantined and include_remote:
            crashes = list(dict.fromkeys([*self.tracker.quarantining_crashes(), *crashes]))
        trials = [trial for trial in self.tracker.trials() if trial.own or include_remote]
        clearances = self.tracker.recent_clearances(seconds)[:MAX_CLEARANCES_PER_REPORT]
        if not (crashes or trials or clearances):
            return None
        return ttypes.Crashes(
            self._encode_crashes(crashes),
            [
                ttypes.Trial(trial.fingerprint, trial.endpoint, self._age(trial.started_at))
                for trial in trials[:MAX_TRIALS_PER_REPORT]
            ],
            [
                ttypes.Clearance(clearance.fingerprint, self._age(clearance.completed_at))
                for clearance in clearances
            ],
        )

    def apply_message(self, message: ttypes.Crashes) -> None:
        """Merge a peer's observations."""
        # Clearances first, so that crashes are not counted against a cleared request.
        for clearance in message.clearances or ():
            self.tracker.merge_completion(clearance.fingerprint, clearance.age)
        for crash in message.ends or ():
            self.tracker.merge_crash(
                crash.endpoint,
                crash.age,
                crash.fingerprints,
                bool(crash.restored),
                crash.parts or (),
            )
        for trial in message.trials or ():
            self.tracker.merge_trial(trial.fingerprint, trial.endpoint, trial.age)

    def _encode_crashes(self, crashes) -> list[ttypes.EndpointEnd]:
        selection = _Selection(self.tracker)
        newest_first = sorted(crashes, key=lambda crash: -crash.crashed_at)
        selection.add({crash: crash.parts for crash in newest_first}, MAX_PARTS_PER_REPORT)
        selection.add(
            {crash: crash.requests for crash in newest_first}, MAX_FINGERPRINTS_PER_REPORT
        )
        return [
            ttypes.EndpointEnd(
                crash.endpoint,
                self._age(crash.crashed_at),
                [fingerprint for fingerprint in selected if fingerprint in crash.requests],
                crash.restored,
                [fingerprint for fingerprint in selected if fingerprint in crash.parts] or None,
            )
            for crash, selected in selection.by_crash.items()
        ]

    def _age(self, at: float) -> float:
        return self.clock.seconds() - at


class _Selection:
    """The crashes, and the fingerprints of each, that fit into a report.

    What is attributed the most crashes comes first. What was in flight at a single crash, as most
    requests and parts were at the loss of a rack, fills the rest.
    """

    def __init__(self, tracker: CrashTracker):
        self.tracker = tracker
        self.by_crash: dict = {}

    def add(self, fingerprints_by_crash: dict, limit: int) -> None:
        """Add at most ``limit`` fingerprints; the first crashes are preferred."""
        crashes_by_repeated = collections.defaultdict(list)
        single = []
        for crash, fingerprints in fingerprints_by_crash.items():
            for fingerprint in fingerprints:
                if self.tracker.known_crashes(fingerprint) > 1:
                    crashes_by_repeated[fingerprint].append(crash)
                elif len(single) < limit:
                    single.append((crash, fingerprint))
        repeated = (
            (crash, fingerprint)
            for fingerprint in sorted(crashes_by_repeated, key=self._rank)
            for crash in crashes_by_repeated[fingerprint][:EVIDENCE_CRASHES]
        )
        fitting = (
            (crash, fingerprint)
            for crash, fingerprint in itertools.chain(repeated, single)
            if crash in self.by_crash or len(self.by_crash) < MAX_CRASHES_PER_REPORT
        )
        for crash, fingerprint in itertools.islice(fitting, limit):
            self.by_crash.setdefault(crash, []).append(fingerprint)

    def _rank(self, fingerprint: int) -> tuple[float, int]:
        """Sort key: the most crashes attributed, then the most crashes, first."""
        tracker = self.tracker
        return -tracker.crash_count(fingerprint), -tracker.known_crashes(fingerprint)
