"""Keeps a gateway's register of evacuations complete without a watch that waits for changes.

The answer to a watch of the endpoints contains the store's revision. If it is later than the
revisions of the endpoint changes that were received, something else has changed, perhaps an
evacuation: only then are the evacuations read. Gateways that don't watch the store leave that to
their peers.
"""

import random

from guavacleat.evacuations import EvacuationChange, EvacuationRegister
from guavacleat.peers.sync import EndpointSyncState
from guavacleat.store.watch import WatchLoop

__all__ = ["EvacuationSync"]

# Range of the delay until a starting gateway lists the evacuations, unless peers report them first.
LISTING_DELAY_SECONDS = (0.05, 0.4)


class _StoreAnswer:
    """The store's revision in an answer, and the clock time of the answer."""

    __slots__ = ("revision", "at")

    def __init__(self, revision: int, at: float):
        self.revision = revision
        self.at = at


class EvacuationSync:
    """Reads evacuations from the store, and records up to which revision endpoints are known.

    :param endpoints: the state of the endpoints; it advances once evacuations are known as well.
    :param should_watch: returns whether this gateway is one of the watchers of the store.
    :param new_watch: creates the :class:`~guavacleat.store.watch.WatchLoop` of evacuations from its
        callback and options.
    """

    def __init__(
        self,
        clock,
        register: EvacuationRegister,
        endpoints: EndpointSyncState,
        should_watch,
        new_watch,
    ):
        self.clock = clock
        self.register = register
        self.endpoints = endpoints
        self.should_watch = should_watch
        # The last answer to a watch or listing of the endpoints.
        self._endpoint_answer: _StoreAnswer | None = None
        # Revisions of the received endpoint changes that no answer has covered yet.
        self._received_revisions: set[int] = set()
        self.watch: WatchLoop = new_watch(
            self._changed,
            on_listed=self._listed,
            on_revision=self._known_to,
            is_suspended=self._is_suspended,
            wait=0.0,
        )

    def start(self) -> None:
        self.watch.start(random.uniform(*LISTING_DELAY_SECONDS))

    def endpoint_changed(self, revision: int) -> None:
        """Record that a change of an endpoint was received."""
        self._received_revisions.add(revision)

    def endpoints_known(self, revision: int) -> None:
        """Record that all changes of endpoints up to ``revision`` are known."""
        self._endpoint_answer = _StoreAnswer(revision, self.clock.seconds())
        received = {changed for changed in self._received_revisions if changed <= revision}
        self._received_revisions -= received
        known_to = self.register.complete_to
        if known_to is not None and _are_consecutive(received, known_to, revision):
            self.register.observe_complete(revision)
        self._confirm_endpoints()
        self.watch.recheck()

    def peer_report_received(self) -> None:
        """Continue from the revision that the register has after a peer's report."""
        known_to = self.register.complete_to
        if known_to is None or self.register.needs_listing():
            return
        self.watch.skip_listing(known_to)
        self.watch.advance(known_to)
        if self.endpoints.revision is None:
            self._confirm_endpoints()

    def _confirm_endpoints(self) -> None:
        """Record up to which revision both the endpoints and the evacuations are known."""
        answer, known_to = self._endpoint_answer, self.register.complete_to
        if answer is not None and known_to is not None:
            age = self.clock.seconds() - min(answer.at, self.register.as_of)
            self.endpoints.record_store_answer(min(answer.revision, known_to), age)

    def _is_suspended(self) -> bool:
        """Whether this gateway leaves reading the evacuations to its peers for now."""
        known_to, answer = self.register.complete_to, self._endpoint_answer
        if known_to is None:
            return False
        outdated = answer is not None and known_to < answer.revision
        if not outdated and not self.register.needs_listing():
            return True
        return not self.should_watch() and not self.endpoints.must_query_store()

    def _changed(self, stored) -> None:
        change = EvacuationChange(stored.name, stored.revision, not stored.deleted)
        self.register.observe(change)

    def _listed(self, names: set[str]) -> None:
        self.register.observe_listing(names, self.watch.revision)

    def _known_to(self, revision: int) -> None:
        """Record that all evacuations up to ``revision`` are known."""
        if self.register.needs_listing():
            self.watch.relist()
        self.register.observe_complete(revision)
        self._confirm_endpoints()


def _are_consecutive(revisions: set[int], after: int, last: int) -> bool:
    """Whether ``revisions`` contains every revision later than ``after`` up to ``last``."""
    return len({revision for revision in revisions if revision > after}) == last - after
