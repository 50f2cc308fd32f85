"""Polls endpoints for their digests: occupancy and recent cache events.

Otherwise the router would only know the endpoints that run streams of this gateway.
"""

import contextlib
import itertools

from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime

from guavacleat.periodic import Periodic

__all__ = ["DigestPoller", "POLL_SECONDS", "ENDPOINTS_PER_ROUND"]

POLL_SECONDS = 0.5
# Endpoints polled per interval, so that control traffic does not grow with the number of endpoints.
ENDPOINTS_PER_ROUND = 8
DIGEST_TIMEOUT = 2.0  # seconds


class DigestPoller:
    """Polls the next few endpoints every ``POLL_SECONDS``, then dispatches queued requests.

    :param membership: a ``MembershipView``; its live endpoints are polled.
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
        """Poll the next endpoints, round-robin."""
        records = self.membership.all_live()
        count = min(ENDPOINTS_PER_ROUND, len(records))
        next_records = itertools.islice(
            itertools.cycle(records), self.next_index, self.next_index + count
        )
        for record in list(next_records):
            self._poll_endpoint(record)
        self.next_index = (self.next_index + count) % max(1, len(records))
        self.dispatcher.dispatch_all()

    @defer.inlineCallbacks
    def _poll_endpoint(self, record):
        # A failed poll is ignored: requests to the endpoint report its failures.
        with contextlib.suppress(Exception):
            client = yield self.pool.client(record.address)
            request = client.digest(self.last_event_by_name.get(record.name, 0))
            digest = yield request.addTimeout(DIGEST_TIMEOUT, self.clock)
            self.router.observe(record.name, digest.occupancy)
            self.router.observe_cache(record.name, digest.events)
            if digest.events:
                self.last_event_by_name[record.name] = digest.events[-1].number
