"""A gateway's register of evacuated data centres.

Operators evacuate a data centre by an object with its name in the store, and restore it by removing
the object. Gateways learn of both from the store or from the reports of their peers. Each report
contains the complete register, as there are few data centres, so that a lost report is made up for
by the next one.

Changes are ordered by their revision. An older one, from a peer that is behind or a delayed
response, is ignored: it must not send requests back into an evacuated data centre. Until the
register is complete for the first time, no data centre is usable.

A store that was restored from a backup may lack an evacuation until the operators write it again.
Evacuations that are missing from its listings are therefore kept for ``REWRITE_SECONDS``.
"""

from collections.abc import Iterable

from eliot import log_message
from twisted.internet.interfaces import IReactorTime

from guavacleat.store import Revision

__all__ = ["REWRITE_SECONDS", "EvacuationChange", "EvacuationRegister"]

# Time after a restore of the store from a backup in which operators and endpoints write again what
# the backup lacks.
REWRITE_SECONDS = 3.0


class EvacuationChange:
    """The evacuation of a data centre, or its end, at a revision of the store."""

    __slots__ = ("data_centre", "revision", "evacuated")

    def __init__(self, data_centre: str, revision: int, evacuated: bool):
        self.data_centre = data_centre
        self.revision = revision
        self.evacuated = evacuated


class EvacuationRegister:
    """The latest change of each data centre that was ever evacuated.

    ``on_evacuated(data_centre)`` and ``on_restored(data_centre)`` are called when an evacuation
    begins and ends, ``on_change()`` after each change to be gossiped.

    :ivar complete_to: the store's revision up to which all changes are known; None before the first
        listing or report.
    :ivar as_of: clock time at which that was the store's latest revision.
    """

    def __init__(
        self,
        clock: IReactorTime,
        on_evacuated=lambda data_centre: None,
        on_restored=lambda data_centre: None,
    ):
        self.clock = clock
        self.on_evacuated = on_evacuated
        self.on_restored = on_restored
        self.on_change = lambda: None
        self.changes_by_data_centre: dict[str, EvacuationChange] = {}
        self.complete_to: int | None = None
        self.as_of = float("-inf")
        self._era = 0
        # Clock time until which a restored store may lack evacuations.
        self._rewritten_at = float("-inf")

    def is_usable(self, data_centre: str) -> bool:
        """Whether the endpoints of the data centre may get new requests."""
        return self.complete_to is not None and not self.is_evacuated(data_centre)

    def is_evacuated(self, data_centre: str) -> bool:
        change = self.changes_by_data_centre.get(data_centre)
        return change is not None and change.evacuated

    def evacuated_names(self) -> list[str]:
        """The names of the evacuated data centres, sorted."""
        return sorted(filter(self.is_evacuated, self.changes_by_data_centre))

    def observe(self, change: EvacuationChange) -> None:
        """Apply a change unless a later one of its data centre is known."""
        latest = self.changes_by_data_centre.get(change.data_centre)
        was_evacuated = latest is not None and latest.evacuated
        if latest is not None and latest.revision >= change.revision:
            # The removal of an object may have the revision of its last write.
            ends = was_evacuated and not change.evacuated
            if latest.revision > change.revision or not ends:
                return
        self.changes_by_data_centre[change.data_centre] = change
        if change.evacuated is not was_evacuated:
            self._apply(change)

    def _apply(self, change: EvacuationChange) -> None:
        log_message(
            message_type="evacuation:began" if change.evacuated else "evacuation:ended",
            data_centre=change.data_centre,
            revision=str(change.revision),
        )
        if change.evacuated:
            self.on_evacuated(change.data_centre)
        else:
            self.on_restored(change.data_centre)
        self.on_change()

    def observe_listing(self, names: Iterable[str], revision: int, age: float = 0.0) -> None:
        """Apply a complete listing of the evacuated data centres, made ``age`` seconds ago."""
        self._observe_era(revision)
        listed = set(names)
        for change in list(self.changes_by_data_centre.values()):
            missing = change.evacuated and change.data_centre not in listed
            if missing and change.revision <= revision and not self._may_be_rewritten(change):
                self.observe(EvacuationChange(change.data_centre, Revision(revision), False))
        self.observe_complete(revision, age)

    def observe_complete(self, revision: int, age: float = 0.0) -> None:
        """Record that all changes up to ``revision`` are known, as of ``age`` seconds ago."""
        self.as_of = max(self.as_of, self.clock.seconds() - age)
        self._observe_era(revision)
        first = self.complete_to is None
        if first or revision > self.complete_to:
            self.complete_to = revision
        if first:
            self.on_change()

    def _observe_era(self, revision: int) -> None:
        """Notice that the store was restored from a backup since the last complete revision."""
        era = Revision(revision).era
        if self.complete_to is not None and era > self._era:
            self._rewritten_at = self.clock.seconds() + REWRITE_SECONDS
        self._era = max(self._era, era)

    def observe_peer(
        self, changes: Iterable[EvacuationChange], complete_to: int | None, age: float | None
    ) -> None:
        """Apply a peer's register.

        :param complete_to: the revision up to which the peer's register is complete; None if it is
            not.
        :param age: seconds since that was the store's latest revision.
        """
        changes = list(changes)
        for change in changes:
            known = change.data_centre in self.changes_by_data_centre
            if known or self._is_news(change):
                self.observe(change)
        if complete_to is not None:
            evacuated = {change.data_centre for change in changes if change.evacuated}
            self.observe_listing(evacuated, complete_to, float("inf") if age is None else age)

    def _is_news(self, change: EvacuationChange) -> bool:
        """Whether a peer's change of an unknown data centre has not been undone since."""
        if self.complete_to is None or change.revision > self.complete_to:
            return True
        return self._may_be_rewritten(change)

    def _may_be_rewritten(self, change: EvacuationChange) -> bool:
        """Whether the store may lack the change only because it was restored from a backup."""
        return self._is_of_earlier_era(change) and self.clock.seconds() < self._rewritten_at

    def _is_of_earlier_era(self, change: EvacuationChange) -> bool:
        return Revision(change.revision).era < self._era

    def needs_listing(self) -> bool:
        """Whether an evacuation was kept after a restore and may have ended meanwhile."""
        return self.clock.seconds() >= self._rewritten_at and any(
            change.evacuated and self._is_of_earlier_era(change)
            for change in self.changes_by_data_centre.values()
        )
