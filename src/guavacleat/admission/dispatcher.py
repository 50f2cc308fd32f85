"""Dispatches queued requests to endpoints with free capacity and refuses the rest.

Requests are queued here rather than in the engines, so that their order is decided as late as
possible (see :mod:`guavacleat.admission.queues`). A request is refused immediately, before it
has run and with a retry delay, if its account's queue is full or if its expected wait exceeds
``limits.max_wait``. A request that has waited for ``limits.max_wait`` is refused then.
"""

from collections import deque

from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime

from guavacleat.admission.account_limit import AccountQueueLimit
from guavacleat.admission.queues import PROMPT_TOKEN_COST, SHORT_OUTPUT, get_queue_by_name
from guavacleat.errors import NotRunError

__all__ = ["Dispatcher"]

# Dispatches per service from which the dispatch rate is estimated, and the minimum for an estimate.
RECENT_DISPATCHES = 64
MIN_RECENT_DISPATCHES = 8


class _WaitingRequest:
    """A queued request; ``counted`` if it counts towards its account's queue limit."""

    __slots__ = ("request", "limits", "tried", "result", "timer", "counted")

    def __init__(self, request, limits, tried):
        self.request = request
        self.limits = limits
        self.tried = tried
        self.result = defer.Deferred()
        self.timer = None
        self.counted = False


class Dispatcher:
    """One queue per service, dispatched through one router.

    :param membership: a ``MembershipView``.
    :param router: a ``Router``.
    :param queue_name: the queueing discipline, a key of ``QUEUES_BY_NAME``.
    """

    def __init__(self, clock: IReactorTime, membership, router, queue_name: str = "fair"):
        self.clock = clock
        self.membership = membership
        self.router = router
        self.queue_name = queue_name
        self.account_limit = AccountQueueLimit()
        self.queues_by_service: dict[str, object] = {}
        # (clock time, expected cost) of each service's most recent dispatches.
        self.dispatches_by_service: dict[str, deque] = {}
        self.charged_cost_by_request: dict[str, float] = {}
        self.refused = 0
        self.dispatching: set[str] = set()
        self.dispatch_again: set[str] = set()

    def acquire(
        self, request, limits, tried=frozenset(), front: bool = False, deadline: float | None = None
    ) -> defer.Deferred:
        """Fire with an endpoint for ``request``, in flight there until :meth:`release`.

        Fails with NotRunError if the request is refused, at the latest at ``deadline``.

        :param tried: names of endpoints to exclude.
        :param front: queue the request before all others, because its caller has already
            received tokens or because an endpoint has just refused it.
        :param deadline: reactor time; by default ``limits.max_wait`` from now.
        """
        now = self.clock.seconds()
        entry = _WaitingRequest(request, limits, frozenset(tried))
        queue = self._queue(request.service)
        try:
            if not self._candidates(entry):
                raise self.refusal(request, limits)
            if not front:
                self._admit(entry, queue)
        except NotRunError as exc:
            self.refused += 1
            return defer.fail(exc)
        queue.push(entry, front=front)
        wait = limits.max_wait if deadline is None else max(0.0, deadline - now)
        entry.timer = self.clock.callLater(wait, self._expire, entry)
        self.dispatch_waiting(request.service)
        return entry.result

    def release(self, name: str, request, tokens: int = 0, finished: bool = False) -> None:
        """Release the request's place on endpoint ``name`` after ``tokens`` output tokens."""
        self.router.end(name, request)
        queue = self._queue(request.service)
        expected = self.charged_cost_by_request.pop(request.request_id, 0.0)
        queue.charge(request, self._cost(request, tokens) - expected)
        if finished:
            self._record_length(request, tokens)
        self.dispatch_waiting(request.service)

    def dispatch_waiting(self, service: str) -> None:
        """Dispatch queued requests in order while endpoints have capacity.

        A dispatched request may finish synchronously and call this method again. Such a nested
        call only asks the outer one for another pass, as dispatching from both could dispatch an
        entry twice.
        """
        self.dispatch_again.add(service)
        if service in self.dispatching:
            return
        self.dispatching.add(service)
        try:
            while service in self.dispatch_again:
                self.dispatch_again.discard(service)
                self._dispatch_queue(self._queue(service))
        finally:
            self.dispatching.discard(service)

    def _dispatch_queue(self, queue) -> None:
        entry = queue.head()
        while entry is not None:
            if not self._try_dispatch(entry, queue):
                self._backfill(queue)
                return
            entry = queue.head()

    def _backfill(self, queue) -> None:
        """Dispatch short requests ahead of a head that no endpoint has capacity for.

        A short output releases its capacity soon, so it delays the head only slightly. Its tokens
        are charged to its account, so short requests gain no extra share.
        """
        for entry in queue.backfill_candidates():
            if self._expected_output(entry.request) <= SHORT_OUTPUT:
                self._try_dispatch(entry, queue)

    def _try_dispatch(self, entry: _WaitingRequest, queue) -> bool:
        """Dispatch or refuse ``entry``; return False if it has to wait."""
        candidates = self._candidates(entry)
        if not candidates or entry.request.caller_disconnected:
            queue.remove(entry)
            self._refuse(entry, self.refusal(entry.request, entry.limits))
            return True
        endpoint = self.router.choose(
            candidates, entry.request, entry.limits.in_flight_per_endpoint, entry.tried
        )
        if endpoint is None:
            return False
        queue.remove(entry)
        self._dispatch(entry, queue, endpoint)
        return True

    def dispatch_all(self) -> None:
        """Dispatch from every queue, after a change of membership or occupancy."""
        # Copied, because a dispatch may add the queue of another service.
        for service, queue in list(self.queues_by_service.items()):
            if len(queue):
                self.dispatch_waiting(service)

    def refuse_where(self, error_of) -> None:
        """Refuse the queued requests for which ``error_of`` returns a NotRunError."""
        for queue in list(self.queues_by_service.values()):
            for entry in queue.waiting_entries():
                error = error_of(entry.request)
                if error is not None and not entry.result.called:
                    queue.remove(entry)
                    self._refuse(entry, error)

    def depth(self) -> dict[str, int]:
        """Number of queued requests by service."""
        return {service: len(queue) for service, queue in self.queues_by_service.items()}

    def _queue(self, service: str):
        queue = self.queues_by_service.get(service)
        if queue is None:
            queue = self.queues_by_service[service] = get_queue_by_name(self.queue_name)
            self.dispatches_by_service[service] = deque(maxlen=RECENT_DISPATCHES)
        return queue

    def _candidates(self, entry: _WaitingRequest):
        live = self.membership.live(entry.request.service)
        return [record for record in live if record.name not in entry.tried]

    def _admit(self, entry: _WaitingRequest, queue) -> None:
        request, limits = entry.request, entry.limits
        expected = self._expected_wait(request, queue)
        if expected > limits.max_wait:
            problem = f"client account {request.account}: the expected wait is {expected:.0f} s"
            raise self.refusal(request, limits, problem, expected - limits.max_wait)
        self.account_limit.enter(limits, request.account)
        entry.counted = True

    def _expected_wait(self, request, queue) -> float:
        """Seconds until ``request`` is dispatched, at the service's recent dispatch rate."""
        dispatches = self.dispatches_by_service[request.service]
        if not len(queue) or len(dispatches) < MIN_RECENT_DISPATCHES:
            return 0.0
        span = max(self.clock.seconds() - dispatches[0][0], 1e-3)
        tokens_per_second = sum(cost for _, cost in dispatches) / span
        cost = self._cost(request, self._expected_output(request))
        return queue.tokens_ahead(request, cost) / tokens_per_second

    def _dispatch(self, entry: _WaitingRequest, queue, endpoint) -> None:
        request = entry.request
        self._stop_waiting(entry)
        expected = self._cost(request, self._expected_output(request))
        self.charged_cost_by_request[request.request_id] = expected
        queue.charge(request, expected)
        self.dispatches_by_service[request.service].append((self.clock.seconds(), expected))
        self.router.begin(endpoint.name, request)
        entry.result.callback(endpoint)

    def _cost(self, request, output: int) -> float:
        return request.prompt_tokens * PROMPT_TOKEN_COST + output

    def _expected_output(self, request) -> int:
        return self.router.lengths.remaining(request.kind(), 0, request.max_tokens)

    def _record_length(self, request, tokens: int) -> None:
        self.router.lengths.record_finished(request.kind(), tokens)

    def _expire(self, entry: _WaitingRequest) -> None:
        self._queue(entry.request.service).remove(entry)
        problem = "no endpoint had capacity before the deadline"
        self._refuse(entry, self.refusal(entry.request, entry.limits, problem))
        self.dispatch_waiting(entry.request.service)

    def _refuse(self, entry: _WaitingRequest, error: NotRunError) -> None:
        self._stop_waiting(entry)
        self.refused += 1
        entry.result.errback(error)

    def _stop_waiting(self, entry: _WaitingRequest) -> None:
        if entry.timer.active():
            entry.timer.cancel()
        if entry.counted:
            entry.counted = False
            self.account_limit.leave(entry.request.account)

    def refusal(
        self,
        request,
        limits,
        problem: str = "no endpoint can take the request",
        retry_after: float = 0.0,
    ) -> NotRunError:
        """The error for a refused request, with its retry delay."""
        retry_after = max(limits.retry_after, retry_after)
        return NotRunError(
            f"{problem} (service {request.service}).",
            f"retry after {retry_after:.1f} s.",
            retry_after=retry_after,
        )
