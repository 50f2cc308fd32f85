"""Who listens to the store, and what the others know of it from their peers.

Each call of the store is paid for, and a change wakes every watch. So a few gateways listen. Each
gateway chooses them alone among those that it hears of (rendezvous hashing): nothing is agreed,
and where views differ, one more or one less listens. The others take what they are told:

- of endpoints, the changes. A report says after which revision its changes are complete, so that a
  lost one is noticed as a gap; a gap that reports don't fill is filled from the store;
- of the configuration, the version in force. A newer one is read from the store at once.

What is told ages. A listener that is frozen, cut off or deaf tells nothing newer, and whoever
knows nothing recent enough from anybody listens itself, each after a time of its own.
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

# Listeners of a deployment, spread evenly over its data centres, at least one in each: with one
# alone, all would be deaf while it falls silent.
WATCHERS = 6
# So long after its start a gateway leaves listening to others: it has just read everything, and
# does not know yet whom it has for peers.
SETTLE_SECONDS = 0.6
# Knowledge older than this is not relied on; each gateway draws its own limit. A listener whose
# watch brings nothing knows more every two seconds, and half a second later it is told.
STALE_SECONDS = (2.6, 4.0)
# Time in which a gap is usually filled by other reports.
GAP_SECONDS = 0.5
# A gateway lists the endpoints itself after so long, whatever it was told: one that wrongly
# believed itself complete would stay wrong.
RELIST_SECONDS = (15.0, 30.0)


class WatcherSelection:
    """Whether this gateway is one of those that listen to the store.

    :param data_centres: returns how many data centres have gateways.
    """

    def __init__(
        self,
        clock: IReactorTime,
        instance: str,
        book: PeerTable,
        registry: EndpointRegistry,
        data_centres,
    ):
        self.clock = clock
        self.settled_at = clock.seconds() + SETTLE_SECONDS
        self.instance = instance
        self.book = book
        self.registry = registry
        self.data_centres = data_centres

    def __call__(self) -> bool:
        if self.clock.seconds() < self.settled_at:
            return False
        alive = self.book.alive()
        reaching = [report.instance for report in alive if not report.store_away]
        if not self.registry.store_unreachable():
            reaching.append(self.instance)
        # While nobody reaches the store, some go on trying.
        members = reaching or [self.instance, *(report.instance for report in alive)]
        return self.instance in select_members(members, "store", self._count())

    def _count(self) -> int:
        return max(1, math.ceil(WATCHERS / max(1, self.data_centres())))


class _Known:
    """What is known of one kind of object, and when it was the newest.

    :ivar as_of: clock time at which nothing newer existed.
    """

    def __init__(self, clock: IReactorTime):
        self.clock = clock
        self.as_of = float("-inf")
        self.stale_after = random.uniform(*STALE_SECONDS)

    def age(self) -> float | None:
        """Seconds since it was the newest, None if it never was."""
        return None if math.isinf(self.as_of) else self.clock.seconds() - self.as_of

    def is_stale(self) -> bool:
        return self.clock.seconds() - self.as_of > self.stale_after

    def _newest_at(self, age: float | None) -> None:
        if age is not None:
            self.as_of = max(self.as_of, self.clock.seconds() - age)


class EndpointSyncState(_Known):
    """How far a gateway knows the endpoints' changes.

    :ivar revision: the store's revision up to which it knows them all; None before a listing.
    """

    def __init__(self, clock: IReactorTime):
        super().__init__(clock)
        self.revision: int | None = None
        self._told_revision = 0
        self._gap_since: float | None = None
        self._audit_at = float("-inf")
        # (clock time, revision known from then on), oldest first.
        self._history: collections.deque[tuple[float, int]] = collections.deque()

    def record_store_answer(self, revision: int) -> None:
        """The store itself told everything up to ``revision``."""
        self._audit_at = self.clock.seconds() + random.uniform(*RELIST_SECONDS)
        self._newest_at(0.0)
        self._advance(revision)

    def observe_report(self, report: GatewayReport) -> None:
        """Take in how far a peer knows, after the changes that it told."""
        told = report.endpoints_revision
        if told is None or self.revision is None:
            return
        self._told_revision = max(self._told_revision, told)
        complete = report.changes_since is not None and report.changes_since <= self.revision
        if told <= self.revision or complete:
            self._newest_at(report.endpoints_age)
            self._advance(told)
        elif self._gap_since is None:
            self._gap_since = self.clock.seconds()

    def latest_reported_era(self) -> int:
        """The latest era of the store that a peer told."""
        return Revision(self._told_revision).era

    def must_query_store(self) -> bool:
        """Whether the store has to be asked, as peers don't tell enough."""
        since = self._gap_since
        gap = since is not None and self.clock.seconds() - since > GAP_SECONDS
        return gap or self.is_stale()

    def relist_is_due(self) -> bool:
        """Whether the endpoints should be listed, as nothing was heard from the store for long."""
        return self.clock.seconds() >= self._audit_at

    def complete_since(self, seconds: float) -> int | None:
        """The revision that was known ``seconds`` ago, or as early as any was."""
        oldest = self.clock.seconds() - seconds
        known = [revision for at, revision in self._history if at < oldest]
        if known:
            return known[-1]
        return self._history[0][1] if self._history else None

    def _advance(self, revision: int) -> None:
        if self.revision is None or revision > self.revision:
            self.revision = revision
            self._history.append((self.clock.seconds(), revision))
            self._forget_old()
        if self.revision >= self._told_revision:
            self._gap_since = None

    def _forget_old(self) -> None:
        oldest = self.clock.seconds() - CHANGE_RETENTION_SECONDS
        while len(self._history) > 1 and self._history[1][0] < oldest:
            self._history.popleft()


class ConfigurationSyncState(_Known):
    """Whether the configuration in force is the newest.

    :param version: returns the version in force, None while there is none.
    :param on_newer: called when a peer has a newer one.
    """

    def __init__(self, clock: IReactorTime, version, on_newer=lambda: None):
        super().__init__(clock)
        self.version = version
        self.on_newer = on_newer
        self.told: int | None = None

    def record_store_answer(self) -> None:
        """The store told the newest."""
        self._newest_at(0.0)

    def observe_report(self, report: GatewayReport) -> None:
        """Take in which version a peer has in force."""
        told, own = report.configuration, self.version()
        if told is None or own is None:
            return
        self.told = told if self.told is None else max(self.told, told)
        if told == own:
            self._newest_at(report.configuration_age)
        elif told > own:
            self.on_newer()

    def must_query_store(self) -> bool:
        own = self.version()
        behind = own is None or (self.told is not None and self.told > own)
        return behind or self.is_stale()
