"""The record of one request's call over its life, for requests that carry an idempotency key."""

from twisted.internet import defer

from guavacleat.idempotency.records import CallRecords

__all__ = ["CallGuard", "RELEASE_WAIT_SECONDS"]

# How long a refusal waits for its key to be free in the store.
RELEASE_WAIT_SECONDS = 2.0


class CallGuard:
    """Claims the key before the call and records how the call ended; without a key, nothing.

    :param completion: a ``CompletionRequest``; its ``call`` names the record, or is None.
    """

    def __init__(self, records: CallRecords, completion):
        self.records = records
        self.completion = completion
        self.claimed = False

    @defer.inlineCallbacks
    def claim(self):
        """Fire once the call may be sent; raises as :meth:`CallRecords.claim`."""
        if self.completion.call is None:
            return
        yield self.records.claim(
            self.completion.call, self.completion.request_id, self.completion.fingerprint()
        )
        self.claimed = True

    def release(self) -> defer.Deferred:
        """The call was refused by every endpoint: fire with whether a retry may have the key.

        A caller told to come back before the release is recorded would, if this gateway then dies,
        find its key held for good by a call that never ran. A store that does not answer is not
        waited for beyond ``RELEASE_WAIT_SECONDS``; the release goes on after that.
        """
        if not self.claimed:
            return defer.succeed(True)
        released = defer.Deferred()
        # The time-out ends the wait alone: cancelled itself, the release would be given up.
        self.records.release(self.completion.call, self.completion.request_id).chainDeferred(
            released
        )
        return released.addTimeout(
            RELEASE_WAIT_SECONDS, self.records.clock, onTimeoutCancel=lambda failure, timeout: False
        )

    def mark_unknown(self) -> None:
        """The call may have run and its answer is lost."""
        if self.claimed:
            self.records.mark_unknown(self.completion.call, self.completion.request_id)

    def finish(self, progress) -> None:
        """Keep the answer for retries; ``progress`` is the finished ``StreamProgress``."""
        if self.claimed:
            self.records.finish(
                self.completion.call,
                self.completion.request_id,
                progress.sent,
                progress.finish_reason,
            )
