"""Gossip about requests, and parts of prompts, that crash endpoints.

Each gateway reports its own observations to the gateways of its data centre. Forwarders also relay
those of others, and periodically all crashes for which requests are quarantined, for gateways that
start or were partitioned.
"""

from guavacleat.protocol.gen.peers import ttypes
from guavacleat.quarantine import CrashTracker

__all__ = ["CrashGossip"]

# Bound the size of a report: a fingerprint takes about ten bytes.
MAX_FINGERPRINTS_PER_REPORT = 128
MAX_PARTS_PER_REPORT = 128
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
                for trial in trials
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
        requests_by_crash = self._select(
            {crash: crash.requests for crash in crashes}, MAX_FINGERPRINTS_PER_REPORT
        )
        parts_by_crash = self._select(
            {crash: crash.parts for crash in crashes}, MAX_PARTS_PER_REPORT
        )
        return [
            ttypes.EndpointEnd(
                crash.endpoint,
                self._age(crash.crashed_at),
                requests_by_crash[crash],
                crash.restored,
                parts_by_crash[crash] or None,
            )
            for crash in crashes
            if requests_by_crash[crash] or parts_by_crash[crash]
        ]

    def _select(self, fingerprints_by_crash: dict, limit: int) -> dict:
        """At most ``limit`` fingerprints by crash: those with several crashes, then the first."""
        repeated, single = [], []
        for crash, fingerprints in fingerprints_by_crash.items():
            for fingerprint in fingerprints:
                if self.tracker.known_crashes(fingerprint) > 1:
                    repeated.append((crash, fingerprint))
                elif len(single) < limit:
                    single.append((crash, fingerprint))
        repeated.sort(key=lambda pair: -self.tracker.known_crashes(pair[1]))
        selected = {crash: [] for crash in fingerprints_by_crash}
        for crash, fingerprint in [*repeated, *single][:limit]:
            selected[crash].append(fingerprint)
        return selected

    def _age(self, at: float) -> float:
        return self.clock.seconds() - at
