"""Work a daemon repeats for as long as it runs: heartbeats, polls, sweeps."""

from eliot import log_message
from twisted.internet import defer, task
from twisted.internet.interfaces import IReactorTime

__all__ = ["Periodic"]


class Periodic:
    """Calls ``work()`` every ``seconds``, the first time at once, never twice at a time.

    An unforeseen error in one round is counted and logged, and the next round comes: left to end
    the loop, it would silently stop the heartbeat or poll for as long as the daemon lives.
    """

    def __init__(self, clock: IReactorTime, seconds: float, work):
        self.seconds = seconds
        self.work = work
        self.errors = 0
        self._loop = task.LoopingCall(self._round)
        self._loop.clock = clock

    def start(self) -> None:
        self._loop.start(self.seconds)

    def stop(self) -> None:
        """Stop after the round under way; may be called again."""
        if self._loop.running:
            self._loop.stop()

    def _round(self) -> defer.Deferred:
        return defer.maybeDeferred(self.work).addErrback(self._note)

    def _note(self, failure) -> None:
        self.errors += 1
        log_message(
            message_type="periodic:error",
            work=getattr(self.work, "__qualname__", repr(self.work)),
            error=repr(failure.value),
        )
