"""Endpoints that register themselves in the object API, as one gateway knows them.

An entry that disappears usually means that its endpoint is leaving. While the store is away,
though, entries lapse although their endpoints live; those come back within
``REREGISTRATION_SECONDS`` of
the store's return. Entries removed in that time are kept until it has passed: dropping them at
once would leave a gateway without any endpoint just after an outage.

An endpoint may start again under the id that it had. Its entry then tells another start, and
nothing holds that was believed of the process before. An entry that nobody can read names no
endpoint to use, although the endpoint may be there: it gets no new work, and what runs on it goes
on.
"""

import enum

from eliot import log_message
from twisted.internet.interfaces import IReactorTime

from guavacleat.addresses import format_address
from guavacleat.store import Revision

__all__ = [
    "EndpointChange",
    "EndpointEntry",
    "EndpointRegistry",
    "EndpointState",
    "REREGISTRATION_SECONDS",
]

# Time that live endpoints need to register again after an outage of the store: two seconds by
# the platform's word, and a margin for the watch that brings the news.
REREGISTRATION_SECONDS = 2.3
# How long a change is told to peers: longer than a gateway is usually cut off from the store.
CHANGE_RETENTION_SECONDS = 15.0
# A gateway whose calls of the store failed leaves listening to others for so long.
UNREACHABLE_SECONDS = 5.0


class EndpointState(enum.Enum):
    """Whether an endpoint takes new work."""

    READY = "ready"
    DRAINING = "draining"
    # The entry is not the endpoint's own or cannot be read; whether the endpoint leaves is unknown.
    UNUSABLE = "unusable"


class EndpointEntry:
    """One incarnation of an endpoint.

    :param id: the endpoint's id; most restarts have another.
    :param address: ``(ip, port)`` of its HTTP listener; may later belong to another service.
    :param slots: requests it processes at a time.
    :param revision: the store's revision of the entry; a later one replaces it.
    :param started_ms: Unix millisecond at which its process started; None if it does not say.
    """

    __slots__ = (
        "id",
        "service",
        "address",
        "data_centre",
        "slots",
        "state",
        "revision",
        "started_ms",
    )

    def __init__(
        self,
        id: str,
        service: str,
        address: tuple[str, int],
        data_centre: str,
        slots: int,
        state: EndpointState,
        revision: int = 0,
        started_ms: int | None = None,
    ):
        self.id = id
        self.service = service
        self.address = address
        self.data_centre = data_centre
        self.slots = slots
        self.state = state
        self.revision = revision
        self.started_ms = started_ms

    def is_same_process(self, other: "EndpointEntry") -> bool:
        """Whether both entries tell of the same start of the same endpoint."""
        return self.id == other.id and self.started_ms == other.started_ms

    def started_before(self, other: "EndpointEntry") -> bool:
        """Whether this entry is of an earlier start; False where either does not say."""
        if self.started_ms is None or other.started_ms is None:
            return False
        return self.started_ms < other.started_ms

    def in_state(self, state: EndpointState, revision: int) -> "EndpointEntry":
        """The same process, in ``state`` since ``revision``."""
        return EndpointEntry(
            self.id,
            self.service,
            self.address,
            self.data_centre,
            self.slots,
            state,
            revision,
            self.started_ms,
        )


class EndpointChange:
    """The newest that is known of an endpoint: its entry, or None if it is gone."""

    __slots__ = ("id", "revision", "entry", "at")

    def __init__(self, id: str, revision: int, entry: EndpointEntry | None, at: float = 0.0):
        self.id = id
        self.revision = revision
        self.entry = entry
        self.at = at


class EndpointRegistry:
    """Entries by id; tells ``on_leaving(entry)`` once about each endpoint that will go.

    ``on_restarted(entry)`` hears the former entry of an endpoint that started again under its id.
    ``on_change()`` is called when something changed that peers should hear of. A gateway that is
    cut off from the store learns from its peers (:meth:`hear`) that an endpoint is leaving or has
    come; without that it lost every stream on engines that were taken away meanwhile, and kept
    sending to them.
    """

    def __init__(self, clock: IReactorTime, on_leaving=None, on_restarted=None):
        self.clock = clock
        self.on_leaving = on_leaving or (lambda entry: None)
        self.on_restarted = on_restarted or (lambda entry: None)
        self.entries_by_id: dict[str, EndpointEntry] = {}
        self.on_change = lambda: None
        self.left_ids: set[str] = set()
        # Clock time at which an endpoint of each service was last heard to be leaving.
        self.left_at_by_service: dict[str, float] = {}
        self.changes_by_id: dict[str, EndpointChange] = {}
        self.lapsed_ids: set[str] = set()
        # Ids whose entries cannot be read, so that each is told once and not with each heartbeat.
        self.unreadable_ids: set[str] = set()
        # None until it is heard: a gateway with a routes file has no store to hear.
        # Revisions of the entries, by id, that came back with a copy of the store.
        self.copied_by_id: dict[str, Revision] = {}
        self.store_heard_at: float | None = None
        self.store_lost_at: float | None = None
        self.store_back_at: float | None = None
        self.store_failed_at: float | None = None

    def observe(self, entry: EndpointEntry) -> None:
        """Take in an entry as the store holds it, unless a later one is known."""
        known = self.changes_by_id.get(entry.id)
        if known is not None and known.revision > entry.revision:
            return
        previous = self.entries_by_id.get(entry.id)
        if self._is_copied(entry, known, previous):
            return
        if previous is not None and entry.started_before(previous):
            # A heartbeat of the former process, written late: what it says holds no more.
            return
        if entry.state is not EndpointState.UNUSABLE:
            self.unreadable_ids.discard(entry.id)
        self.lapsed_ids.discard(entry.id)
        self.entries_by_id[entry.id] = entry
        restarted = previous is not None and previous.started_before(entry)
        if restarted:
            self._restarted(previous)
        if restarted or previous is None or previous.state is not entry.state:
            self._log(entry, entry.state.value)
            self._note(entry.id, entry.revision, entry)
        if entry.state is EndpointState.DRAINING:
            self._leaving(entry)
        elif entry.state is EndpointState.READY:
            self.left_ids.discard(entry.id)

    def _is_copied(self, entry, known: EndpointChange | None, previous) -> bool:
        """Whether an entry says what held before it is known to have ended, or to leave.

        A store that comes back from a copy has such entries. An endpoint that lives writes its own
        again within a second or so, and is then believed.
        """
        is_gone = known is not None and known.entry is None
        leaves = previous is not None and previous.state is EndpointState.DRAINING
        if leaves and not (entry.state is EndpointState.READY and entry.is_same_process(previous)):
            leaves = False
        if not (is_gone or leaves):
            return False
        era = Revision(entry.revision).era
        if Revision(known.revision if is_gone else previous.revision).era >= era:
            return False
        return entry.revision <= self.copied_by_id.setdefault(entry.id, entry.revision)

    def observe_unreadable(self, id: str, revision: int, error: str) -> None:
        """Take in that the store's entry of this id cannot be read."""
        if id not in self.unreadable_ids:
            self.unreadable_ids.add(id)
            log_message(message_type="endpoint:unreadable", endpoint=id, error=error)
        entry = self.entries_by_id.get(id)
        if entry is None or entry.state is EndpointState.DRAINING or entry.revision > revision:
            return
        self.observe(entry.in_state(EndpointState.UNUSABLE, revision))

    def observe_leaving(self, entry: EndpointEntry) -> None:
        """Take in that the endpoint itself says that it leaves, while the store cannot tell.

        Peers take it for the change that follows the entry: no write to the store can have a lower
        revision.
        """
        self.observe(entry.in_state(EndpointState.DRAINING, entry.revision + 1))

    @property
    def store_away(self) -> bool:
        """Whether the store did not answer the last call of the watch."""
        return self.store_lost_at is not None

    def store_silence(self) -> float:
        """Seconds since the store last answered; 0 while it never did."""
        if self.store_heard_at is None:
            return 0.0
        return self.clock.seconds() - self.store_heard_at

    def is_current(self, entry: EndpointEntry) -> bool:
        """Whether the process of ``entry`` is the one known under its id."""
        current = self.entries_by_id.get(entry.id)
        return current is not None and current.is_same_process(entry)

    def _restarted(self, former: EndpointEntry) -> None:
        self.left_ids.discard(former.id)
        self._log(former, "restarted")
        self.on_restarted(former)

    def remove(self, id: str, revision: int = 0) -> None:
        """Take in that the store holds no entry of this id any more, since ``revision``."""
        self.unreadable_ids.discard(id)
        entry = self.entries_by_id.get(id)
        if entry is None or id in self.lapsed_ids:
            return
        if revision and entry.revision > revision:
            # A peer told already that the endpoint is back.
            return
        if entry.state is EndpointState.READY and self._may_have_lapsed():
            self.lapsed_ids.add(id)
            self._log(entry, "lapsed")
            self.clock.callLater(self._return_time_left(), self._drop_if_lapsed, id)
            return
        self._drop(id, revision)

    def observe_peer_change(self, change: EndpointChange, known_to: int | None = None) -> None:
        """Take in what a peer learnt from the store, unless as much is known here.

        :param known_to: the store's revision up to which everything is known here. An endpoint that
            is none of those known then was removed, and the peer has not heard of that.
        """
        known = self.changes_by_id.get(change.id)
        if known is not None and known.revision >= change.revision:
            return
        entry = self.entries_by_id.get(change.id)
        if change.entry is not None:
            if entry is not None or known_to is None or change.revision > known_to:
                self.observe(change.entry)
            return
        # An endpoint may register again under its id before the peer's word of its end arrives.
        if entry is not None and entry.revision <= change.revision:
            self._drop(change.id, change.revision)

    def recent_changes(self, seconds: float = CHANGE_RETENTION_SECONDS) -> list[EndpointChange]:
        """Changes of the last ``seconds``, for peers; what is older than all is forgotten."""
        now = self.clock.seconds()
        oldest = now - CHANGE_RETENTION_SECONDS
        old = [
            id
            for id, change in self.changes_by_id.items()
            if change.at < oldest and id not in self.entries_by_id
        ]
        for id in old:
            del self.changes_by_id[id]
        return [change for change in self.changes_by_id.values() if change.at >= now - seconds]

    def observe_listing(self, ids: set[str], revision: int | None = None) -> None:
        """Take in a whole listing: every entry not in it is gone.

        What a peer told of later than the listing's ``revision`` is left as it is.
        """
        self.unreadable_ids &= ids
        for id in set(self.entries_by_id) - ids:
            if revision is None or self.entries_by_id[id].revision <= revision:
                self.remove(id)

    def record_store_call(self, healthy: bool) -> None:
        """Hear whether the store answered some call."""
        if healthy:
            self.store_heard_at = self.clock.seconds()

    def record_store_health(self, healthy: bool) -> None:
        """Hear whether the store answered the last call of the watch."""
        now = self.clock.seconds()
        self.record_store_call(healthy)
        self.store_failed_at = None if healthy else now
        if not healthy and self.store_lost_at is None:
            self.store_lost_at = now
            log_message(message_type="store:lost")
        elif healthy:
            self._store_is_back()

    def record_store_reached_by_peer(self, at: float) -> None:
        """Hear that the store answered a peer at clock time ``at``.

        A gateway that no longer asks would believe the store away until it asks again, and then
        take what was removed meanwhile for lapsed.
        """
        if self.store_lost_at is not None and at > self.store_lost_at:
            self._store_is_back()

    def store_restored(self) -> None:
        """Hear that the store came back from a copy: endpoints that came since write again."""
        self.copied_by_id.clear()
        self.store_back_at = self.clock.seconds()

    def record_store_silence(self) -> None:
        """Hear, on a gateway that does not ask the store itself, that nobody hears it just now.

        Entries may lapse meanwhile, which this gateway would take for removed if it asked next.
        """
        if self.store_lost_at is None:
            self.store_back_at = self.clock.seconds()

    def _store_is_back(self) -> None:
        if self.store_lost_at is None:
            return
        now = self.clock.seconds()
        log_message(message_type="store:back", outage=round(now - self.store_lost_at, 3))
        self.store_lost_at = None
        self.store_back_at = now

    def store_unreachable(self) -> bool:
        """Whether this gateway's own calls of the store failed lately."""
        failed_at = self.store_failed_at
        return failed_at is not None and self.clock.seconds() - failed_at < UNREACHABLE_SECONDS

    def remove_stale(self, id: str) -> None:
        """Another incarnation answered at this endpoint's address: the entry is out of date."""
        if id in self.entries_by_id:
            self._drop(id)

    def ready(self, service: str) -> list[EndpointEntry]:
        """Endpoints of ``service`` that take new work."""
        return [entry for entry in self.all_ready() if entry.service == service]

    def all_ready(self) -> list[EndpointEntry]:
        """Endpoints of all services that take new work."""
        return [
            entry for entry in self.entries_by_id.values() if entry.state is EndpointState.READY
        ]

    def seconds_since_leaving(self, service: str) -> float:
        """Time since an endpoint of the service was last heard to be leaving."""
        return self.clock.seconds() - self.left_at_by_service.get(service, float("-inf"))

    def _may_have_lapsed(self) -> bool:
        return self.store_away or self._return_time_left() > 0

    def _return_time_left(self) -> float:
        if self.store_back_at is None:
            return 0.0
        return max(0.0, self.store_back_at + REREGISTRATION_SECONDS - self.clock.seconds())

    def _drop_if_lapsed(self, id: str) -> None:
        if id in self.lapsed_ids:
            self._drop(id)

    def _drop(self, id: str, revision: int = 0) -> None:
        self.lapsed_ids.discard(id)
        entry = self.entries_by_id.pop(id)
        self._log(entry, "gone")
        self._note(id, max(revision, entry.revision + 1), None)
        self._leaving(entry)
        self.left_ids.discard(id)

    def _note(self, id: str, revision: int, entry: EndpointEntry | None) -> None:
        self.changes_by_id[id] = EndpointChange(id, revision, entry, self.clock.seconds())
        self.on_change()

    def _leaving(self, entry: EndpointEntry) -> None:
        if entry.id not in self.left_ids:
            self.left_ids.add(entry.id)
            self.left_at_by_service[entry.service] = self.clock.seconds()
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
