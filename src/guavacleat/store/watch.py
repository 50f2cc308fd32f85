"""A loop that follows one kind of object in the object API: list once, then watch.

If a watch fails (outage, timeout, lost response), the loop backs off and watches again from the
last revision that it received, so that no change is skipped. If the store no longer holds the
changes since then, the loop lists the objects again. Callers may receive older versions than they
hold and must ignore them.
"""

import random

from eliot import log_message
from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime

from guavacleat.store.client import WATCH_WAIT_SECONDS, StoreClient
from guavacleat.store.messages import (
    MAX_OBJECT_BYTES,
    ChangesTooLargeError,
    HistoryLostError,
    Listing,
    StoreUnavailableError,
)

__all__ = ["RECOVERY_WAIT_SECONDS", "WatchLoop"]

BACKOFF_MIN_SECONDS = 0.2
# Wait of a watch after a failure: short, so that a call that gets no response times out soon after
# the store has recovered.
RECOVERY_WAIT_SECONDS = 0.3
BACKOFF_MAX_SECONDS = 5.0
# Time from the end of a watch's wait until its response is overdue.
RESPONSE_SECONDS = 0.2
# Each watch waits for a random fraction, between this and 1, of its wait. A change completes the
# watches of all gateways at once; without jitter they would all detect an outage equally late.
MIN_WAIT_FRACTION = 0.6
# Interval at which a suspended loop checks whether it may resume.
SUSPENDED_CHECK_SECONDS = 0.2
# Size limit of a watch's response if only the newest version of each object is needed: one object
# with its envelope. A larger response contains several versions and is slow on a narrow link.
MAX_CHANGES_BYTES = MAX_OBJECT_BYTES + 65536


class WatchLoop:
    """Calls ``on_object(StoredObject)`` for every object of ``kind`` and every later change.

    ``on_health(bool)`` is called with True after a successful call, False after a failed one. The
    loop waits ``pause()`` seconds between a response and the next watch, which limits the number of
    reads if a kind is written often. ``on_listed(names)`` is called with the names of each complete
    listing, so that objects whose deletion was missed can be dropped. With ``newest_only``
    intermediate versions may be skipped. ``on_revision(revision)`` is called after each response
    with the revision up to which all changes were delivered. While ``is_suspended()`` is true no
    call is made; ``advance()`` records a revision that was learned from peers meanwhile.
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
        backoff_max: float = BACKOFF_MAX_SECONDS,
        newest_only: bool = False,
        on_revision=None,
        is_suspended=lambda: False,
    ):
        self.clock = clock
        self.store = store
        self.kind = kind
        self.on_object = on_object
        self.wait = WATCH_WAIT_SECONDS if wait is None else wait
        self.on_health = on_health or (lambda healthy: None)
        self.pause = pause
        self.on_listed = on_listed or (lambda names: None)
        self.backoff_max = backoff_max
        self.newest_only = newest_only
        self.max_body_bytes = MAX_CHANGES_BYTES if newest_only else None
        self.on_revision = on_revision or (lambda revision: None)
        self.is_suspended = is_suspended
        self.suspended = False
        self.random = random.Random()
        self.rejected_count = 0
        self.revision: int | None = None
        self.failures = 0
        # Clock time of the last call to the store.
        self.called_at = float("-inf")
        # Time in which the store holds back its response to the current call.
        self._call_wait = 0.0
        # Clock time since which the store may not have responded, as of the last failed call.
        self.silent_since = float("-inf")
        self.running = False
        self._scheduled_call = None
        # Pages of an unfinished listing. They are kept after a failure: a long listing that starts
        # again each time would never finish while the store refuses some of its pages, as it does
        # when all gateways list at once.
        self._listing = Listing()
        # Listings since the last complete watch.
        self._relists = 0

    def start(self, delay: float = 0.0) -> None:
        """Start with a listing, after ``delay`` seconds."""
        self.running = True
        self._schedule(delay)

    def stop(self) -> None:
        self.running = False

    def recheck(self) -> None:
        """Check at once whether to stay suspended; a newer revision is known to exist.

        Does nothing after a failure, so that repeated reports from peers do not bypass the backoff.
        """
        if self.suspended and not self.failures and self._scheduled_call.active():
            if self.newest_only:
                # A watch would return every version since the last call.
                self.relist()
            self._scheduled_call.reset(0)

    def advance(self, revision: int) -> None:
        """Record that all changes up to ``revision`` are known."""
        if self.suspended and self.revision is not None:
            self.revision = max(revision, self.revision)

    def skip_listing(self, revision: int) -> None:
        """Replace a due listing by a watch from ``revision``, up to which all objects are known."""
        if self.revision is None:
            self.revision = revision

    def relist(self) -> None:
        """List the objects with the next call instead of watching for changes."""
        self.revision = None
        self._listing = Listing()

    def _schedule(self, delay: float) -> None:
        if self.running:
            self._scheduled_call = self.clock.callLater(delay, self._run)

    def _run(self) -> None:
        """Make the next call unless the loop is suspended; the first listing is always made."""
        if not self.running:
            return
        suspended = self._is_suspended_now()
        if suspended is not self.suspended:
            message = "watch:rests" if suspended else "watch:resumes"
            log_message(message_type=message, kind=self.kind, revision=self.revision)
        self.suspended = suspended
        if suspended:
            self._schedule(SUSPENDED_CHECK_SECONDS)
            return
        self.called_at = self.clock.seconds()
        self._call_store().addErrback(self._handle_unexpected)

    def _is_suspended_now(self) -> bool:
        """Whether to make no call; after an error one is made, so that no change is missed."""
        if self.revision is None:
            return False
        try:
            return self.is_suspended()
        except Exception as exc:  # noqa: BLE001 - an error here would end the loop
            log_message(message_type="watch:error", kind=self.kind, error=repr(exc))
            return False

    def _handle_unexpected(self, failure) -> None:
        # An unexpected response must not end the loop, or later changes would be missed; it is
        # handled like a missing response.
        log_message(message_type="watch:error", kind=self.kind, error=repr(failure.value))
        self._handle_failure(failure.value)

    def _handle_failure(self, error: Exception) -> None:
        if not self.running:
            # The call was interrupted by stop().
            return
        self.failures += 1
        now = self.clock.seconds()
        overdue = now - self.called_at > self._call_wait + RESPONSE_SECONDS
        self.silent_since = self.called_at if overdue else now
        if self.failures.bit_count() == 1:
            # Log the 1st, 2nd, 4th, 8th ... consecutive failure, to limit the log of a long outage.
            log_message(
                message_type="watch:failed",
                kind=self.kind,
                failures=self.failures,
                error=str(error),
            )
        self._schedule(min(self.backoff_max, BACKOFF_MIN_SECONDS * 2 ** min(self.failures, 8)))
        self.on_health(False)

    @defer.inlineCallbacks
    def _call_store(self):
        try:
            listing = self.revision is None
            self._call_wait = 0.0
            if listing:
                batch = yield self.store.list_objects(self.kind, self._listing)
            else:
                wait = self.wait * self.random.uniform(MIN_WAIT_FRACTION, 1.0)
                if self.failures:
                    wait = min(self.wait, RECOVERY_WAIT_SECONDS)
                self._call_wait = wait
                batch = yield self.store.watch(self.kind, self.revision, wait, self.max_body_bytes)
        except HistoryLostError:
            self._relist("watch:history-lost")
            return
        except ChangesTooLargeError:
            self._relist("watch:many-versions")
            return
        except StoreUnavailableError as exc:
            self._handle_failure(exc)
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
            self._deliver(stored)
        if listing:
            self.on_listed({stored.name for stored in batch.objects})
        else:
            self._relists = 0
        self.on_revision(self.revision)
        self._schedule(self.pause())

    def _relist(self, reason: str) -> None:
        log_message(message_type=reason, kind=self.kind, since=self.revision)
        self.relist()
        self._relists += 1
        # A store that loses its history again at once must not be asked in a tight loop.
        self._schedule(0 if self._relists == 1 else BACKOFF_MIN_SECONDS)

    def _deliver(self, stored) -> None:
        # An object that cannot be decoded (written by hand or by another release) must not end the
        # loop, or later changes would be missed.
        try:
            self.on_object(stored)
        except Exception as exc:  # noqa: BLE001 - any error in decoding the object
            self.rejected_count += 1
            log_message(
                message_type="watch:object-refused",
                kind=self.kind,
                name=stored.name,
                version=stored.version,
                error=repr(exc),
            )
