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

# Bound the size of a report.
MAX_FINGERPRINTS_PER_REPORT = 128
MAX_PARTS_PER_REPORT = 96
MAX_CRASH_BYTES_PER_REPORT = 5000
MAX_TRIALS_PER_REPORT = 32
MAX_CLEARANCES_PER_REPORT = 64
# Encoded size of a crash, with its endpoint and age, and of each fingerprint at it.
CRASH_BYTES = 32
FINGERPRINT_BYTES = 10


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
        newest_first = sorted(crashes, key=lambda crash: -crash.crashed_at)
        parts = _Ranking(self.tracker, {crash: crash.parts for crash in newest_first})
        requests = _Ranking(self.tracker, {crash: crash.requests for crash in newest_first})
        selection = _Selection()
        part_limit = selection.add(parts.repeated(), MAX_PARTS_PER_REPORT)
        request_limit = selection.add(requests.repeated(), MAX_FINGERPRINTS_PER_REPORT)
        selection.add(parts.single, part_limit)
        selection.add(requests.single, request_limit)
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


class _Ranking:
    """The parts, or the requests, that were in flight at crashes, the most suspected first.

    :param fingerprints_by_crash: the first crashes are preferred.
    :ivar single: (crash, fingerprint) of those in flight at a single crash, as most requests and
        parts are at the loss of a rack.
    """

    def __init__(self, tracker: CrashTracker, fingerprints_by_crash: dict):
        self.tracker = tracker
        self.single: list[tuple] = []
        self._crashes_by_repeated = collections.defaultdict(list)
        for crash, fingerprints in fingerprints_by_crash.items():
            for fingerprint in fingerprints:
                if tracker.known_crashes(fingerprint) > 1:
                    self._crashes_by_repeated[fingerprint].append(crash)
                else:
                    self.single.append((crash, fingerprint))

    def repeated(self):
        """Iterate over (crash, fingerprint) of those in flight at several crashes."""
        for fingerprint in sorted(self._crashes_by_repeated, key=self._suspicion, reverse=True):
            for crash in self._crashes_by_repeated[fingerprint][:EVIDENCE_CRASHES]:
                yield crash, fingerprint

    def _suspicion(self, fingerprint: int) -> tuple[float, int]:
        """Sort key: the crashes attributed, then all crashes."""
        return self.tracker.crash_count(fingerprint), self.tracker.known_crashes(fingerprint)


class _Selection:
    """The crashes, and the fingerprints of each, that fit into a report."""

    def __init__(self):
        self.by_crash: dict = {}
        self._remaining_bytes = MAX_CRASH_BYTES_PER_REPORT

    def add(self, pairs, limit: int) -> int:
        """Add what fits of ``limit`` pairs (crash, fingerprint); return how many were not added."""
        for crash, fingerprint in itertools.islice(pairs, limit):
            size = FINGERPRINT_BYTES + (0 if crash in self.by_crash else CRASH_BYTES)
            if size <= self._remaining_bytes:
                self._remaining_bytes -= size
                self.by_crash.setdefault(crash, []).append(fingerprint)
                limit -= 1
        return limit
