"""Generations with a part in their prompts that crashes endpoints, beside sound ones."""

import collections
import itertools

from tests.quarantine.crashing_fleet import CrashingFleet

__all__ = [
    "ALONE",
    "BAD",
    "ENGINE",
    "SHARED_AROUND",
    "SHARED_FIRST",
    "SHARED_SECOND",
    "STABILITY_SECONDS",
    "PartsFleet",
]

BAD = "bad0"
# The parts of bad requests; sound ones share those that are not bad.
SHARED_FIRST = ("common0", BAD)
SHARED_SECOND = (BAD, "common0")
SHARED_AROUND = ("common0", BAD, "common1")
ALONE = (BAD,)
# From this time after the fifth crash on, few requests with the part may reach endpoints.
STABILITY_SECONDS = 3.0
CRASHES_ALLOWED = 5
BAD_INTERVAL_SECONDS = 0.25
SOUND_INTERVAL_SECONDS = 0.05
ENDPOINTS = 10
RESTART_SECONDS = 3.0
ENGINE = {"engine": {"slots": 6, "memory_tokens": 100000}}


class PartsFleet:
    """Callers that send sound generations and, no two alike, some with a bad part.

    :param parts: the shared parts of the bad requests; sound ones have them without the bad one.
    :param bad_parts: with several of them, bad requests have one of these last.
    :param options: of the :class:`CrashingFleet`.
    :ivar bad_ids: ids of the requests with the bad part.
    """

    def __init__(
        self,
        parts,
        path="/listing/",
        service=ENGINE,
        events_before_crash=0,
        bad_parts=(BAD,),
        **options,
    ):
        options = {
            "endpoints": ENDPOINTS,
            "restart_seconds": RESTART_SECONDS,
            "event_seconds": 0.1,
            "work_seconds": 0.1,
            "service": service,
            **options,
        }
        self.fleet = CrashingFleet(**options)
        self.network = self.fleet.network
        self.parts, self.path = parts, path
        self.bad_parts = bad_parts
        self.sound_parts = tuple(part for part in parts if part != BAD)
        self.numbers = itertools.count()
        self.bad_ids = set()
        self.outcomes = collections.Counter()
        self.bad_outcomes = collections.Counter()
        self.crashed_at = []
        for endpoint in self.fleet.endpoints:
            endpoint.standin.bad_parts = set(bad_parts)
            endpoint.standin.events_before_crash = events_before_crash
            self._record_crashes(endpoint)

    def _record_crashes(self, endpoint):
        def crash():
            before = endpoint.listener.crashes
            endpoint.crash()
            if endpoint.listener.crashes > before:
                self.crashed_at.append(self.network.seconds())

        endpoint.standin.on_crash = crash

    def send_sound(self, instance=None):
        number = next(self.numbers)
        # Some subjects come again and again.
        parts = (*self.sound_parts, f"subject{number % 7}", f"own{number}")
        self.fleet.send_generation(f"{self.path}{number}", parts, self.outcomes, instance)

    def send_bad(self, instance=None):
        number = next(self.numbers)
        if len(self.bad_parts) > 1:
            bad = self.bad_parts[number % len(self.bad_parts)]
            parts = (*self.sound_parts, bad, f"own{number}")
        else:
            parts = (*self.parts, f"own{number}")
        path = f"{self.path}{number}"
        self.bad_ids.add(self.fleet.send_generation(path, parts, self.bad_outcomes, instance))

    def pass_time(
        self, seconds, bad_interval=BAD_INTERVAL_SECONDS, sound_interval=SOUND_INTERVAL_SECONDS
    ):
        """Let callers send for a while; without ``bad_interval``, only sound requests."""
        until = self.network.seconds() + seconds
        self.fleet._schedule_repeatedly(sound_interval, until, self.send_sound)
        if bad_interval is not None:
            self.fleet._schedule_repeatedly(bad_interval, until, self.send_bad)
        self.network.pass_time(seconds)

    def served_share(self):
        """Share of the sound requests since the last call that were served; resets the count."""
        share = self.outcomes[200] / max(1, sum(self.outcomes.values()))
        self.outcomes.clear()
        return share

    def late_arrivals(self):
        """Requests with the bad part that reached endpoints too late after the fifth crash."""
        if len(self.crashed_at) < CRASHES_ALLOWED:
            return 0
        since = self.crashed_at[CRASHES_ALLOWED - 1] + STABILITY_SECONDS
        return sum(at > since and id in self.bad_ids for at, id in self.fleet.arrivals)
