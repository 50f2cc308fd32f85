"""Queues generations in the gateway until an engine has capacity for them.

A request in an engine's own queue is lost when its instance is reclaimed: the gateway cannot
tell whether it had begun, so it can neither send it elsewhere nor refuse it as not run. A request
queued here can still be placed on any engine or refused.

Requests are served by priority, and accounts of the same priority share by tokens. A request that
can no longer meet its latency goal goes behind all that can, so that a burst doesn't delay every
request after it.
"""

import collections
import random

from eliot import log_message
from twisted.internet import defer

from guavacleat.admission.queues import PROMPT_TOKEN_COST, SHORT_OUTPUT, FairQueue
from guavacleat.forwarding.refusals import RefusalError, RefusalReason

__all__ = ["GenerationQueue"]

# Maximum share of a request's timeout spent in the queue, so that its caller can still retry.
MAX_WAIT_SHARE = 1 / 3
# Maximum random delay before a dispatch. All gateways see freed capacity at the same time; with
# delays of several times a peer report's latency, they seldom all choose the same engine.
DISPATCH_JITTER_SECONDS = 0.03
# Interval of dispatches without a notification, for capacity that no report announces (a new
# engine, or the runs of a peer that no longer reports).
POLL_SECONDS = 0.1
# Window over which the dispatch rate is measured, and the minimum number of dispatches in it.
RATE_WINDOW_SECONDS = 3.0
MIN_RATE_DISPATCHES = 4
RETRY_AFTER_SECONDS = 1.0


class _FairQueueRequest:
    """The attributes of a queued request that :class:`FairQueue` reads."""

    __slots__ = ("account", "weight", "priority")

    def __init__(self, account: str | None, priority: int):
        self.account = account
        self.weight = 1.0
        self.priority = priority


class _WaitingRequest:
    """A queued request.

    ``request`` is what :class:`FairQueue` reads of ``forwarded``; ``result`` fires with the engine,
    or with None if the caller cancelled.

    :param rank: whether the request will be late, then its priority; the lowest is served first.
    :param queued_at: clock time at which it was queued.
    """

    __slots__ = ("forwarded", "request", "tried", "rank", "result", "timers", "queued_at")

    def __init__(self, forwarded, tried: set[str], rank: tuple[bool, int], queued_at: float):
        self.forwarded = forwarded
        self.request = _FairQueueRequest(forwarded.account_name, forwarded.priority)
        self.tried = frozenset(tried)
        self.rank = rank
        self.queued_at = queued_at
        self.result: defer.Deferred | None = None
        self.timers = []


class _ServiceQueue:
    """The queued requests of one service, by rank."""

    __slots__ = ("queues_by_rank", "dispatched")

    def __init__(self):
        self.queues_by_rank: dict[tuple[bool, int], FairQueue] = {}
        # (clock time, prompt tokens) of the most recent dispatches.
        self.dispatched: collections.deque[tuple[float, int]] = collections.deque()

    def __len__(self) -> int:
        return sum(map(len, self.queues_by_rank.values()))

    def queue_for(self, rank: tuple[bool, int]) -> FairQueue:
        return self.queues_by_rank.setdefault(rank, FairQueue())

    def queues_in_order(self) -> list[FairQueue]:
        return [self.queues_by_rank[rank] for rank in sorted(self.queues_by_rank)]


class GenerationQueue:
    """Assigns engines chosen by ``placement`` to requests for generations."""

    def __init__(self, clock, placement, seed=None):
        self.clock = clock
        self.placement = placement
        self.random = random.Random(seed)
        self.queues_by_service: dict[str, _ServiceQueue] = {}
        # Queued prompt tokens by (service, rank).
        self.waiting_tokens_by_rank: collections.Counter = collections.Counter()
        self._dispatch_call = None

    def acquire(self, request, tried: set[str]) -> defer.Deferred:
        """Fire with an engine that has capacity for ``request``; None if there is no engine.

        Fails with :class:`RefusalError` if the expected or the actual wait is too long.
        Cancelling the deferred removes the request from the queue and fires it with None.
        """
        if not self.placement.ready_for(request, tried):
            return defer.succeed(None)
        queue = self.queues_by_service.setdefault(request.service, _ServiceQueue())
        now = self.clock.seconds()
        on_time_deadline = self.placement.latest_start(request)
        entry = _WaitingRequest(request, tried, (now > on_time_deadline, request.priority), now)
        if not len(queue) and (engine := self._find_engine(entry)) is not None:
            self._record_dispatch(queue, entry)
            return defer.succeed(engine)
        wait_deadline = request.arrived_at + MAX_WAIT_SHARE * (
            request.deadline - request.arrived_at
        )
        expected_wait = self._expected_wait(queue, entry)
        if now + expected_wait > wait_deadline:
            retry_after = max(RETRY_AFTER_SECONDS, now + expected_wait - wait_deadline)
            return defer.fail(self._refusal(entry, retry_after, "expected to wait", expected_wait))
        entry.result = defer.Deferred(lambda result: self._cancel(queue, entry))
        entry.timers = [self.clock.callLater(wait_deadline - now, self._expire, queue, entry)]
        if not entry.rank[0]:
            wait = on_time_deadline - now
            entry.timers.append(self.clock.callLater(wait, self._mark_late, queue, entry))
        self._push(queue, entry)
        log_message(
            message_type="stream:waits",
            request=request.metadata.id,
            waiting=len(queue),
            expected=round(expected_wait, 3),
        )
        self.schedule_dispatch()
        return entry.result

    def waiting(self, service: str) -> int:
        """Number of queued requests of the service."""
        queue = self.queues_by_service.get(service)
        return 0 if queue is None else len(queue)

    def schedule_dispatch(self) -> None:
        """Schedule a dispatch, after the load of an engine has changed."""
        if any(map(len, self.queues_by_service.values())):
            self._schedule_dispatch_within(self.random.uniform(0.0, DISPATCH_JITTER_SECONDS))

    def _schedule_dispatch_within(self, seconds: float) -> None:
        call = self._dispatch_call
        if call is not None and call.active():
            if call.getTime() <= self.clock.seconds() + seconds:
                return
            call.cancel()
        self._dispatch_call = self.clock.callLater(seconds, self._dispatch)

    def _dispatch(self) -> None:
        for queue in self.queues_by_service.values():
            while self._dispatch_next(queue):
                pass
        if any(map(len, self.queues_by_service.values())):
            self._schedule_dispatch_within(POLL_SECONDS)

    def _dispatch_next(self, queue: _ServiceQueue) -> bool:
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

    def _find_engine(self, entry: _WaitingRequest):
        return self.placement.choose_for_generation(entry.forwarded, entry.tried)

    def _record_dispatch(self, queue: _ServiceQueue, entry: _WaitingRequest) -> None:
        request = entry.forwarded
        queue.dispatched.append((self.clock.seconds(), request.prompt_tokens))
        output = request.expected_tokens() - request.prompt_tokens
        cost = PROMPT_TOKEN_COST * request.prompt_tokens + output
        queue.queue_for(entry.rank).charge(entry.request, cost)

    def _expected_wait(self, queue: _ServiceQueue, entry: _WaitingRequest) -> float:
        """Seconds until the prompts ahead of this one are dispatched, at the recent rate."""
        now = self.clock.seconds()
        while queue.dispatched and queue.dispatched[0][0] < now - RATE_WINDOW_SECONDS:
            queue.dispatched.popleft()
        ahead = sum(
            self.waiting_tokens_by_rank[entry.forwarded.service, rank]
            for rank in queue.queues_by_rank
            if rank <= entry.rank
        )
        if len(queue.dispatched) < MIN_RATE_DISPATCHES:
            return 0.0
        tokens_per_second = sum(tokens for _, tokens in queue.dispatched) / RATE_WINDOW_SECONDS
        return ahead / max(1.0, tokens_per_second)

    def _push(self, queue: _ServiceQueue, entry: _WaitingRequest) -> None:
        queue.queue_for(entry.rank).push(entry)
        self.waiting_tokens_by_rank[
            entry.forwarded.service, entry.rank
        ] += entry.forwarded.prompt_tokens

    def _remove(self, queue: _ServiceQueue, entry: _WaitingRequest) -> None:
        queue.queue_for(entry.rank).remove(entry)
        self.waiting_tokens_by_rank[
            entry.forwarded.service, entry.rank
        ] -= entry.forwarded.prompt_tokens

    def _mark_late(self, queue: _ServiceQueue, entry: _WaitingRequest) -> None:
        self._remove(queue, entry)
        entry.rank = (True, entry.rank[1])
        self._push(queue, entry)

    def _expire(self, queue: _ServiceQueue, entry: _WaitingRequest) -> None:
        self._stop_waiting(queue, entry)
        waited = self.clock.seconds() - entry.queued_at
        entry.result.errback(self._refusal(entry, RETRY_AFTER_SECONDS, "waited", waited))

    def _cancel(self, queue: _ServiceQueue, entry: _WaitingRequest) -> None:
        self._stop_waiting(queue, entry)
        entry.result.callback(None)

    def _stop_waiting(self, queue: _ServiceQueue, entry: _WaitingRequest) -> None:
        self._remove(queue, entry)
        for timer in entry.timers:
            if timer.active():
                timer.cancel()

    def _refusal(self, entry, retry_after: float, verb: str, seconds: float) -> RefusalError:
        return RefusalError(RefusalReason.NO_ROOM, retry_after, f"{verb} {seconds:.2f} s")


def _is_short(entry: _WaitingRequest) -> bool:
    request = entry.forwarded
    return request.expected_tokens() - request.prompt_tokens <= SHORT_OUTPUT
