"""The sidecar's side of membership: renew ``endpoints/<name>`` on a heartbeat."""

from eliot import log_message
from twisted.internet import defer, task
from twisted.internet.interfaces import IReactorTime

from guavacleat.membership.records import ENDPOINT_KIND, EndpointRecord
from guavacleat.store import ConflictError, StoreClient, StoreUnavailableError

__all__ = ["Lease", "HEARTBEAT_SECONDS", "LEASE_SECONDS"]

HEARTBEAT_SECONDS = 1.0
LEASE_SECONDS = 3.0


class Lease:
    """Renews one endpoint record every ``HEARTBEAT_SECONDS`` with a conditional write."""

    def __init__(self, clock: IReactorTime, store: StoreClient, record: EndpointRecord):
        self.clock = clock
        self.store = store
        self.record = record
        self.version: int | None = None
        self.failures = 0
        self._loop = task.LoopingCall(self.renew)
        self._loop.clock = clock

    def start(self) -> None:
        self._loop.start(HEARTBEAT_SECONDS, now=True)

    def stop(self) -> None:
        if self._loop.running:
            self._loop.stop()

    @defer.inlineCallbacks
    def renew(self):
        """Write the record once; a lost or refused write is counted and retried next beat."""
        self.record.beat += 1
        try:
            if self.version is None:
                current = yield self.store.get(ENDPOINT_KIND, self.record.name)
                self.version = current.version if current else 0
            stored = yield self.store.put(
                ENDPOINT_KIND, self.record.name, self.record.to_json(), self.version
            )
        except ConflictError as exc:
            # Another writer (an earlier incarnation of this sidecar) moved the record; read
            # again next beat rather than overwrite blindly with a stale version.
            self.version = None
            self.failures += 1
            log_message(message_type="lease:conflict", endpoint=self.record.name, error=str(exc))
            return
        except StoreUnavailableError:
            # The write may have applied with its answer lost; the version is unknown, so the
            # next beat reads it back before writing.
            self.version = None
            self.failures += 1
            return
        self.version = stored.version

    @defer.inlineCallbacks
    def mark_draining(self):
        """Announce that the endpoint is leaving; gateways stop sending it new work."""
        self.record.draining = True
        log_message(message_type="lease:draining", endpoint=self.record.name)
        yield self.renew()
