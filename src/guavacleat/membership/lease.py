"""The endpoint lease: the sidecar renews ``endpoints/<name>`` with each heartbeat."""

from eliot import log_message
from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime

from guavacleat.membership.records import ENDPOINT_KIND, EndpointRecord
from guavacleat.periodic import Periodic
from guavacleat.store import ConflictError, StoreClient, StoreUnavailableError

__all__ = ["Lease", "HEARTBEAT_SECONDS", "LEASE_SECONDS"]

HEARTBEAT_SECONDS = 1.0
LEASE_SECONDS = 3.0
# A write without a response is read back one heartbeat later; fewer sessions than this start in
# that time.
MAX_DISPLACED_SESSIONS = 8


class Lease:
    """Renews one endpoint record every ``HEARTBEAT_SECONDS`` with a conditional write.

    The sidecar started last for an endpoint holds the lease. A sidecar that finds another session
    in its record (it was paused and replaced) has lost the lease permanently: it stops renewing
    and calls ``on_superseded``. Overwriting the record would make requests alternate between the
    two sidecars.
    """

    def __init__(
        self, clock: IReactorTime, store: StoreClient, record: EndpointRecord, on_superseded=None
    ):
        self.clock = clock
        self.store = store
        self.record = record
        self.on_superseded = on_superseded or (lambda: None)
        self.version: int | None = None
        # Whether a write of this session is known to have succeeded.
        self.held = False
        # The session that this one's first write was to displace.
        self.previous_session: str | None = None
        self.superseded = False
        self.failures = 0
        self.heartbeat = Periodic(clock, HEARTBEAT_SECONDS, self.renew)

    @defer.inlineCallbacks
    def renew(self):
        """Write the record once; a failed write is counted and retried at the next heartbeat."""
        if self.superseded:
            return
        self.record.beat += 1
        try:
            yield self._write()
        except (ConflictError, StoreUnavailableError):
            # Another session wrote the record, or this write took effect but its response was
            # lost. The next heartbeat reads the record before writing.
            self.version = None
            self.failures += 1

    @defer.inlineCallbacks
    def _write(self):
        if self.version is None:
            current = yield self.store.get(ENDPOINT_KIND, self.record.name)
            if current is not None and self._is_taken_over(current.value):
                self._stop_superseded()
                return
            self.version = current.version if current else 0
            self._record_displaced(current)
        stored = yield self.store.put(
            ENDPOINT_KIND, self.record.name, self.record.to_json(), self.version
        )
        self.version = stored.version
        self.held = True

    def _record_displaced(self, current) -> None:
        """Name the displaced sessions in the record: they learn that their writes were applied."""
        if current is None or current.value.get("session") == self.record.session:
            return
        sessions = (current.value.get("session", ""), *current.value.get("displaced", ()))
        self.record.displaced = sessions[:MAX_DISPLACED_SESSIONS]

    def _is_taken_over(self, value: dict) -> bool:
        """Whether another session has taken the record over from this one.

        A first write without a response may not have displaced the previous session. The record
        then still names that session, which does not count as a takeover.
        """
        session = value.get("session", "")
        if session == self.record.session:
            self.held = True
            return False
        if self.held or self.record.session in value.get("displaced", ()):
            return True
        if self.previous_session is None:
            self.previous_session = session
        return session != self.previous_session

    def _stop_superseded(self) -> None:
        self.superseded = True
        self.heartbeat.stop()
        log_message(message_type="lease:superseded", endpoint=self.record.name)
        self.on_superseded()

    @defer.inlineCallbacks
    def mark_draining(self):
        """Announce that the endpoint is leaving; gateways send it no new requests."""
        self.record.draining = True
        log_message(message_type="lease:draining", endpoint=self.record.name)
        yield self.renew()
