"""Steps of a graceful stop.

A stop waits for the requests in progress. An exception in one of its other steps, such as telling
peers, would end the wait and with it the process, which cuts off those requests.
"""

from eliot import log_message
from twisted.internet import defer

__all__ = ["run_stop_step"]


def run_stop_step(step, *args) -> defer.Deferred:
    """Call ``step(*args)``; the result fires when it is done or has failed, which is logged."""
    return defer.maybeDeferred(step, *args).addErrback(_log_failure, step)


def _log_failure(failure, step) -> None:
    log_message(
        message_type="process:stop-step-failed",
        step=getattr(step, "__qualname__", repr(step)),
        error=failure.getTraceback(),
    )
