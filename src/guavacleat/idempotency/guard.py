"""The record of one request's call over its life, for requests that carry an idempotency key."""

from twisted.internet import defer

from guavacleat.idempotency.records import CallRecords

__all__ = ["CallGuard"]


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

    def not_run(self) -> None:
        """The call was refused by every endpoint: let a retry have the key."""
        if self.claimed:
            self.records.release(self.completion.call, self.completion.request_id)

    def broken(self) -> None:
        """The call may have run and its answer is lost."""
        if self.claimed:
            self.records.mark_unknown(self.completion.call, self.completion.request_id)

    def finished(self, progress) -> None:
        """Keep the answer for retries; ``progress`` is the finished ``StreamProgress``."""
        if self.claimed:
            self.records.finish(
                self.completion.call,
                self.completion.request_id,
                progress.sent,
                progress.finish_reason,
            )
