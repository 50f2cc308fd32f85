"""The queues of the contended services at one gateway."""

import collections
import random

from twisted.internet import defer

from guavacleat.admission.account_usage import AccountUsage
from guavacleat.admission.backlog import Backlog
from guavacleat.admission.fleet_queue import FleetQueue
from guavacleat.admission.refusal_policy import RefusalPolicy

__all__ = ["FleetQueues"]


class FleetQueues:
    """Creates a :class:`FleetQueue` for each contended service that gets requests.

    :param peers: the :class:`~guavacleat.peers.PeerTable`; None for a single gateway.
    :param new_refusal_policy: returns the :class:`~.refusal_policy.RefusalPolicy` of a new queue.
    :ivar listeners: called when what waits has changed, and repeatedly while something waits.
    """

    def __init__(
        self,
        clock,
        placement,
        seed=None,
        peers=None,
        new_refusal_policy=None,
        account_usage: AccountUsage | None = None,
    ):
        self.clock = clock
        self.placement = placement
        self.peers = peers
        self.new_refusal_policy = new_refusal_policy or (lambda: RefusalPolicy(clock, seed))
        self.account_usage = account_usage or AccountUsage(clock)
        self.random = random.Random(seed)
        self.listeners: list = []
        self.queues_by_service: dict[str, FleetQueue] = {}

    def acquire(self, request, tried: set[str]) -> defer.Deferred:
        """See :meth:`~.generations.GenerationQueue.acquire`."""
        queue = self.queues_by_service.get(request.service)
        if queue is None:
            queue = self.queues_by_service[request.service] = self._new_queue(request.service)
        return queue.acquire(request, tried)

    def _new_queue(self, service: str) -> FleetQueue:
        return FleetQueue(
            service,
            self.clock,
            self.placement,
            self.random,
            self.peers,
            self.new_refusal_policy(),
            self.account_usage,
            self._notify_listeners,
        )

    def _notify_listeners(self) -> None:
        for listener in self.listeners:
            listener()

    def refuse_where(self, refusal_of) -> None:
        """Refuse the queued requests for which ``refusal_of`` returns a ``RefusalError``."""
        for queue in self.queues_by_service.values():
            queue.refuse_where(refusal_of)

    def waiting(self, service: str) -> int:
        """Number of queued requests of the service."""
        queue = self.queues_by_service.get(service)
        return 0 if queue is None else len(queue)

    def schedule_turns(self) -> None:
        """Consider the queued requests soon, after a change of a load or a peer's report."""
        for queue in self.queues_by_service.values():
            queue.schedule_turn()

    def backlogs_by_service(self) -> dict[str, Backlog]:
        """This gateway's backlog of each contended service."""
        return {name: queue.backlog() for name, queue in self.queues_by_service.items()}

    def dispatched_by_rank(self) -> collections.Counter[int]:
        """Requests dispatched so far by rank, see :class:`~.fleet_backlog.DispatchHistory`."""
        counts = (queue.history.count_by_rank for queue in self.queues_by_service.values())
        return sum(counts, collections.Counter())

    def skipped_heads(self) -> int:
        """Peers' requests so far that stopped counting, as their peers didn't take the room."""
        return sum(queue.head_watch.skipped_count for queue in self.queues_by_service.values())
