"""The sidecar's side of membership: renew ``endpoints/<name>`` on a heartbeat."""

from eliot import log_message
from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime

from guavacleat.membership.records import ENDPOINT_KIND, EndpointRecord
from guavacleat.periodic import Periodic
from guavacleat.store import ConflictError, StoreClient, StoreUnavailableError

__all__ = ["Lease", "HEARTBEAT_SECONDS", "LEASE_SECONDS"]

HEARTBEAT_SECONDS = 1.0
LEASE_SECONDS = 3.0
# Sessions that a record names as displaced. An unanswered write is read back a heartbeat later; so
# many instances do not start for one endpoint meanwhile.
DISPLACED_KEPT = 8


class Lease:
    """Renews one endpoint record every ``HEARTBEAT_SECONDS`` with a conditional write.

    The latest sidecar started for an endpoint holds the lease. One that finds its record in
    another session's hands (it was paused, and its replacement took over) has lost the lease for
    good: it stops renewing and calls ``on_superseded``, instead of writing its own address over
    its replacement's, which would send requests back and forth between the two.
    """

    def __init__(
        self, clock: IReactorTime, store: StoreClient, record: EndpointRecord, on_superseded=None
    ):
        self.clock = clock
        self.store = store
        self.record = record
        self.on_superseded = on_superseded or (lambda: None)
        self.version: int | None = None
        self.held = False
        self.displaced: str | None = None
        self.superseded = False
        self.failures = 0
        self.rounds = Periodic(clock, HEARTBEAT_SECONDS, self.renew)

    @defer.inlineCallbacks
    def renew(self):
        """Write the record once; a lost or refused write is counted and retried next beat."""
        if self.superseded:
            return
        self.record.beat += 1
        try:
            yield self._write()
        except (ConflictError, StoreUnavailableError):
            # Another session moved the record, or our own write applied and its answer was
            # lost; the next beat reads the record to tell which before writing.
            self.version = None
            self.failures += 1

    @defer.inlineCallbacks
    def _write(self):
        if self.version is None:
            current = yield self.store.get(ENDPOINT_KIND, self.record.name)
            if current is not None and self._taken_over(current.value):
                self._step_down()
                return
            self.version = current.version if current else 0
            self._note_displaced(current)
        stored = yield self.store.put(
            ENDPOINT_KIND, self.record.name, self.record.to_json(), self.version
        )
        self.version = stored.version
        self.held = True

    def _note_displaced(self, current) -> None:
        """Name in the record the sessions before this one: their writes were done."""
        if current is None or current.value.get("session") == self.record.session:
            return
        before = (current.value.get("session", ""), *current.value.get("displaced", ()))
        self.record.displaced = before[:DISPLACED_KEPT]

    def _taken_over(self, value: dict) -> bool:
        """Whether the record has gone to another session since this one took it.

        A first write with no answer may have lost to the session it meant to displace, which is
        no reason to step down: only a third session's record is.
        """
        session = value.get("session", "")
        if session == self.record.session:
            self.held = True
            return False
        if self.held or self.record.session in value.get("displaced", ()):
            return True
        if self.displaced is None:
            self.displaced = session
        return session != self.displaced

    def _step_down(self) -> None:
        self.superseded = True
        self.rounds.stop()
        log_message(message_type="lease:superseded", endpoint=self.record.name)
        self.on_superseded()

    @defer.inlineCallbacks
    def mark_draining(self):
        """Announce that the endpoint is leaving; gateways stop sending it new work."""
        self.record.draining = True
        log_message(message_type="lease:draining", endpoint=self.record.name)
        yield self.renew()
