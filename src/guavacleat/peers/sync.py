"""Selection of the gateways that watch the store, and sync state of the others.

Store calls are billed, and each change completes every watch. Therefore only a few gateways, the
watchers, watch the store. Each gateway selects them by rendezvous hashing among its live peers;
where peers' views differ, there are temporarily more or fewer watchers. The other gateways rely on
gossip:

- For endpoints, reports contain changes and the revision after which these are complete. A lost
  report is detected as a gap; a gap that other reports don't fill is filled from the store.
- For the configuration, reports contain the version in force. A newer one is read from the store
  at once.

Gossiped state expires. When no peer confirms it as recent, for example because the watchers are
frozen or partitioned, a gateway queries the store itself, after a randomised time.
"""

import collections
import math
import random

from twisted.internet.interfaces import IReactorTime

from guavacleat.membership.registry import CHANGE_RETENTION_SECONDS, EndpointRegistry
from guavacleat.peers.report import GatewayReport
from guavacleat.peers.table import PeerTable
from guavacleat.rendezvous import select_members
from guavacleat.store import Revision

__all__ = ["ConfigurationSyncState", "EndpointSyncState", "WatcherSelection"]

# Watchers in all, spread evenly over the data centres, with at least one in each. More than one,
# so that a failed watcher does not interrupt updates.
WATCHERS = 6
# A gateway is not a watcher for this time after its start: it has just listed all objects, and does
# not know its peers yet.
STARTUP_SECONDS = 0.6
# Maximum age of gossiped state; each gateway draws its own limit from this range. It exceeds a
# watch's wait plus a heartbeat.
STALE_SECONDS = (2.6, 4.0)
# Time to wait for other reports to fill a gap.
GAP_SECONDS = 0.5
# Range of the time after which a gateway lists all endpoints again, which corrects missed changes.
RELIST_SECONDS = (15.0, 30.0)


class WatcherSelection:
    """Whether this gateway is one of the watchers of the store.

    :param data_centre_count: returns the number of data centres with gateways.
    """

    def __init__(
        self,
        clock: IReactorTime,
        instance: str,
        peer_table: PeerTable,
        registry: EndpointRegistry,
        data_centre_count,
    ):
        self.clock = clock
        self.startup_ends_at = clock.seconds() + STARTUP_SECONDS
        self.instance = instance
        self.peer_table = peer_table
        self.registry = registry
        self.data_centre_count = data_centre_count

    def __call__(self) -> bool:
        return self.clock.seconds() >= self.startup_ends_at and self.is_selected()

    def is_selected(self) -> bool:
        """Whether this gateway is a watcher, or becomes one after its startup."""
        alive = self.peer_table.alive()
        with_store_access = [report.instance for report in alive if not report.store_failing]
        if not self.registry.store_unreachable():
            with_store_access.append(self.instance)
        # While no gateway reaches the store, the watchers keep retrying.
        members = with_store_access or [self.instance, *(report.instance for report in alive)]
        return self.instance in select_members(members, "store", self._count())

    def _count(self) -> int:
        return max(1, math.ceil(WATCHERS / max(1, self.data_centre_count())))


class _SyncState:
    """Freshness of the local copy of one kind of object.

    :ivar as_of: clock time at which the copy was last known to be current.
    """

    def __init__(self, clock: IReactorTime):
        self.clock = clock
        self.as_of = float("-inf")
        self.stale_after = random.uniform(*STALE_SECONDS)

    def age(self) -> float | None:
        """Seconds since the copy was last known to be current; None if it never was."""
        return None if math.isinf(self.as_of) else self.clock.seconds() - self.as_of

    def is_stale(self) -> bool:
        return self.clock.seconds() - self.as_of > self.stale_after

    def _confirm_current(self, age: float | None) -> None:
        if age is not None:
            self.as_of = max(self.as_of, self.clock.seconds() - age)


class EndpointSyncState(_SyncState):
    """How completely this gateway knows the endpoints' changes.

    :ivar revision: the store's revision up to which all changes are known; None before a listing.
    """

    def __init__(self, clock: IReactorTime):
        super().__init__(clock)
        self.revision: int | None = None
        self._reported_revision = 0
        self._gap_since: float | None = None
        self._relist_at = float("-inf")
        # (clock time, revision known from that time), oldest first.
        self._history: collections.deque[tuple[float, int]] = collections.deque()

    def record_store_answer(self, revision: int, age: float = 0.0) -> None:
        """Record that the store returned all changes up to ``revision``, ``age`` seconds ago."""
        self._relist_at = self.clock.seconds() + random.uniform(*RELIST_SECONDS)
        self._confirm_current(age)
        self._advance(revision)

    def observe_report(self, report: GatewayReport) -> None:
        """Apply a report's revision, after its changes and evacuations have been applied.

        A report of a release without evacuations is no evidence that they are known.
        """
        reported = report.endpoints_revision
        if reported is None or self.revision is None or report.evacuations is None:
            return
        self._reported_revision = max(self._reported_revision, reported)
        complete = report.changes_since is not None and report.changes_since <= self.revision
        if reported <= self.revision or complete:
            self._confirm_current(report.endpoints_age)
            self._advance(reported)
        elif self._gap_since is None:
            self._gap_since = self.clock.seconds()

    def latest_reported_era(self) -> int:
        """The latest era of the store that a peer has reported."""
        return Revision(self._reported_revision).era

    def must_query_store(self) -> bool:
        """Whether to query the store because of a gap or expired gossip."""
        since = self._gap_since
        gap = since is not None and self.clock.seconds() - since > GAP_SECONDS
        return gap or self.is_stale()

    def relist_is_due(self) -> bool:
        """Whether to list the endpoints again, as the last response of the store is too old."""
        return self.clock.seconds() >= self._relist_at

    def complete_since(self, seconds: float) -> int | None:
        """The revision after which the changes recorded in the last ``seconds`` are complete.

        This is the revision known ``seconds`` ago, or else the earliest one remembered.
        """
        oldest = self.clock.seconds() - seconds
        earlier = [revision for at, revision in self._history if at < oldest]
        if earlier:
            return earlier[-1]
        return self._history[0][1] if self._history else None

    def _advance(self, revision: int) -> None:
        if self.revision is None or revision > self.revision:
            self.revision = revision
            self._history.append((self.clock.seconds(), revision))
            self._prune_history()
        if self.revision >= self._reported_revision:
            self._gap_since = None

    def _prune_history(self) -> None:
        oldest = self.clock.seconds() - CHANGE_RETENTION_SECONDS
        while len(self._history) > 1 and self._history[1][0] < oldest:
            self._history.popleft()


class ConfigurationSyncState(_SyncState):
    """Whether the configuration in force is the latest.

    :param version: returns the version in force, or None if there is none.
    :param on_newer: called when a peer reports a newer version.
    """

    def __init__(self, clock: IReactorTime, version, on_newer=lambda: None):
        super().__init__(clock)
        self.version = version
        self.on_newer = on_newer
        self.reported_version: int | None = None

    def record_store_answer(self) -> None:
        """Record that the store returned the latest configuration."""
        self._confirm_current(0.0)

    def observe_report(self, report: GatewayReport) -> None:
        """Apply the version that a peer has in force."""
        reported, own = report.configuration_version, self.version()
        if reported is None or own is None:
            return
        self.reported_version = (
            reported if self.reported_version is None else max(self.reported_version, reported)
        )
        if reported == own:
            self._confirm_current(report.configuration_age)
        elif reported > own:
            self.on_newer()

    def must_query_store(self) -> bool:
        own = self.version()
        behind = own is None or (self.reported_version is not None and self.reported_version > own)
        return behind or self.is_stale()
