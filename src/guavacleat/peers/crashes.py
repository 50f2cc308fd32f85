"""What gateways tell each other of requests that crash endpoints.

Each gateway tells its neighbours what it saw itself. Those that forward between data centres pass
on what they hear, and tell from time to time all that convicts a request, for gateways that start
or were cut off.
"""

from guavacleat.protocol.gen.peers import ttypes
from guavacleat.quarantine import CrashTracker

__all__ = ["CrashGossip"]

# Fingerprints in one report at most, some ten bytes each.
MAX_FINGERPRINTS_PER_REPORT = 128
CLEARANCES_TOLD = 64


class CrashGossip:
    """Turns a gateway's :class:`~guavacleat.quarantine.CrashTracker` into reports and back."""

    def __init__(self, clock, book: CrashTracker):
        self.clock = clock
        self.book = book

    def build_message(
        self, seconds: float, forwards: bool, everything: bool
    ) -> ttypes.Crashes | None:
        """What to tell; None if there is nothing.

        :param seconds: how far back what was learnt is news.
        :param forwards: whether to pass on what others saw.
        :param everything: whether to tell of each request that is refused, however long ago.
        """
        ends = self.book.recent_crashes(seconds, local_only=not forwards)
        if everything and forwards:
            ends = list(dict.fromkeys([*self.book.quarantining_crashes(), *ends]))
        trials = [trial for trial in self.book.trials() if trial.own or forwards]
        clearances = self.book.recent_clearances(seconds)[:CLEARANCES_TOLD]
        if not (ends or trials or clearances):
            return None
        return ttypes.Crashes(
            self._bounded(ends),
            [
                ttypes.Trial(trial.fingerprint, trial.endpoint, self._age(trial.at))
                for trial in trials
            ],
            [ttypes.Clearance(known.fingerprint, self._age(known.at)) for known in clearances],
        )

    def learn(self, message: ttypes.Crashes) -> None:
        """Take in what a peer told."""
        # In this order: what was cleared must not be charged again.
        for clearance in message.clearances or ():
            self.book.merge_completion(clearance.fingerprint, clearance.age)
        for end in message.ends or ():
            self.book.merge_crash(end.endpoint, end.age, end.fingerprints, bool(end.restored))
        for trial in message.trials or ():
            self.book.merge_trial(trial.fingerprint, trial.endpoint, trial.age)

    def _bounded(self, ends) -> list[ttypes.EndpointEnd]:
        told, left = [], MAX_FINGERPRINTS_PER_REPORT
        for end in ends:
            fingerprints = self.book.most_suspected(end)[:left]
            left -= len(fingerprints)
            if fingerprints:
                age = self._age(end.at)
                told.append(ttypes.EndpointEnd(end.endpoint, age, fingerprints, end.restored))
        return told

    def _age(self, at: float) -> float:
        return self.clock.seconds() - at
