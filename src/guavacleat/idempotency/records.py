"""Claims on idempotency keys, kept as ``calls/<key>`` objects in the object API.

A call that may not be repeated is sent to its endpoint only after this gateway has created the
key's record by a conditional create (expected version 0). Exactly one create can succeed, so a
retry of the same call through any gateway finds the record and is not run again. The record is
written before the side effect, as the side-effect watermark of the paper (PAPER-crash-resilient,
"Fence before the non-idempotent side effect").

A create whose answer is lost may still have applied; the record names its holder, so reading it
back tells whether the claim is this request's own.
"""

from twisted.internet import defer

from guavacleat.errors import GuavacleatError, NotRunError
from guavacleat.store import ConflictError, StoreClient, StoreUnavailableError

__all__ = ["AlreadyAcceptedError", "CallRecords", "CALL_KIND"]

CALL_KIND = "calls"
STORE_DOWN_RETRY = 2.0


class AlreadyAcceptedError(GuavacleatError):
    """Another request already holds this idempotency key; the call is not run again."""

    def __init__(self, key: str):
        super().__init__(
            f"a call with idempotency key {key!r} was already accepted; it runs at most once.",
            "do not retry this call; use a new key only for a new call.",
        )


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
        record = {"holder": request_id}
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
            raise AlreadyAcceptedError(key)
