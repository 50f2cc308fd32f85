"""Queues generations in the gateway until an engine has capacity for them.

A request in an engine's own queue is lost when its instance is reclaimed: the gateway cannot
tell whether it had begun, so it can neither send it elsewhere nor refuse it as not run. A request
queued here can still be placed on any engine or refused.

Requests are served by priority, and accounts of the same priority share by tokens. A request that
can no longer meet its latency goal goes behind all that can, so that a burst doesn't delay every
request after it.

The gateways report to each other how many generations wait and how many were dispatched. From that
follows how long another one would wait. While it is so long that not all can be on time, those that
would be late are refused at once, the most expensive first, rather than making all late.

Requests of contended services are queued by :mod:`~.fleet_queue` instead.
"""

import random

from eliot import log_message
from twisted.internet import defer

from guavacleat.admission.backlog import MAX_WAIT_SHARE, RATE_WINDOW_SECONDS, Backlog
from guavacleat.admission.cost import RelativeCost
from guavacleat.admission.expected_wait import MIN_RATE_DISPATCHES
from guavacleat.admission.fleet_queues import FleetQueues
from guavacleat.admission.queues import PROMPT_TOKEN_COST, SHORT_OUTPUT
from guavacleat.admission.service_queue import ServiceQueue, WaitingRequest
from guavacleat.forwarding.refusals import RefusalError, RefusalReason, throttled
from guavacleat.totals import sum_by_key

__all__ = ["GenerationQueue"]

# Maximum random delay before a dispatch, for each gateway with queued generations. All of them see
# freed capacity at the same time; with delays of several times a peer report's latency, they seldom
# choose the same engine.
DISPATCH_JITTER_SECONDS = 0.03
# Interval of dispatches without a notification, for capacity that no report announces (a new
# engine, or the runs of a peer that no longer reports).
POLL_SECONDS = 0.1
# Expected wait from which on the cost of a request counts in full, and from which on requests that
# can't meet their goal any more are refused.
OVERLOAD_WAIT_SECONDS = 0.3
RETRY_AFTER_SECONDS = 1.0


class GenerationQueue:
    """Assigns engines chosen by ``placement`` to requests for generations.

    :param peers: the :class:`~guavacleat.peers.PeerTable`; None for a single gateway.
    :param new_refusal_policy: see :class:`~.fleet_queues.FleetQueues`.
    :param account_usage: see :class:`~.account_usage.AccountUsage`.
    """

    def __init__(
        self, clock, placement, seed=None, peers=None, new_refusal_policy=None, account_usage=None
    ):
        self.clock = clock
        self.placement = placement
        self.peers = peers
        self.relative_cost = RelativeCost()
        self.random = random.Random(seed)
        self.queues_by_service: dict[str, ServiceQueue] = {}
        self.fleet_queues = FleetQueues(
            clock, placement, seed, peers, new_refusal_policy, account_usage
        )
        self._dispatch_call = None

    @property
    def listeners(self) -> list:
        """Functions called when the queue of a contended service should be reported."""
        return self.fleet_queues.listeners

    def acquire(self, request, tried: set[str]) -> defer.Deferred:
        """Fire with an engine that has capacity for ``request``; None if there is no engine.

        Fails with :class:`RefusalError` if the expected or the actual wait is too long.
        Cancelling the deferred removes the request from the queue and fires it with None.
        """
        if not self.placement.ready_for(request, tried):
            return defer.succeed(None)
        if request.traits.contention is not None:
            return self.fleet_queues.acquire(request, tried)
        queue = self.queues_by_service.setdefault(request.service, ServiceQueue())
        now = self.clock.seconds()
        on_time_deadline = self.placement.latest_start(request)
        entry = WaitingRequest(request, tried, (now > on_time_deadline, request.priority), now)
        cost = self.relative_cost.observe(request)
        if not len(queue) and (engine := self._find_engine(entry)) is not None:
            self._record_dispatch(queue, entry)
            return defer.succeed(engine)
        wait_deadline = request.arrived_at + MAX_WAIT_SHARE * (
            request.deadline - request.arrived_at
        )
        throttled_for = self.placement.seconds_until_available(request, tried)
        if throttled_for and now + throttled_for > wait_deadline:
            return defer.fail(throttled(self.placement, request, tried))
        expected_wait = self._expected_wait(request.service)
        overload = min(1.0, expected_wait / OVERLOAD_WAIT_SECONDS)
        will_be_late = now <= on_time_deadline < now + cost**overload * expected_wait
        if will_be_late or now + expected_wait > wait_deadline:
            retry_after = max(RETRY_AFTER_SECONDS, expected_wait)
            return defer.fail(self._refusal(entry, retry_after, "expected to wait", expected_wait))
        entry.result = defer.Deferred(lambda result: self._cancel(queue, entry))
        entry.timers = [self.clock.callLater(wait_deadline - now, self._refuse, queue, entry)]
        if not entry.rank[0]:
            wait = on_time_deadline - now
            entry.timers.append(self.clock.callLater(wait, self._mark_late, queue, entry))
        queue.queue_for(entry.rank).push(entry)
        log_message(
            message_type="stream:waits",
            request=request.metadata.id,
            waiting=len(queue),
            expected=round(expected_wait, 3),
        )
        self.schedule_dispatch()
        return entry.result

    def refuse_where(self, refusal_of) -> None:
        """Refuse the queued requests for which ``refusal_of`` returns a :class:`RefusalError`."""
        self.fleet_queues.refuse_where(refusal_of)
        for queue in self.queues_by_service.values():
            for entry in queue.entries():
                refusal = refusal_of(entry.forwarded)
                if refusal is not None and not entry.result.called:
                    self._stop_waiting(queue, entry)
                    entry.result.errback(refusal)

    def waiting(self, service: str) -> int:
        """Number of queued requests of the service."""
        queue = self.queues_by_service.get(service)
        return self.fleet_queues.waiting(service) + (0 if queue is None else len(queue))

    def schedule_dispatch(self) -> None:
        """Schedule a dispatch, after the load of an engine has changed."""
        self.fleet_queues.schedule_turns()
        spread = self._spread()
        if spread is not None:
            self._schedule_dispatch_within(self.random.uniform(0.0, spread))

    def _spread(self) -> float | None:
        """Seconds over which the gateways spread their dispatches; None if nothing is queued here.

        With queues for several services, the one for which the fewest gateways compete counts.
        """
        gateways = [
            1 + self._peer_backlog(name).gateways
            for name, queue in self.queues_by_service.items()
            if queue
        ]
        return DISPATCH_JITTER_SECONDS * min(gateways) if gateways else None

    def _peer_backlog(self, service: str) -> Backlog:
        return Backlog() if self.peers is None else self.peers.backlog(service)

    def backlogs_by_service(self) -> dict[str, Backlog]:
        """This gateway's own :class:`~.backlog.Backlog` of each service."""
        oldest = self.clock.seconds() - RATE_WINDOW_SECONDS
        backlogs = {name: queue.backlog(oldest) for name, queue in self.queues_by_service.items()}
        # A service is in both while a configuration has just made it contended.
        return sum_by_key(Backlog, [backlogs, self.fleet_queues.backlogs_by_service()])

    def _schedule_dispatch_within(self, seconds: float) -> None:
        call = self._dispatch_call
        if call is not None and call.active():
            if call.getTime() <= self.clock.seconds() + seconds:
                return
            call.cancel()
        self._dispatch_call = self.clock.callLater(seconds, self._dispatch)

    def _dispatch(self) -> None:
        for name, queue in list(self.queues_by_service.items()):
            while self._dispatch_next(queue) and not self._peer_backlog(name).gateways:
                pass
        spread = self._spread()
        if spread is not None:
            delay = self.random.uniform(0.5, 1.0) * spread
            self._schedule_dispatch_within(max(POLL_SECONDS, delay))

    def _dispatch_next(self, queue: ServiceQueue) -> bool:
        """Dispatch the first request that an engine has capacity for; False if there is none.

        Behind a request that no engine has capacity for, only short outputs are dispatched: they
        release their capacity soon, so they delay it only slightly.
        """
        only_short = False
        for fair_queue in queue.queues_in_order():
            for entry in fair_queue.backfill_candidates():
                if only_short and not _is_short(entry):
                    continue
                engine = self._find_engine(entry)
                if engine is not None:
                    self._stop_waiting(queue, entry)
                    self._record_dispatch(queue, entry)
                    entry.result.callback(engine)
                    return True
                only_short = True
        return False

    def _find_engine(self, entry: WaitingRequest):
        return self.placement.choose_for_generation(entry.forwarded, entry.tried)

    def _record_dispatch(self, queue: ServiceQueue, entry: WaitingRequest) -> None:
        request = entry.forwarded
        queue.dispatched_at.append(self.clock.seconds())
        output = request.expected_tokens() - request.prompt_tokens
        cost = PROMPT_TOKEN_COST * request.prompt_tokens + output
        queue.queue_for(entry.rank).charge(entry.request, cost)

    def _expected_wait(self, service: str) -> float:
        """Seconds until all waiting generations are dispatched, at the recent rate."""
        oldest = self.clock.seconds() - RATE_WINDOW_SECONDS
        backlog = self._peer_backlog(service).add(self.queues_by_service[service].backlog(oldest))
        if backlog.dispatched < MIN_RATE_DISPATCHES:
            return 0.0
        return backlog.waiting * RATE_WINDOW_SECONDS / backlog.dispatched

    def _mark_late(self, queue: ServiceQueue, entry: WaitingRequest) -> None:
        if self._expected_wait(entry.forwarded.service) > OVERLOAD_WAIT_SECONDS:
            self._refuse(queue, entry)
            return
        queue.queue_for(entry.rank).remove(entry)
        entry.rank = (True, entry.rank[1])
        queue.queue_for(entry.rank).push(entry)

    def _refuse(self, queue: ServiceQueue, entry: WaitingRequest) -> None:
        self._stop_waiting(queue, entry)
        waited = self.clock.seconds() - entry.queued_at
        entry.result.errback(self._refusal(entry, RETRY_AFTER_SECONDS, "waited", waited))

    def _cancel(self, queue: ServiceQueue, entry: WaitingRequest) -> None:
        self._stop_waiting(queue, entry)
        entry.result.callback(None)

    def _stop_waiting(self, queue: ServiceQueue, entry: WaitingRequest) -> None:
        queue.queue_for(entry.rank).remove(entry)
        for timer in entry.timers:
            if timer.active():
                timer.cancel()

    def _refusal(self, entry, retry_after: float, verb: str, seconds: float) -> RefusalError:
        return RefusalError(RefusalReason.NO_ROOM, retry_after, f"{verb} {seconds:.2f} s")


def _is_short(entry: WaitingRequest) -> bool:
    request = entry.forwarded
    return request.expected_tokens() - request.prompt_tokens <= SHORT_OUTPUT
