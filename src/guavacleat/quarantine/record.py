"""The requests that are refused, kept in the store for gateways that all start at once.

Peers tell a gateway that starts what they know. Where all were lost together nobody is left to
tell, and the same request would end three more endpoints. One object holds the newest convictions.
"""

import random

from eliot import log_message
from twisted.internet import defer

from guavacleat.quarantine.fingerprint import format_fingerprint, parse_fingerprint
from guavacleat.quarantine.tracker import CrashTracker
from guavacleat.store import ConflictError, StoreUnavailableError
from guavacleat.store.messages import MUST_NOT_EXIST

__all__ = ["RECORD_KIND", "RECORD_NAME", "QuarantineRecord"]

RECORD_KIND = "quarantine"
RECORD_NAME = "requests"
# By then a gateway knows its peers: a few read, and tell the others.
READ_AFTER_SECONDS = (1.0, 2.0)
# Newest convictions that are read.
REQUESTS_RESTORED = 64
RETRY_SECONDS = 2.0
# Convictions of one crash are written together.
GATHER_SECONDS = 0.2
# Newest convictions in the record, some 25 bytes each.
REQUESTS_KEPT = 256


class QuarantineRecord:
    """Reads the record once after the start, and writes what this gateway convicts or clears.

    :param is_reader: returns whether reading is this gateway's task.
    """

    def __init__(self, clock, store, book: CrashTracker, is_reader):
        self.is_reader = is_reader
        self.clock = clock
        self.store = store
        self.book = book
        self.stopped = False
        # Ends by fingerprint still to be written; None for a request to be taken out.
        self._changes: dict[int, int | None] = {}
        self._writing = False
        book.on_quarantined = self.quarantined
        book.on_cleared = self.cleared

    def start(self) -> None:
        self.clock.callLater(random.uniform(*READ_AFTER_SECONDS), self._begin, self._read)

    def stop(self) -> None:
        self.stopped = True

    def store_restored(self) -> None:
        """The store came back from a copy: write again what it may have lost."""
        if self.is_reader():
            for fingerprint in self.book.quarantined_fingerprints():
                self.quarantined(fingerprint)

    def quarantined(self, fingerprint: int) -> None:
        self._change(fingerprint, int(self.book.crash_count(fingerprint)))

    def cleared(self, fingerprint: int) -> None:
        self._change(fingerprint, None)

    def _change(self, fingerprint: int, crashes: int | None) -> None:
        self._changes[fingerprint] = crashes
        if not self._writing:
            self._writing = True
            self.clock.callLater(GATHER_SECONDS, self._begin, self._write)

    def _begin(self, work) -> None:
        if not self.stopped:
            defer.Deferred.fromCoroutine(work()).addErrback(self._note_error)

    async def _read(self) -> None:
        if not self.is_reader():
            return
        try:
            stored = await self.store.get(RECORD_KIND, RECORD_NAME)
        except StoreUnavailableError as exc:
            log_message(message_type="quarantine:not-read", error=str(exc))
            self.clock.callLater(RETRY_SECONDS, self._begin, self._read)
            return
        counts_by_fingerprint = _decode(stored)
        newest = list(counts_by_fingerprint.items())[-REQUESTS_RESTORED:]
        for fingerprint, crashes in newest:
            self.book.restore(fingerprint, crashes)
        if counts_by_fingerprint:
            log_message(message_type="quarantine:restored", requests=len(counts_by_fingerprint))

    async def _write(self) -> None:
        """Bring the changes into what the store holds, until it has them."""
        changes, self._changes = self._changes, {}
        try:
            stored = await self.store.get(RECORD_KIND, RECORD_NAME)
            version = MUST_NOT_EXIST if stored is None else stored.version
            value = _encode(_merged(_decode(stored), changes))
            await self.store.put(RECORD_KIND, RECORD_NAME, value, version)
        except (ConflictError, StoreUnavailableError) as exc:
            log_message(message_type="quarantine:not-written", error=str(exc))
            self._changes = {**changes, **self._changes}
            delay = random.uniform(0.0, RETRY_SECONDS)
            self.clock.callLater(delay, self._begin, self._write)
            return
        self._writing = False
        if self._changes:
            self._change(*self._changes.popitem())

    def _note_error(self, failure) -> None:
        log_message(message_type="quarantine:error", error=failure.getTraceback())


def _merged(stored: dict[int, int], changes: dict[int, int | None]) -> dict[int, int]:
    """What the record shall hold, the newest last."""
    kept = dict(stored)
    for fingerprint, crashes in changes.items():
        before = kept.pop(fingerprint, 0)
        if crashes is not None:
            kept[fingerprint] = max(before, crashes)
    return dict(list(kept.items())[-REQUESTS_KEPT:])


def _encode(counts_by_fingerprint: dict[int, int]) -> dict:
    named = {format_fingerprint(key): crashes for key, crashes in counts_by_fingerprint.items()}
    return {"crashes": named}


def _decode(stored) -> dict[int, int]:
    """The record's ends by fingerprint; what cannot be read is left out."""
    named = stored.value.get("crashes", {}) if stored is not None else {}
    try:
        return {parse_fingerprint(name): int(crashes) for name, crashes in named.items()}
    except (AttributeError, TypeError, ValueError) as exc:
        log_message(message_type="quarantine:unreadable", error=repr(exc))
        return {}
