"""Claims on idempotency keys, kept as ``calls/<key>`` objects in the object API.

A call that may not be repeated is sent to its endpoint only after this gateway has created the
key's record by a conditional create (expected version 0). Exactly one create can succeed, so a
retry of the same call through any gateway finds the record and is not run again. The record is
written before the side effect, as the side-effect watermark of the paper (PAPER-crash-resilient,
"Fence before the non-idempotent side effect"): a call counts as started once its claim is
recorded. A claim whose call was then refused as not run is released, and a retry may take it.

A store that comes back from an older copy has lost the newest claims. Each gateway keeps its own
for a while and writes them again. Until all have had time for that, a missing record says nothing,
and a call whose record is missing is refused as not run. Lost for good are claims of a gateway that
was lost together with the store's last seconds.

A create whose answer is lost may still have applied; the record names its holder, so reading it
back tells whether the claim is this request's own. When the call finishes, its answer is kept in
the record (``state: done``), so a client retrying after a lost response gets the answer replayed
instead of a second run; a retry while the call runs is told when to come back.
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
    "RECORD_RETRY_SECONDS",
    "call_name",
]

CALL_KIND = "calls"
STORE_DOWN_RETRY = 2.0
RUNNING_RETRY = 1.0
MAX_KEPT_ANSWER_BYTES = 900_000
CLAIMED = "claimed"
DONE = "done"
RELEASED = "released"
UNKNOWN = "unknown"
RECORD_RETRY_SECONDS = 1.0
RECORD_ATTEMPTS = 120
# A call still claimed this long after a retry first saw it has lost its gateway: no call runs
# this long, so the retry gets its final answer instead of being sent away again.
OUTCOME_UNKNOWN_SECONDS = 60.0
MAX_FIRST_SEEN = 10_000
# A copy from which the store comes back is seconds old; what is kept longer it has.
REWRITE_SECONDS = 60.0
MAX_REWRITTEN = 4096
# Gateways notice a restore by their next call, and write their claims again within so long.
RESTORE_SETTLE_SECONDS = 5.0


def call_name(account: str, service: str, key: str) -> str:
    """The record's name for a caller's key.

    Keys are the callers' own: two client accounts may choose the same one, and a record shared
    by both would answer one caller with the other's answer. Hashing account, service and key
    also keeps any key text valid as an object name.
    """
    parts = "\0".join((account, service, key)).encode()
    return hashlib.blake2b(parts, digest_size=16).hexdigest()


class KeyReusedError(GuavacleatError):
    """The idempotency key was used before with another request body."""

    def __init__(self):
        super().__init__(
            "this idempotency key belongs to another request.",
            "send a new key for a new call, and the same body on every retry of one call.",
        )


class AlreadyAcceptedError(GuavacleatError):
    """Another request already holds this idempotency key; the call is not run again.

    :param answer: ``(tokens, finish_reason)`` if the call finished and its answer was kept,
        else None (still running, or too large to keep).
    :param retry_after: seconds to wait before asking again while it runs; None if its gateway
        is lost, so that whether it ran will not become known here.
    """

    def __init__(self, key: str, answer=None, retry_after: float | None = RUNNING_RETRY):
        if answer is not None:
            remedy = "nothing to do: its answer is sent again."
        elif retry_after is None:
            remedy = "check whether the call took effect; it may have run and is not run again."
        else:
            remedy = f"retry after {retry_after} s with the same key to get its answer."
        super().__init__(
            f"a call with idempotency key {key!r} was already accepted; it runs at most once.",
            remedy,
        )
        self.answer = answer
        self.retry_after = retry_after


class CallRecords:
    """Claims idempotency keys for requests.

    :param clock: times the background retries of a release or a kept answer.
    """

    def __init__(self, store: StoreClient, clock: IReactorTime):
        self.store = store
        self.clock = clock
        self.first_seen_by_key: dict[str, tuple[str, float]] = {}
        # What this gateway wrote lately, oldest first: (record, clock time).
        self.written_by_key: collections.OrderedDict[str, tuple[dict, float]] = (
            collections.OrderedDict()
        )
        self._era: int | None = None
        self._settled_at = float("-inf")
        store.era_listeners.append(self._restored)

    @defer.inlineCallbacks
    def claim(self, key: str, request_id: str, fingerprint: str = ""):
        """Fire once ``request_id`` holds ``key``; ``fingerprint`` identifies the request's body.

        Raises AlreadyAcceptedError if another request holds it, KeyReusedError if it belongs to
        another body, NotRunError if the store could not be asked (the call was not sent, so it
        may be retried with the same key).
        """
        record = {"holder": request_id, "state": CLAIMED, "fingerprint": fingerprint}
        try:
            yield self._claim_once(key, record)
            self._require_settled()
            self._keep(key, record)
        except StoreUnavailableError as exc:
            # The write may still take effect after this refusal; left alone it would hold the
            # key for a call that never runs, and every retry would be told it was accepted.
            self.release(key, request_id)
            raise NotRunError(
                f"the call's key could not be recorded: {exc.problem}",
                f"retry after {STORE_DOWN_RETRY} s with the same idempotency key.",
                retry_after=STORE_DOWN_RETRY,
            ) from exc

    def _require_settled(self) -> None:
        """Raise StoreUnavailableError while other gateways may still write lost claims again.

        A store that has never been restored is in era 0; of any other, a gateway that starts does
        not know how long ago that was.
        """
        if self.store.era != self._era:
            self._unsettle(self.store.era)
        if self.clock.seconds() < self._settled_at:
            raise StoreUnavailableError("it came back from a copy and may lack this key's record")

    def _unsettle(self, era: int) -> None:
        self._era = era
        if era:
            self._settled_at = self.clock.seconds() + RESTORE_SETTLE_SECONDS

    def _keep(self, key: str, record: dict) -> None:
        """Remember what was written, to write it again if the store loses it."""
        now = self.clock.seconds()
        self.written_by_key.pop(key, None)
        self.written_by_key[key] = (record, now)
        oldest = next(iter(self.written_by_key))
        while (
            len(self.written_by_key) > MAX_REWRITTEN
            or now - self.written_by_key[oldest][1] > REWRITE_SECONDS
        ):
            del self.written_by_key[oldest]
            oldest = next(iter(self.written_by_key))

    def _kept(self, key: str, request_id: str) -> dict | None:
        """What this gateway wrote lately for the request; None if nothing is kept."""
        record, _ = self.written_by_key.get(key, (None, 0.0))
        return record if record is not None and record["holder"] == request_id else None

    def _restored(self, era: int) -> None:
        """The store came back from a copy: write again what it may have lost."""
        now = self.clock.seconds()
        self._unsettle(era)
        lately = [
            key for key, (_, at) in self.written_by_key.items() if now - at <= REWRITE_SECONDS
        ]
        log_message(message_type="idempotency:rewriting", era=era, records=len(lately))
        for key in lately:
            self._until_rewritten(key)

    @defer.inlineCallbacks
    def _until_rewritten(self, key: str):
        """Bring a lost record back, through outages."""
        for _ in range(RECORD_ATTEMPTS):
            try:
                yield self._rewrite(key)
                return
            except (StoreUnavailableError, ConflictError):
                yield task.deferLater(self.clock, RECORD_RETRY_SECONDS)
        log_message(message_type="idempotency:not-rewritten", key=key)

    @defer.inlineCallbacks
    def _rewrite(self, key: str):
        current = yield self.store.get(CALL_KIND, key)
        # Read only now: the call may have ended since the restore.
        record, _ = self.written_by_key.get(key, (None, 0.0))
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
            # A retry that noticed the restore only by this write: it is about to release the key.
            raise StoreUnavailableError(f"{key} is held by a retry")

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
        self._check_ours(key, record, current.value)

    @defer.inlineCallbacks
    def _take_over(self, key: str, record: dict, released):
        """Claim a released key; fire with the record as it then stands."""
        try:
            taken = yield self.store.put(CALL_KIND, key, record, released.version)
        except (ConflictError, StoreUnavailableError):
            taken = yield self.store.get(CALL_KIND, key)
            if taken.value["state"] == RELEASED:
                raise StoreUnavailableError(
                    "the claim of a released key was not recorded"
                ) from None
        return taken

    def _check_ours(self, key: str, record: dict, value: dict) -> None:
        if value["holder"] == record["holder"]:
            return
        if value["fingerprint"] != record["fingerprint"]:
            raise KeyReusedError()
        retry_after = RUNNING_RETRY
        lost = value["state"] == CLAIMED and self._is_orphan(key, value["holder"])
        if lost or value["state"] == UNKNOWN:
            retry_after = None
        raise AlreadyAcceptedError(key, _kept_answer(value), retry_after)

    def _is_orphan(self, key: str, holder: str) -> bool:
        """Whether ``holder`` has held ``key`` for longer than any call runs, as seen here."""
        now = self.clock.seconds()
        if len(self.first_seen_by_key) >= MAX_FIRST_SEEN:
            self.first_seen_by_key.clear()
        seen_holder, since = self.first_seen_by_key.setdefault(key, (holder, now))
        if seen_holder != holder:
            self.first_seen_by_key[key] = (holder, now)
            return False
        return now - since >= OUTCOME_UNKNOWN_SECONDS

    def finish(self, key: str, request_id: str, tokens: list[str], finish_reason: str):
        """Keep the finished call's answer in its record, for replay to retries.

        Fires once it is recorded or given up; losing it costs only the replay: the call ran
        once and its caller received the answer.
        """
        changes = {"state": DONE, "finish_reason": finish_reason}
        if sum(len(token) for token in tokens) <= MAX_KEPT_ANSWER_BYTES:
            changes["tokens"] = tokens
        return self._until_recorded(key, request_id, changes)

    def release(self, key: str, request_id: str) -> defer.Deferred:
        """Give up a claim whose call was refused as not run, so that a retry may take it.

        Fires with whether that was recorded.
        """
        return self._until_recorded(key, request_id, {"state": RELEASED})

    def mark_unknown(self, key: str, request_id: str) -> defer.Deferred:
        """Record that the call broke after it may have run: retries get that answer at once."""
        return self._until_recorded(key, request_id, {"state": UNKNOWN})

    @defer.inlineCallbacks
    def _until_recorded(self, key: str, request_id: str, changes: dict):
        """Apply ``changes`` to this request's claim, through outages; fire with whether it did."""
        kept = self._kept(key, request_id)
        if kept is not None:
            self._keep(key, {**kept, **changes})
        for _ in range(RECORD_ATTEMPTS):
            try:
                yield self._record_once(key, request_id, changes)
                return True
            except (StoreUnavailableError, ConflictError):
                yield task.deferLater(self.clock, RECORD_RETRY_SECONDS)
        log_message(message_type="idempotency:not-recorded", state=changes["state"])
        return False

    @defer.inlineCallbacks
    def _record_once(self, key: str, request_id: str, changes: dict):
        current = yield self.store.get(CALL_KIND, key)
        if current is None:
            # The create had no answer and has not applied, but still may; a record made now
            # makes that late create lose.
            record = self._kept(key, request_id) or {"holder": request_id, "fingerprint": ""}
            yield self.store.put(CALL_KIND, key, {**record, **changes}, 0)
            return
        if current.value["holder"] != request_id:
            if self._kept(key, request_id) is not None:
                # The store lost the claim, and a retry wrote its own.
                yield self._rewrite(key)
            return
        if current.value["state"] == changes["state"]:
            return
        yield self.store.put(CALL_KIND, key, {**current.value, **changes}, current.version)


def _kept_answer(value: dict):
    if value["state"] != DONE or "tokens" not in value:
        return None
    return value["tokens"], value["finish_reason"]
