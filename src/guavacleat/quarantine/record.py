"""The quarantined requests and parts, kept in the store for a restart of all gateways at once.

A gateway that starts learns them from its peers. If all gateways were lost at once, they would
crash more endpoints, so one object in the store holds the latest ones. Gateways that don't report
to each other learn of them by watching the object.
"""

import random

from eliot import log_message
from twisted.internet import defer

from guavacleat.quarantine.fingerprint import format_fingerprint, parse_fingerprint
from guavacleat.quarantine.messages import QUARANTINE_CRASHES
from guavacleat.quarantine.tracker import CrashTracker
from guavacleat.store import StoreUnavailableError
from guavacleat.store.messages import MUST_NOT_EXIST

__all__ = ["RECORD_KIND", "RECORD_NAME", "QuarantineRecord"]

RECORD_KIND = "quarantine"
RECORD_NAME = "requests"
# Random delay after the start: by then a gateway knows its peers, only a few of which read.
READ_DELAY_SECONDS = (1.0, 2.0)
# Number of latest requests, and of latest parts, that are restored.
MAX_RESTORED = 64
RETRY_SECONDS = 2.0
# Changes within this time are written together.
BATCH_SECONDS = 0.2
# Number of latest requests, and of latest parts, in the record, some 25 bytes each.
MAX_STORED_REQUESTS = 256


class _Change:
    """A change of the record.

    :param crashes: the number of crashes; None to remove the request or part.
    """

    __slots__ = ("crashes", "is_part")

    def __init__(self, crashes: int | None, is_part: bool):
        self.crashes = crashes
        self.is_part = is_part


class _Content:
    """The decoded record: numbers of crashes by fingerprint, the latest last."""

    __slots__ = ("requests", "parts")

    def __init__(self, requests: dict[int, int], parts: dict[int, int]):
        self.requests = requests
        self.parts = parts

    def apply(self, changes: dict[int, _Change]) -> None:
        for fingerprint, change in changes.items():
            counts = self.parts if change.is_part else self.requests
            previous_count = counts.pop(fingerprint, 0)
            if change.crashes is not None:
                counts[fingerprint] = max(previous_count, change.crashes)


class QuarantineRecord:
    """Reads the record once after the start, and writes what this gateway quarantines or clears.

    :param is_reader: returns whether this gateway must read the record.
    """

    def __init__(self, clock, store, tracker: CrashTracker, is_reader):
        self.is_reader = is_reader
        self.clock = clock
        self.store = store
        self.tracker = tracker
        self.stopped = False
        # Changes by fingerprint that are still to be written.
        self._changes: dict[int, _Change] = {}
        self._writing = False
        # What the record held when it was last observed.
        self._observed: set[int] = set()
        tracker.on_quarantined = self.quarantined
        tracker.on_cleared = self.cleared

    def start(self) -> None:
        self.clock.callLater(random.uniform(*READ_DELAY_SECONDS), self._start_task, self._read)

    def stop(self) -> None:
        self.stopped = True

    def store_restored(self) -> None:
        """Write again what a restored store may have lost."""
        if self.is_reader():
            for fingerprint in self.tracker.quarantined_fingerprints():
                self.quarantined(fingerprint)

    def quarantined(self, fingerprint: int) -> None:
        """Write the crashes that identified the request or part, and one for each failed trial."""
        crashes = QUARANTINE_CRASHES + self.tracker.failed_trials(fingerprint)
        self._change(fingerprint, _Change(crashes, self.tracker.is_part(fingerprint)))

    def cleared(self, fingerprint: int, is_part: bool) -> None:
        self._change(fingerprint, _Change(None, is_part))

    def _change(self, fingerprint: int, change: _Change) -> None:
        self._changes[fingerprint] = change
        if not self._writing:
            self._writing = True
            self.clock.callLater(BATCH_SECONDS, self._start_task, self._write)

    def _start_task(self, work) -> None:
        if not self.stopped:
            defer.Deferred.fromCoroutine(work()).addErrback(self._log_error)

    async def _read(self) -> None:
        if not self.is_reader():
            return
        try:
            stored = await self.store.get(RECORD_KIND, RECORD_NAME)
        except StoreUnavailableError as exc:
            log_message(message_type="quarantine:not-read", error=str(exc))
            self.clock.callLater(RETRY_SECONDS, self._start_task, self._read)
            return
        content = _decode(stored)
        self._restore(content)
        if content.requests or content.parts:
            log_message(
                message_type="quarantine:restored",
                requests=len(content.requests),
                parts=len(content.parts),
            )

    def observe(self, stored) -> None:
        """Merge a version of the record, as a watch returns it."""
        content = _decode(stored)
        held = {*content.requests, *content.parts}
        for fingerprint in self._observed - held:
            self.tracker.merge_completion(fingerprint, 0.0)
        self._observed = held
        self._restore(content)

    def _restore(self, content: _Content) -> None:
        for fingerprint, crashes in list(content.requests.items())[-MAX_RESTORED:]:
            self.tracker.restore(fingerprint, crashes)
        for part, crashes in list(content.parts.items())[-MAX_RESTORED:]:
            self.tracker.restore(part, crashes, is_part=True)

    async def _write(self) -> None:
        """Merge the changes into the stored record; retry until that succeeds."""
        changes, self._changes = self._changes, {}
        try:
            stored = await self.store.get(RECORD_KIND, RECORD_NAME)
            version = MUST_NOT_EXIST if stored is None else stored.version
            content = _decode(stored)
            content.apply(changes)
            await self.store.put(RECORD_KIND, RECORD_NAME, _encode(content), version)
        except Exception as exc:  # noqa: BLE001 - any error would end all later writes
            log_message(message_type="quarantine:not-written", error=repr(exc))
            self._changes = {**changes, **self._changes}
            delay = random.uniform(0.0, RETRY_SECONDS)
            self.clock.callLater(delay, self._start_task, self._write)
            return
        self._writing = False
        if self._changes:
            self._change(*self._changes.popitem())

    def _log_error(self, failure) -> None:
        log_message(message_type="quarantine:error", error=failure.getTraceback())


def _encode(content: _Content) -> dict:
    return {"crashes": _encode_counts(content.requests), "parts": _encode_counts(content.parts)}


def _encode_counts(counts_by_fingerprint: dict[int, int]) -> dict[str, int]:
    latest = list(counts_by_fingerprint.items())[-MAX_STORED_REQUESTS:]
    return {format_fingerprint(fingerprint): crashes for fingerprint, crashes in latest}


def _decode(stored) -> _Content:
    """The content of the record; empty if it cannot be decoded."""
    value = stored.value if stored is not None else {}
    try:
        return _Content(
            _decode_counts(value.get("crashes", {})), _decode_counts(value.get("parts", {}))
        )
    except (AttributeError, TypeError, ValueError) as exc:
        log_message(message_type="quarantine:unreadable", error=repr(exc))
        return _Content({}, {})


def _decode_counts(named: dict[str, int]) -> dict[int, int]:
    return {parse_fingerprint(name): int(crashes) for name, crashes in named.items()}
