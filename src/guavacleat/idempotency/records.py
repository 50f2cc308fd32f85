"""Claims on idempotency keys, stored as ``calls/<key>`` objects in the object API.

A call that must not be repeated is sent to its endpoint only after this gateway has created the
key's record with a conditional create (expected version 0). Only one create can succeed, so a
retry through any gateway finds the record and is not run again. A call counts as started once its
claim is recorded. The claim of a call that was refused without being run is released, and a retry
may take it over.

If the response to a create is lost, the write may still have been applied; the record names its
holder, so reading it back shows whether the claim belongs to this request. The response of a
finished call is stored in the record (``state: done``) and replayed to retries; a retry of a call
that is still running is told when to retry.

A store restored from a backup has lost its latest claims. Each gateway remembers its recent
claims and writes them again. Until every gateway has had time to do so, a missing record proves
nothing, and the call is refused without being run. Claims are lost only if their gateway fails
together with the store.
"""

import collections
import hashlib

from eliot import log_message
from twisted.internet import defer, task
from twisted.internet.interfaces import IReactorTime

from guavacleat.errors import GuavacleatError, NotRunError
from guavacleat.store import ConflictError, StoreClient, StoreUnavailableError

__all__ = [
    "AlreadyAcceptedError",
    "CallRecords",
    "CALL_KIND",
    "KeyReusedError",
    "OUTCOME_UNKNOWN_SECONDS",
    "UPDATE_RETRY_SECONDS",
    "call_name",
]

CALL_KIND = "calls"
STORE_UNAVAILABLE_RETRY_SECONDS = 2.0
RUNNING_RETRY_SECONDS = 1.0
MAX_STORED_RESPONSE_CHARACTERS = 900_000
# States of a record.
CLAIMED = "claimed"
DONE = "done"
RELEASED = "released"
UNKNOWN = "unknown"
UPDATE_RETRY_SECONDS = 1.0
MAX_UPDATE_ATTEMPTS = 120
# No call runs this long: the gateway of a call that is still claimed after this time is considered
# lost, and its retries are told that the outcome is unknown.
OUTCOME_UNKNOWN_SECONDS = 60.0
MAX_FIRST_SEEN_KEYS = 10_000
# Longer than the age of any backup from which the store is restored, which is some seconds.
RECENT_WRITE_SECONDS = 60.0
MAX_RECENT_WRITES = 4096
# Time in which every gateway notices a restore and writes its recent claims again.
RESTORE_SETTLE_SECONDS = 5.0


def call_name(account: str, service: str, key: str) -> str:
    """The name of the record for an idempotency key.

    Two client accounts may choose the same key, so the name depends on account and service too. It
    is a hash, which is a valid object name for any key.
    """
    parts = "\0".join((account, service, key)).encode()
    return hashlib.blake2b(parts, digest_size=16).hexdigest()


class KeyReusedError(GuavacleatError):
    """The idempotency key was already used with a different request body."""

    def __init__(self):
        super().__init__(
            "this idempotency key was already used for a different request.",
            "use a new key for each call, and send the same body with every retry.",
        )


class AlreadyAcceptedError(GuavacleatError):
    """Another request already holds this idempotency key; the call is not run again.

    :param answer: ``(tokens, finish_reason)`` if the call finished and its response was stored,
        None if it is still running or its response is too large to store.
    :param retry_after: seconds until the next retry while the call runs; None if its outcome
        cannot be determined.
    """

    def __init__(self, key: str, answer=None, retry_after: float | None = RUNNING_RETRY_SECONDS):
        if answer is not None:
            remedy = "nothing to do: the stored response is sent again."
        elif retry_after is None:
            remedy = "check whether the call took effect; it may have run and is not repeated."
        else:
            remedy = f"retry after {retry_after} s with the same key to get the response."
        super().__init__(
            f"a call with idempotency key {key!r} was already accepted; it runs at most once.",
            remedy,
        )
        self.answer = answer
        self.retry_after = retry_after


class CallRecords:
    """Claims idempotency keys for requests; a ``key`` is a record's name, see :func:`call_name`.

    :param clock: schedules the background retries of updates.
    """

    def __init__(self, store: StoreClient, clock: IReactorTime):
        self.store = store
        self.clock = clock
        # The holder of each key and the clock time at which a retry first found it there.
        self.first_seen_by_key: dict[str, tuple[str, float]] = {}
        # Recent writes by this gateway, oldest first: (record, clock time).
        self.recent_writes_by_key: collections.OrderedDict[str, tuple[dict, float]] = (
            collections.OrderedDict()
        )
        self._era: int | None = None
        self._settled_at = float("-inf")
        store.era_listeners.append(self._store_restored)

    @defer.inlineCallbacks
    def claim(self, key: str, request_id: str, fingerprint: str = ""):
        """Fire once ``request_id`` holds ``key``; ``fingerprint`` identifies the request's body.

        Raises AlreadyAcceptedError if another request holds it, KeyReusedError if it was used with
        another body, NotRunError if the store is unreachable (the call was not sent and may be
        retried with the same key).
        """
        record = {"holder": request_id, "state": CLAIMED, "fingerprint": fingerprint}
        try:
            yield self._claim_once(key, record)
            self._require_settled()
            self._remember_write(key, record)
        except StoreUnavailableError as exc:
            # The write may still be applied after this refusal and would then hold the key for a
            # call that never runs: every retry would be told that it was accepted.
            self.release(key, request_id)
            raise NotRunError(
                f"the idempotency key could not be recorded: {exc.problem}",
                f"retry after {STORE_UNAVAILABLE_RETRY_SECONDS} s with the same idempotency key.",
                retry_after=STORE_UNAVAILABLE_RETRY_SECONDS,
            ) from exc

    def _require_settled(self) -> None:
        """Raise StoreUnavailableError while other gateways may still rewrite lost claims.

        A store that has never been restored is in era 0. In any later era, a gateway that has just
        started does not know how long ago the restore was, and waits as after a new one.
        """
        if self.store.era != self._era:
            self._start_settling(self.store.era)
        if self.clock.seconds() < self._settled_at:
            raise StoreUnavailableError(
                "it was restored from a copy and may lack the record of this key"
            )

    def _start_settling(self, era: int) -> None:
        self._era = era
        if era:
            self._settled_at = self.clock.seconds() + RESTORE_SETTLE_SECONDS

    def _remember_write(self, key: str, record: dict) -> None:
        """Remember a write, to repeat it if the store loses it."""
        now = self.clock.seconds()
        self.recent_writes_by_key.pop(key, None)
        self.recent_writes_by_key[key] = (record, now)
        oldest = next(iter(self.recent_writes_by_key))
        while (
            len(self.recent_writes_by_key) > MAX_RECENT_WRITES
            or now - self.recent_writes_by_key[oldest][1] > RECENT_WRITE_SECONDS
        ):
            del self.recent_writes_by_key[oldest]
            oldest = next(iter(self.recent_writes_by_key))

    def _recent_write(self, key: str, request_id: str) -> dict | None:
        """The last record that this gateway wrote for the request; None if it is not remembered."""
        record, _ = self.recent_writes_by_key.get(key, (None, 0.0))
        return record if record is not None and record["holder"] == request_id else None

    def _store_restored(self, era: int) -> None:
        """Write again the recent records that a restored store may have lost."""
        now = self.clock.seconds()
        self._start_settling(era)
        recent = [
            key
            for key, (_, at) in self.recent_writes_by_key.items()
            if now - at <= RECENT_WRITE_SECONDS
        ]
        log_message(message_type="idempotency:rewriting", era=era, records=len(recent))
        for key in recent:
            self._retry_rewrite(key)

    @defer.inlineCallbacks
    def _retry_rewrite(self, key: str):
        """Write a lost record again; retry while the store is unreachable."""
        for _ in range(MAX_UPDATE_ATTEMPTS):
            try:
                yield self._rewrite(key)
                return
            except (StoreUnavailableError, ConflictError):
                yield task.deferLater(self.clock, UPDATE_RETRY_SECONDS)
        log_message(message_type="idempotency:not-rewritten", key=key)

    @defer.inlineCallbacks
    def _rewrite(self, key: str):
        current = yield self.store.get(CALL_KIND, key)
        # Looked up after the read: the call may have ended in the meantime.
        record, _ = self.recent_writes_by_key.get(key, (None, 0.0))
        if record is None:
            return
        if current is None:
            yield self.store.put(CALL_KIND, key, record, 0)
            return
        value = current.value
        if value["holder"] == record["holder"]:
            if value["state"] == CLAIMED and record["state"] != CLAIMED:
                yield self.store.put(CALL_KIND, key, record, current.version)
            return
        if value["state"] == RELEASED:
            yield self.store.put(CALL_KIND, key, record, current.version)
        elif value["state"] == CLAIMED:
            # Claimed by a retry that learned of the restore only from the response to its claim; it
            # releases the key.
            raise StoreUnavailableError(f"{key} is claimed by a retry")

    @defer.inlineCallbacks
    def _claim_once(self, key: str, record: dict):
        try:
            yield self.store.put(CALL_KIND, key, record, 0)
            return
        except (ConflictError, StoreUnavailableError) as exc:
            failed = exc
        current = yield self.store.get(CALL_KIND, key)
        if current is None:
            raise failed
        if current.value["state"] == RELEASED:
            current = yield self._take_over(key, record, current)
        self._check_holder(key, record, current.value)

    @defer.inlineCallbacks
    def _take_over(self, key: str, record: dict, released):
        """Claim a released key; fire with the resulting record."""
        try:
            stored = yield self.store.put(CALL_KIND, key, record, released.version)
        except (ConflictError, StoreUnavailableError):
            stored = yield self.store.get(CALL_KIND, key)
            if stored.value["state"] == RELEASED:
                raise StoreUnavailableError(
                    "the claim of a released key was not recorded"
                ) from None
        return stored

    def _check_holder(self, key: str, record: dict, value: dict) -> None:
        if value["holder"] == record["holder"]:
            return
        if value["fingerprint"] != record["fingerprint"]:
            raise KeyReusedError()
        retry_after = RUNNING_RETRY_SECONDS
        orphaned = value["state"] == CLAIMED and self._is_orphaned(key, value["holder"])
        if orphaned or value["state"] == UNKNOWN:
            retry_after = None
        raise AlreadyAcceptedError(key, _stored_response(value), retry_after)

    def _is_orphaned(self, key: str, holder: str) -> bool:
        """Whether this gateway has seen ``holder`` hold ``key`` for longer than any call runs."""
        now = self.clock.seconds()
        if len(self.first_seen_by_key) >= MAX_FIRST_SEEN_KEYS:
            self.first_seen_by_key.clear()
        seen_holder, since = self.first_seen_by_key.setdefault(key, (holder, now))
        if seen_holder != holder:
            self.first_seen_by_key[key] = (holder, now)
            return False
        return now - since >= OUTCOME_UNKNOWN_SECONDS

    def finish(self, key: str, request_id: str, tokens: list[str], finish_reason: str):
        """Store the response of a finished call in its record, for replay to retries.

        Fires once it is recorded or the attempts are exhausted; then only the replay is lost.
        """
        changes = {"state": DONE, "finish_reason": finish_reason}
        if sum(len(token) for token in tokens) <= MAX_STORED_RESPONSE_CHARACTERS:
            changes["tokens"] = tokens
        return self._retry_update(key, request_id, changes)

    def release(self, key: str, request_id: str) -> defer.Deferred:
        """Release the claim of a call that was refused without being run, so that a retry may run.

        Fires with whether the release was recorded.
        """
        return self._retry_update(key, request_id, {"state": RELEASED})

    def mark_unknown(self, key: str, request_id: str) -> defer.Deferred:
        """Record that the call failed after it may have run; retries are told so immediately."""
        return self._retry_update(key, request_id, {"state": UNKNOWN})

    @defer.inlineCallbacks
    def _retry_update(self, key: str, request_id: str, changes: dict):
        """Apply ``changes`` to this request's claim, with retries; fire with whether it worked."""
        remembered = self._recent_write(key, request_id)
        if remembered is not None:
            self._remember_write(key, {**remembered, **changes})
        for _ in range(MAX_UPDATE_ATTEMPTS):
            try:
                yield self._update_once(key, request_id, changes)
                return True
            except (StoreUnavailableError, ConflictError):
                yield task.deferLater(self.clock, UPDATE_RETRY_SECONDS)
        log_message(message_type="idempotency:not-recorded", state=changes["state"])
        return False

    @defer.inlineCallbacks
    def _update_once(self, key: str, request_id: str, changes: dict):
        current = yield self.store.get(CALL_KIND, key)
        if current is None:
            # The create got no response and may still be applied; a record created now makes it
            # fail.
            record = self._recent_write(key, request_id) or {
                "holder": request_id,
                "fingerprint": "",
            }
            yield self.store.put(CALL_KIND, key, {**record, **changes}, 0)
            return
        if current.value["holder"] != request_id:
            if self._recent_write(key, request_id) is not None:
                # The restored store lost the claim, and a retry created its own.
                yield self._rewrite(key)
            return
        if current.value["state"] == changes["state"]:
            return
        yield self.store.put(CALL_KIND, key, {**current.value, **changes}, current.version)


def _stored_response(value: dict):
    if value["state"] != DONE or "tokens" not in value:
        return None
    return value["tokens"], value["finish_reason"]
