"""Detects that the event loop was held up: by long computations, or by too much to do at once."""

from eliot import log_message
from twisted.internet.interfaces import IReactorTime

__all__ = ["LoopLag"]

CHECK_INTERVAL_SECONDS = 0.25
# Shorter than what delays a request noticeably, longer than a garbage collection.
REPORTED_LAG_SECONDS = 0.25


class LoopLag:
    """Measures how late a timer of the event loop runs.

    :ivar longest: the longest delay so far, in seconds.
    """

    def __init__(self, clock: IReactorTime):
        self.clock = clock
        self.longest = 0.0
        self._check = None

    def start(self) -> None:
        self._schedule()

    def stop(self) -> None:
        if self._check is not None and self._check.active():
            self._check.cancel()

    def _schedule(self) -> None:
        due = self.clock.seconds() + CHECK_INTERVAL_SECONDS
        self._check = self.clock.callLater(CHECK_INTERVAL_SECONDS, self._measure, due)

    def _measure(self, due: float) -> None:
        late = self.clock.seconds() - due
        self.longest = max(self.longest, late)
        if late >= REPORTED_LAG_SECONDS:
            log_message(message_type="process:held-up", seconds=round(late, 3))
        self._schedule()
