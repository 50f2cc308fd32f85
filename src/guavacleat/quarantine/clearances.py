"""The completions that cleared requests of crashes."""

import collections
import itertools

from twisted.internet.interfaces import IReactorTime

from guavacleat.quarantine.messages import Clearance

__all__ = ["ClearanceRegister"]

MAX_CLEARANCES = 1024


class ClearanceRegister:
    """The latest clearance of each request, by fingerprint, oldest first."""

    __slots__ = ("clock", "by_fingerprint")

    def __init__(self, clock: IReactorTime):
        self.clock = clock
        self.by_fingerprint: collections.OrderedDict[int, Clearance] = collections.OrderedDict()

    def record(self, fingerprint: int, at: float) -> None:
        self.by_fingerprint.pop(fingerprint, None)
        self.by_fingerprint[fingerprint] = Clearance(fingerprint, at, self.clock.seconds())
        if len(self.by_fingerprint) > MAX_CLEARANCES:
            self.by_fingerprint.popitem(last=False)

    def covers(self, fingerprint: int, crashed_at: float) -> bool:
        """Whether the request is cleared of a crash at this clock time."""
        cleared = self.by_fingerprint.get(fingerprint)
        return cleared is not None and crashed_at <= cleared.completed_at

    def recent(self, seconds: float) -> list[Clearance]:
        """Clearances recorded in the last ``seconds``, newest first."""
        oldest = self.clock.seconds() - seconds
        newest_first = reversed(self.by_fingerprint.values())
        return list(
            itertools.takewhile(lambda clearance: clearance.updated_at >= oldest, newest_first)
        )
