"""A loop that mirrors one kind of object from the object API: list once, then watch.

A watch can fail (outage, timeout, lost answer); the loop then waits with backoff and watches
again from the last revision it saw, so nothing is skipped. If the store has forgotten the history
since then, the loop lists afresh. Callers see each object version at most once per change
and must themselves ignore versions older than what they hold (see config.watch).
"""

import random

from eliot import log_message
from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime

from guavacleat.store.client import WATCH_WAIT, StoreClient
from guavacleat.store.messages import (
    LARGEST_OBJECT_BYTES,
    ChangesTooLargeError,
    HistoryLostError,
    Listing,
    StoreUnavailableError,
)

__all__ = ["RECOVERY_WAIT", "WatchLoop"]

BACKOFF_FIRST = 0.2
# Seconds that a watch waits after a failure. A store that swallows calls shows only by silence, and
# a long watch sent just before its return would be given up long after it.
RECOVERY_WAIT = 0.3
BACKOFF_MAX = 5.0
# A watch waits a random part of its time between this and 1: a change wakes those of all gateways
# at once, and in step they would all be deaf for as long when the store falls silent.
MIN_WAIT_FRACTION = 0.6
# A loop that rests looks this often whether it still may.
REST_LOOK_SECONDS = 0.2
# Where only the newest of each object counts, a watch reads what one object can need, with its
# envelope. More holds several versions, each as long to read on a thin link as the last alone.
NEWEST_BYTES = LARGEST_OBJECT_BYTES + 65536


class WatchLoop:
    """Calls ``on_object(StoredObject)`` for every object of ``kind`` and every later change.

    ``on_health(bool)`` hears after every attempt whether the store answered. ``pause()``
    seconds pass between an answer and the next watch, which bounds the reads a busy kind costs:
    without it every write to the kind wakes every watcher. ``on_listed(names)`` hears the names of
    each whole listing, so that objects deleted unseen can be dropped. With ``newest_only`` versions
    between two that are heard may be left out. ``on_revision(revision)`` hears after each answer up
    to which revision everything was told. While ``is_suspended()`` is true no call is made;
    ``advance()`` records a revision that was learned from peers meanwhile.
    """

    def __init__(
        self,
        clock: IReactorTime,
        store: StoreClient,
        kind: str,
        on_object,
        wait=None,
        on_health=None,
        pause=lambda: 0.0,
        on_listed=None,
        backoff_max: float = BACKOFF_MAX,
        newest_only: bool = False,
        on_revision=None,
        is_suspended=lambda: False,
    ):
        self.clock = clock
        self.store = store
        self.kind = kind
        self.on_object = on_object
        self.wait = WATCH_WAIT if wait is None else wait
        self.on_health = on_health or (lambda healthy: None)
        self.pause = pause
        self.on_listed = on_listed or (lambda names: None)
        self.backoff_max = backoff_max
        self.newest_only = newest_only
        self.most_bytes = NEWEST_BYTES if newest_only else None
        self.on_revision = on_revision or (lambda revision: None)
        self.is_suspended = is_suspended
        self.suspended = False
        self.random = random.Random()
        self.refused = 0
        self.revision: int | None = None
        self.failures = 0
        # Clock time of the last call.
        self.called_at = float("-inf")
        self.running = False
        self._waiting = None
        # Pages of a listing under way. Begun anew after each failure, a long one would never end
        # while the store refuses some of its pages, as it does while all gateways list at once.
        self._listing = Listing()

    def start(self) -> None:
        self.running = True
        self._next(0)

    def stop(self) -> None:
        self.running = False

    def recheck(self) -> None:
        """Look at once whether to rest any longer; something newer is known to exist.

        Not after a failure: what is told again and again would be asked for as often.
        """
        if self.suspended and not self.failures and self._waiting.active():
            if self.newest_only:
                # A watch would bring the versions since the loop last asked one by one.
                self.relist()
            self._waiting.reset(0)

    def advance(self, revision: int) -> None:
        """Everything up to ``revision`` is known already."""
        if self.suspended and self.revision is not None:
            self.revision = max(revision, self.revision)

    def relist(self) -> None:
        """Read the objects themselves next, not their changes."""
        self.revision = None
        self._listing = Listing()

    def _next(self, delay: float) -> None:
        if self.running:
            self._waiting = self.clock.callLater(delay, self._turn)

    def _turn(self) -> None:
        """Make the next call, unless the loop may rest; a first listing is always made."""
        if not self.running:
            return
        suspended = self.revision is not None and self.is_suspended()
        if suspended is not self.suspended:
            message = "watch:rests" if suspended else "watch:resumes"
            log_message(message_type=message, kind=self.kind, revision=self.revision)
        self.suspended = suspended
        if suspended:
            self._next(REST_LOOK_SECONDS)
            return
        self.called_at = self.clock.seconds()
        self._once().addErrback(self._unforeseen)

    def _unforeseen(self, failure) -> None:
        # Left to end the loop, an answer of an unknown shape would make the daemon deaf to every
        # later change; it is treated like no answer instead.
        log_message(message_type="watch:error", kind=self.kind, error=repr(failure.value))
        self._failed(failure.value)

    def _failed(self, error: Exception) -> None:
        if not self.running:
            # Cut short by the stop itself: nothing that it tells is news.
            return
        self.failures += 1
        if self.failures.bit_count() == 1:
            # The 1st, 2nd, 4th, 8th in a row: a watch that never succeeds again is told for as
            # long as it lasts, and an outage of minutes takes ten lines.
            log_message(
                message_type="watch:failed",
                kind=self.kind,
                failures=self.failures,
                error=str(error),
            )
        self.on_health(False)
        self._next(min(self.backoff_max, BACKOFF_FIRST * 2 ** min(self.failures, 8)))

    @defer.inlineCallbacks
    def _once(self):
        try:
            listing = self.revision is None
            if listing:
                batch = yield self.store.list_objects(self.kind, self._listing)
            else:
                wait = self.wait * self.random.uniform(MIN_WAIT_FRACTION, 1.0)
                if self.failures:
                    wait = min(self.wait, RECOVERY_WAIT)
                batch = yield self.store.watch(self.kind, self.revision, wait, self.most_bytes)
        except HistoryLostError:
            self._list_next("watch:history-lost")
            return
        except ChangesTooLargeError:
            self._list_next("watch:many-versions")
            return
        except StoreUnavailableError as exc:
            self._failed(exc)
            return
        if not self.running:
            return
        if self.failures:
            log_message(message_type="watch:answered", kind=self.kind, failures=self.failures)
        self.failures = 0
        self._listing = Listing()
        self.on_health(True)
        self.revision = max([batch.revision, self.revision or 0])
        for stored in batch.objects:
            self._offer(stored)
        if listing:
            self.on_listed({stored.name for stored in batch.objects})
        self.on_revision(self.revision)
        self._next(self.pause())

    def _list_next(self, reason: str) -> None:
        log_message(message_type=reason, kind=self.kind, since=self.revision)
        self.relist()
        self._next(0)

    def _offer(self, stored) -> None:
        # One object nobody can read (written by hand or by another release) must not end the
        # loop: the daemon would silently stop hearing of every later change.
        try:
            self.on_object(stored)
        except Exception as exc:  # noqa: BLE001 - whatever the object holds
            self.refused += 1
            log_message(
                message_type="watch:object-refused",
                kind=self.kind,
                name=stored.name,
                version=stored.version,
                error=repr(exc),
            )
