"""A gateway's registry of the endpoints that register themselves in the object API.

A removed entry usually means that its endpoint is leaving. During a long outage of the store,
however, entries lapse while their endpoints run; those register again within
``REREGISTRATION_SECONDS`` after the outage (see ``outages``). Entries removed in that time are kept
until it has passed, as otherwise a gateway would have no endpoints just after an outage.

An endpoint may restart with the same id. Its entry then has another start time, usually a later one
(see ``succession``), and the state of the previous process no longer applies. An endpoint whose
entry is unreadable gets no new requests; requests in progress on it continue.
"""

from eliot import log_message
from twisted.internet.interfaces import IReactorTime

from guavacleat.addresses import format_address
from guavacleat.membership.entries import (
    ChangeOrigin,
    EndpointChange,
    EndpointEntry,
    EndpointState,
)
from guavacleat.membership.leaving import LeavingEndpoints
from guavacleat.membership.outages import REREGISTRATION_SECONDS, StoreOutages
from guavacleat.membership.succession import ProcessSuccession
from guavacleat.store import Revision

__all__ = ["EndpointRegistry", "REREGISTRATION_SECONDS"]

HEARTBEAT_SECONDS = 1.2
# How long a change is gossiped; longer than the usual partition between a gateway and the store.
CHANGE_RETENTION_SECONDS = 15.0
# After a failed store call a gateway is not selected as a watcher for this time.
UNREACHABLE_SECONDS = 5.0


class EndpointRegistry:
    """Endpoint entries by id, from the store and from peers (:meth:`observe_peer_change`).

    ``on_leaving(entry)`` is called once per incarnation that is leaving or was removed,
    ``on_restarted(previous)`` with the previous entry of an endpoint that restarted with the same
    id, ``on_cold(entry)`` when an endpoint reports that it is cold, and ``on_change(change)`` after
    each :class:`~.entries.EndpointChange` to be gossiped.

    :param heartbeat: interval in seconds at which endpoints write their entries.
    """

    def __init__(
        self,
        clock: IReactorTime,
        on_leaving=None,
        on_restarted=None,
        on_cold=lambda entry: None,
        heartbeat: float = HEARTBEAT_SECONDS,
    ):
        self.clock = clock
        self.on_leaving = on_leaving or (lambda entry: None)
        self.on_restarted = on_restarted or (lambda entry: None)
        self.on_cold = on_cold
        self.entries_by_id: dict[str, EndpointEntry] = {}
        self.on_change = lambda change: None
        # Endpoints reported to ``on_leaving`` that are neither removed nor ready again.
        self.leaving_ids: set[str] = set()
        self.said_leaving = LeavingEndpoints()
        self.succession = ProcessSuccession(clock)
        self.last_leaving_at_by_service: dict[str, float] = {}
        self.changes_by_id: dict[str, EndpointChange] = {}
        # Endpoints removed from the store around an outage, which may register again.
        self.lapsed_ids: set[str] = set()
        # Ids with an unreadable entry; each is logged once, not at each heartbeat.
        self.unreadable_ids: set[str] = set()
        # Revisions of outdated entries from a restored backup of the store.
        self.backup_revisions_by_id: dict[str, Revision] = {}
        # None until the store first responds; a gateway with a routes file has no store.
        self.store_answered_at: float | None = None
        self.store_lost_at: float | None = None
        self.outages = StoreOutages(clock, heartbeat)
        self.store_failed_at: float | None = None

    def observe(self, entry: EndpointEntry, origin: ChangeOrigin = ChangeOrigin.STORE) -> None:
        """Apply an entry unless a later one is known."""
        latest = self.changes_by_id.get(entry.id)
        if latest is not None and latest.revision > entry.revision:
            return
        if entry.state is not EndpointState.DRAINING and entry in self.said_leaving:
            entry = entry.in_state(EndpointState.DRAINING, entry.revision, said_leaving=True)
        previous = self.entries_by_id.get(entry.id)
        if self._is_from_backup(entry, latest, previous):
            return
        is_earlier = previous is not None and entry.started_before(previous)
        confirmed = origin is ChangeOrigin.PEER
        if is_earlier and not self.succession.is_successor(entry, confirmed):
            return
        if entry.state is not EndpointState.UNUSABLE:
            self.unreadable_ids.discard(entry.id)
        self.lapsed_ids.discard(entry.id)
        self.entries_by_id[entry.id] = entry
        self.succession.record_write(entry)
        restarted = is_earlier or (previous is not None and previous.started_before(entry))
        if restarted:
            self._report_restart(previous)
        turned_cold = bool(entry.cold_for) and not (previous is not None and previous.cold_for)
        if restarted or previous is None or previous.state is not entry.state or turned_cold:
            self._log(entry, entry.state.value)
            self._record_change(entry.id, entry.revision, entry, origin)
        if entry.cold_for:
            self.on_cold(entry)
        if entry.state is EndpointState.DRAINING:
            self._report_leaving(entry)
        elif entry.state is EndpointState.READY:
            self.leaving_ids.discard(entry.id)

    def _is_from_backup(self, entry, latest: EndpointChange | None, previous) -> bool:
        """Whether an entry predates the known removal or drain of its endpoint.

        A store that was restored from a backup contains such entries. A live endpoint soon writes
        its entry again with a later revision, which is accepted.
        """
        is_gone = latest is not None and latest.entry is None
        leaves = previous is not None and previous.state is EndpointState.DRAINING
        if leaves and not (entry.state is EndpointState.READY and entry.is_same_process(previous)):
            leaves = False
        if not (is_gone or leaves):
            return False
        era = Revision(entry.revision).era
        if Revision(latest.revision if is_gone else previous.revision).era >= era:
            return False
        return entry.revision <= self.backup_revisions_by_id.setdefault(entry.id, entry.revision)

    def observe_unreadable(self, id: str, revision: int, error: str) -> None:
        """Mark an endpoint as unusable because its entry in the store is unreadable."""
        if id not in self.unreadable_ids:
            self.unreadable_ids.add(id)
            log_message(message_type="endpoint:unreadable", endpoint=id, error=error)
        entry = self.entries_by_id.get(id)
        if entry is None or entry.state is EndpointState.DRAINING or entry.revision > revision:
            return
        self.observe(entry.in_state(EndpointState.UNUSABLE, revision))

    def observe_leaving(self, entry: EndpointEntry) -> None:
        """Mark an endpoint as draining that reported so itself while the store was unreachable.

        The change gets the revision after the entry's, so that any later write in the store
        supersedes it, here and at peers.
        """
        self.observe(
            entry.in_state(EndpointState.DRAINING, entry.revision + 1), ChangeOrigin.ENDPOINT
        )

    def observe_said_leaving(
        self, entry: EndpointEntry, origin: ChangeOrigin = ChangeOrigin.ENDPOINT
    ) -> None:
        """Mark an endpoint as draining that said so in an answer, whatever its entry says."""
        if not self.said_leaving.record(entry):
            return
        current = self.entries_by_id.get(entry.id)
        log_message(
            message_type="endpoint:says-leaving",
            endpoint=entry.id,
            state=None if current is None else current.state.value,
        )
        if not self.is_current(entry):
            return
        if current.state is not EndpointState.DRAINING:
            draining = current.in_state(EndpointState.DRAINING, current.revision, True)
            self.observe(draining, origin)

    @property
    def store_lost(self) -> bool:
        """Whether the last watch call failed and the store has not responded to a peer since."""
        return self.store_lost_at is not None

    def store_silence(self) -> float:
        """Seconds since the store last responded to this gateway; 0 before its first response."""
        if self.store_answered_at is None:
            return 0.0
        return self.clock.seconds() - self.store_answered_at

    def is_current(self, entry: EndpointEntry) -> bool:
        """Whether ``entry`` describes the current process with its id."""
        current = self.entries_by_id.get(entry.id)
        return current is not None and current.is_same_process(entry)

    def is_ready(self, entry: EndpointEntry) -> bool:
        """Whether the process that ``entry`` describes takes new requests."""
        return self.is_current(entry) and self.entries_by_id[entry.id].state is EndpointState.READY

    def drains_since(self, entry: EndpointEntry) -> float | None:
        """Clock time at which the process was found to be draining; None if it isn't."""
        change = self.changes_by_id.get(entry.id)
        if change is None or change.entry is None or not self.is_current(entry):
            return None
        return change.recorded_at if change.entry.state is EndpointState.DRAINING else None

    def _report_restart(self, replaced: EndpointEntry) -> None:
        self.leaving_ids.discard(replaced.id)
        self._log(replaced, "restarted")
        self.on_restarted(replaced)

    def remove(self, id: str, revision: int = 0) -> None:
        """Apply the removal of an entry from the store at ``revision`` (0: unknown)."""
        self.unreadable_ids.discard(id)
        entry = self.entries_by_id.get(id)
        if entry is None or id in self.lapsed_ids:
            return
        if revision and entry.revision > revision:
            # A peer has already reported a later registration.
            return
        if entry.state is EndpointState.READY and self.outages.may_have_lapsed():
            self.lapsed_ids.add(id)
            self._log(entry, "lapsed")
            self._schedule_drop(id)
            return
        self._drop(id, ChangeOrigin.STORE, revision)

    def observe_peer_change(
        self, change: EndpointChange, complete_to_revision: int | None = None
    ) -> None:
        """Apply a change that a peer learned from the store, unless it is already known.

        :param complete_to_revision: the store's revision up to which this gateway knows all
            changes. An unknown endpoint with an earlier revision was removed before it.
        """
        if change.entry is not None and change.entry.said_leaving:
            self.observe_said_leaving(change.entry, ChangeOrigin.PEER)
        latest = self.changes_by_id.get(change.id)
        if latest is not None and latest.revision >= change.revision:
            return
        entry = self.entries_by_id.get(change.id)
        if change.entry is not None:
            if (
                entry is not None
                or complete_to_revision is None
                or change.revision > complete_to_revision
            ):
                self.observe(change.entry, ChangeOrigin.PEER)
            return
        # The endpoint may have registered again since the removal that the peer reports.
        if entry is not None and entry.revision <= change.revision:
            self._drop(change.id, ChangeOrigin.PEER, change.revision)

    def recent_changes(self, seconds: float = CHANGE_RETENTION_SECONDS) -> list[EndpointChange]:
        """Changes of the last ``seconds``, to be gossiped; discards expired removals."""
        now = self.clock.seconds()
        oldest = now - CHANGE_RETENTION_SECONDS
        expired = [
            id
            for id, change in self.changes_by_id.items()
            if change.recorded_at < oldest and id not in self.entries_by_id
        ]
        for id in expired:
            del self.changes_by_id[id]
        return [
            change for change in self.changes_by_id.values() if change.recorded_at >= now - seconds
        ]

    def observe_listing(self, ids: set[str], revision: int | None = None) -> None:
        """Remove all entries that are not in a listing.

        Entries later than the listing's ``revision``, as reported by peers, are kept.
        """
        self.unreadable_ids &= ids
        for id in set(self.entries_by_id) - ids:
            if revision is None or self.entries_by_id[id].revision <= revision:
                self.remove(id)

    def record_store_call(self, healthy: bool) -> None:
        """Record whether a call to the store succeeded."""
        if healthy:
            self.store_answered_at = self.clock.seconds()
            self.outages.record_answer(self.store_answered_at)

    def record_store_health(self, healthy: bool, silent_since: float | None = None) -> None:
        """Record whether the last watch call succeeded.

        :param silent_since: clock time from which on the store may have been silent, if it failed.
        """
        now = self.clock.seconds()
        self.record_store_call(healthy)
        if not healthy:
            self.outages.record_failure(now if silent_since is None else silent_since)
        self.store_failed_at = None if healthy else now
        if not healthy and self.store_lost_at is None:
            self.store_lost_at = now
            log_message(message_type="store:lost")
        elif healthy:
            self._record_store_recovery()

    def record_store_reached_by_peer(self, at: float) -> None:
        """Record that the store responded to a peer at clock time ``at``.

        A gateway that is not a watcher makes no calls itself. It would otherwise still consider
        the store unreachable at its next call, and treat entries removed until then as lapsed.
        """
        self.outages.record_answer(at)
        if self.store_lost_at is not None and at > self.store_lost_at:
            self._record_store_recovery()

    def store_restored(self) -> None:
        """Record that the store was restored from a backup; live endpoints register again."""
        self.backup_revisions_by_id.clear()
        self.outages.record_restore()

    def record_store_silence(self, seconds: float) -> None:
        """Record, on a gateway that is not a watcher, for how long no gateway reached the store.

        Entries that lapse meanwhile would otherwise be treated as removed after this gateway's next
        call.
        """
        if self.store_lost_at is None:
            self.outages.record_failure(self.clock.seconds() - seconds)

    def _record_store_recovery(self) -> None:
        if self.store_lost_at is None:
            return
        now = self.clock.seconds()
        log_message(message_type="store:back", outage=round(now - self.store_lost_at, 3))
        self.store_lost_at = None

    def store_unreachable(self) -> bool:
        """Whether the last watch call failed, less than ``UNREACHABLE_SECONDS`` ago."""
        failed_at = self.store_failed_at
        return failed_at is not None and self.clock.seconds() - failed_at < UNREACHABLE_SECONDS

    def remove_stale(self, id: str) -> None:
        """Remove an entry because another incarnation responded at its address."""
        if id in self.entries_by_id:
            self._drop(id, ChangeOrigin.ENDPOINT)

    def ready(self, service: str) -> list[EndpointEntry]:
        """Endpoints of ``service`` that take new requests."""
        return [entry for entry in self.all_ready() if entry.service == service]

    def all_ready(self) -> list[EndpointEntry]:
        """Endpoints of all services that take new requests."""
        return [
            entry for entry in self.entries_by_id.values() if entry.state is EndpointState.READY
        ]

    def said_leaving_count(self) -> int:
        """The number of known endpoints that said in an answer that they are leaving."""
        return sum(entry.said_leaving for entry in self.entries_by_id.values())

    def seconds_since_leaving(self, service: str) -> float:
        """Seconds since an endpoint of the service was last reported as leaving."""
        return self.clock.seconds() - self.last_leaving_at_by_service.get(service, float("-inf"))

    def _schedule_drop(self, id: str) -> None:
        seconds = self.outages.reregistration_time_left()
        self.clock.callLater(seconds, self._drop_if_lapsed, id)

    def _drop_if_lapsed(self, id: str) -> None:
        if id not in self.lapsed_ids:
            return
        if self.outages.may_have_lapsed():
            # The outage goes on, or another one followed.
            self._schedule_drop(id)
        else:
            self._drop(id, ChangeOrigin.STORE)

    def _drop(self, id: str, origin: ChangeOrigin, revision: int = 0) -> None:
        self.lapsed_ids.discard(id)
        entry = self.entries_by_id.pop(id)
        self.succession.forget(id)
        self._log(entry, "gone")
        self._record_change(id, max(revision, entry.revision + 1), None, origin)
        self._report_leaving(entry)
        self.leaving_ids.discard(id)

    def _record_change(
        self, id: str, revision: int, entry: EndpointEntry | None, origin: ChangeOrigin
    ) -> None:
        change = EndpointChange(id, revision, entry, self.clock.seconds(), origin)
        self.changes_by_id[id] = change
        self.on_change(change)

    def _report_leaving(self, entry: EndpointEntry) -> None:
        if entry.id not in self.leaving_ids:
            self.leaving_ids.add(entry.id)
            self.last_leaving_at_by_service[entry.service] = self.clock.seconds()
            self.on_leaving(entry)

    def _log(self, entry: EndpointEntry, state: str) -> None:
        log_message(
            message_type="endpoint:changed",
            endpoint=entry.id,
            service=entry.service,
            address=format_address(entry.address),
            data_centre=entry.data_centre,
            state=state,
        )
