"""Polls endpoints for their digests, so that routing also knows those it has no streams on."""

import contextlib
import itertools

from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime

from guavacleat.periodic import Periodic

__all__ = ["DigestPoller", "POLL_SECONDS", "POLLS_AT_ONCE"]

POLL_SECONDS = 0.5
# Endpoints asked in one round; with more of them each is asked less often, so that a gateway's
# control traffic does not grow with the fleet.
POLLS_AT_ONCE = 8
DIGEST_TIMEOUT = 2.0


class DigestPoller:
    """Asks a few endpoints in turn every ``POLL_SECONDS``, then lets waiting requests try again.

    :param membership: a ``MembershipView``; its live endpoints are asked.
    :param dispatcher: a ``Dispatcher``.
    :param pool: a ``SidecarPool``.
    """

    def __init__(self, clock: IReactorTime, membership, dispatcher, pool):
        self.clock = clock
        self.membership = membership
        self.dispatcher = dispatcher
        self.router = dispatcher.router
        self.pool = pool
        self.next_index = 0
        self.last_event_by_name: dict[str, int] = {}
        self.rounds = Periodic(clock, POLL_SECONDS, self.poll)

    def poll(self) -> None:
        """Ask the endpoints whose turn it is."""
        records = self.membership.all_live()
        count = min(POLLS_AT_ONCE, len(records))
        turn = itertools.islice(itertools.cycle(records), self.next_index, self.next_index + count)
        for record in list(turn):
            self._ask(record)
        self.next_index = (self.next_index + count) % max(1, len(records))
        self.dispatcher.dispatch_all()

    @defer.inlineCallbacks
    def _ask(self, record):
        # A failed poll tells nothing the data path does not find out: the last digest stands.
        with contextlib.suppress(Exception):
            client = yield self.pool.client(record.address)
            asking = client.digest(self.last_event_by_name.get(record.name, 0))
            digest = yield asking.addTimeout(DIGEST_TIMEOUT, self.clock)
            self.router.observe(record.name, digest.occupancy)
            self.router.observe_cache(record.name, digest.events)
            if digest.events:
                self.last_event_by_name[record.name] = digest.events[-1].number
