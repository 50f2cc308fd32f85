"""Claims on idempotency keys, kept as ``calls/<key>`` objects in the object API.

A call that may not be repeated is sent to its endpoint only after this gateway has created the
key's record by a conditional create (expected version 0). Exactly one create can succeed, so a
retry of the same call through any gateway finds the record and is not run again. The record is
written before the side effect, as the side-effect watermark of the paper (PAPER-crash-resilient,
"Fence before the non-idempotent side effect").

A create whose answer is lost may still have applied; the record names its holder, so reading it
back tells whether the claim is this request's own. When the call finishes, its answer is kept in
the record (``state: done``), so a client retrying after a lost response gets the answer replayed
instead of a second run; a retry while the call runs is told when to come back.
"""

from twisted.internet import defer

from guavacleat.errors import GuavacleatError, NotRunError
from guavacleat.store import ConflictError, StoreClient, StoreUnavailableError

__all__ = ["AlreadyAcceptedError", "CallRecords", "CALL_KIND"]

CALL_KIND = "calls"
STORE_DOWN_RETRY = 2.0
RUNNING_RETRY = 1.0
MAX_KEPT_ANSWER_BYTES = 900_000
CLAIMED = "claimed"
DONE = "done"


class AlreadyAcceptedError(GuavacleatError):
    """Another request already holds this idempotency key; the call is not run again.

    :param answer: ``(tokens, finish_reason)`` if the call finished and its answer was kept,
        else None (still running, or too large to keep).
    :param retry_after: seconds to wait before asking again while it runs.
    """

    def __init__(self, key: str, answer=None, retry_after: float = RUNNING_RETRY):
        if answer is None:
            remedy = f"retry after {retry_after} s with the same key to get its answer."
        else:
            remedy = "nothing to do: its answer is sent again."
        super().__init__(
            f"a call with idempotency key {key!r} was already accepted; it runs at most once.",
            remedy,
        )
        self.answer = answer
        self.retry_after = retry_after


class CallRecords:
    """Claims idempotency keys for requests."""

    def __init__(self, store: StoreClient):
        self.store = store

    @defer.inlineCallbacks
    def claim(self, key: str, request_id: str):
        """Fire once ``request_id`` holds ``key``.

        Raises AlreadyAcceptedError if another request holds it, NotRunError if the store could
        not be asked (the call was not sent, so it may be retried with the same key).
        """
        record = {"holder": request_id, "state": CLAIMED}
        try:
            yield self.store.put(CALL_KIND, key, record, 0)
            return
        except ConflictError:
            pass
        except StoreUnavailableError:
            # The create may have applied with its answer lost; read back below.
            pass
        try:
            current = yield self.store.get(CALL_KIND, key)
        except StoreUnavailableError as exc:
            raise NotRunError(
                "the object API is unreachable, so the call's key could not be recorded.",
                f"retry after {STORE_DOWN_RETRY} s with the same idempotency key.",
                retry_after=STORE_DOWN_RETRY,
            ) from exc
        if current is None:
            raise NotRunError(
                "the call's key could not be recorded.",
                f"retry after {STORE_DOWN_RETRY} s with the same idempotency key.",
                retry_after=STORE_DOWN_RETRY,
            )
        if current.value.get("holder") != request_id:
            raise AlreadyAcceptedError(key, answer=_kept_answer(current.value))

    @defer.inlineCallbacks
    def finish(self, key: str, request_id: str, tokens: list[str], finish_reason: str):
        """Keep the finished call's answer in its record, for replay to retries.

        A failure here is logged by the caller and costs only the replay: the call ran once and
        its caller received the answer.
        """
        current = yield self.store.get(CALL_KIND, key)
        if current is None or current.value.get("holder") != request_id:
            return
        record = {"holder": request_id, "state": DONE, "finish_reason": finish_reason}
        if sum(len(token) for token in tokens) <= MAX_KEPT_ANSWER_BYTES:
            record["tokens"] = tokens
        yield self.store.put(CALL_KIND, key, record, current.version)


def _kept_answer(value: dict):
    if value.get("state") != DONE or "tokens" not in value:
        return None
    return value["tokens"], value["finish_reason"]
