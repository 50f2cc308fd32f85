"""Periodic tasks of a daemon, such as heartbeats, polls and cleanups."""

from eliot import log_message
from twisted.internet import defer, task
from twisted.internet.interfaces import IReactorTime

__all__ = ["Periodic"]


class Periodic:
    """Calls ``work()`` immediately and then every ``seconds``, without overlapping calls.

    An exception in ``work`` is counted and logged and does not stop the loop, as it would with a
    plain ``LoopingCall``.
    """

    def __init__(self, clock: IReactorTime, seconds: float, work):
        self.seconds = seconds
        self.work = work
        self.errors = 0
        self._loop = task.LoopingCall(self._run_once)
        self._loop.clock = clock

    def start(self) -> None:
        self._loop.start(self.seconds)

    def stop(self) -> None:
        """Make no further calls; a call in progress finishes. Idempotent."""
        if self._loop.running:
            self._loop.stop()

    def _run_once(self) -> defer.Deferred:
        return defer.maybeDeferred(self.work).addErrback(self._log_error)

    def _log_error(self, failure) -> None:
        self.errors += 1
        log_message(
            message_type="periodic:error",
            work=getattr(self.work, "__qualname__", repr(self.work)),
            error=repr(failure.value),
        )
