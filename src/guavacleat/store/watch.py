"""A loop that mirrors one kind of object from the object API: list once, then watch.

A watch can fail (outage, timeout, lost answer); the loop then waits with backoff and watches
again from the last revision it saw, so nothing is skipped. After an outage long enough for the
store to forget history it lists afresh. Callers see each object version at most once per change
and must themselves ignore versions older than what they hold (see config.watch).
"""

from twisted.internet import defer, task
from twisted.internet.interfaces import IReactorTime

from guavacleat.store.client import WATCH_WAIT, StoreClient
from guavacleat.store.messages import StoreUnavailableError

__all__ = ["WatchLoop"]

BACKOFF_FIRST = 0.2
BACKOFF_MAX = 5.0


class WatchLoop:
    """Calls ``on_object(StoredObject)`` for every object of ``kind`` and every later change.

    ``on_health(bool)`` hears after every attempt whether the store answered.
    """

    def __init__(
        self,
        clock: IReactorTime,
        store: StoreClient,
        kind: str,
        on_object,
        wait=None,
        on_health=None,
    ):
        self.clock = clock
        self.store = store
        self.kind = kind
        self.on_object = on_object
        self.wait = WATCH_WAIT if wait is None else wait
        self.on_health = on_health or (lambda healthy: None)
        self.revision: int | None = None
        self.failures = 0
        self.running = False

    def start(self) -> None:
        self.running = True
        self._next(0)

    def stop(self) -> None:
        self.running = False

    def _next(self, delay: float) -> None:
        if self.running:
            task.deferLater(self.clock, delay, self._once).addErrback(lambda _: None)

    @defer.inlineCallbacks
    def _once(self):
        try:
            if self.revision is None:
                batch = yield self.store.list_objects(self.kind)
            else:
                batch = yield self.store.watch(self.kind, self.revision, self.wait)
        except StoreUnavailableError:
            self.failures += 1
            self.on_health(False)
            self._next(min(BACKOFF_MAX, BACKOFF_FIRST * 2 ** min(self.failures, 8)))
            return
        self.failures = 0
        self.on_health(True)
        for stored in batch.objects:
            self.on_object(stored)
        self.revision = max([batch.revision, self.revision or 0])
        self._next(0)
