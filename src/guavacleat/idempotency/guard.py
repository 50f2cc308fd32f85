"""The lifecycle of the call record of one request that carries an idempotency key."""

from twisted.internet import defer

from guavacleat.idempotency.records import CallRecords

__all__ = ["CallGuard", "RELEASE_WAIT_SECONDS"]

# How long a refusal waits until the store has recorded the release of its key.
RELEASE_WAIT_SECONDS = 2.0


class CallGuard:
    """Claims the key before the call and records its outcome; does nothing without a key.

    :param completion: a ``CompletionRequest``; its ``call`` names the record, or is None.
    """

    def __init__(self, records: CallRecords, completion):
        self.records = records
        self.completion = completion
        self.claimed = False

    @defer.inlineCallbacks
    def claim(self):
        """Fire once the call may be sent; raises as :meth:`CallRecords.claim`."""
        if self.completion.call_record_name is None:
            return
        yield self.records.claim(
            self.completion.call_record_name,
            self.completion.request_id,
            self.completion.fingerprint(),
        )
        self.claimed = True

    def release(self) -> defer.Deferred:
        """Release the key of a call that every endpoint refused; fire with whether that succeeded.

        The refusal is sent only after the release is recorded: if this gateway crashed in between,
        the key would stay claimed by a call that never ran. After ``RELEASE_WAIT_SECONDS`` without
        a response from the store this fires with False; the release continues in the background.
        """
        if not self.claimed:
            return defer.succeed(True)
        released = defer.Deferred()
        # The timeout must not cancel the release itself, only the wait.
        self.records.release(
            self.completion.call_record_name, self.completion.request_id
        ).chainDeferred(released)
        return released.addTimeout(
            RELEASE_WAIT_SECONDS, self.records.clock, onTimeoutCancel=lambda failure, timeout: False
        )

    def mark_unknown(self) -> None:
        """Record that the call may have run and that its response is lost."""
        if self.claimed:
            self.records.mark_unknown(self.completion.call_record_name, self.completion.request_id)

    def finish(self, progress) -> None:
        """Store the response for retries; ``progress`` is the finished ``StreamProgress``."""
        if self.claimed:
            self.records.finish(
                self.completion.call_record_name,
                self.completion.request_id,
                progress.sent,
                progress.finish_reason,
            )
