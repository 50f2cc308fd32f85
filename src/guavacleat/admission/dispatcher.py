"""Matches waiting requests with endpoints that have room, and refuses what cannot be served.

Requests wait here and not in the engines' own queues, so that the order is decided as late as
possible, by :mod:`guavacleat.admission.queues`. A request is refused at once, as not run and
with the time to come back, if its account already has too many waiting or if it would expect to
wait longer than ``limits.max_wait``; one whose expectation was wrong is refused when that time
is up.
"""

from collections import deque

from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime

from guavacleat.admission.account_limit import AccountQueueLimit
from guavacleat.admission.queues import PROMPT_TOKEN_COST, SHORT_OUTPUT, get_queue_by_name
from guavacleat.errors import NotRunError

__all__ = ["Dispatcher"]

MARKS = 64
MARKS_MIN = 8


class _Waiting:
    """A request waiting for an endpoint."""

    __slots__ = ("request", "limits", "tried", "given", "timer", "counted")

    def __init__(self, request, limits, tried):
        self.request = request
        self.limits = limits
        self.tried = tried
        self.given = defer.Deferred()
        self.timer = None
        self.counted = False


class Dispatcher:
    """Queues per service over one router.

    :param membership: a ``MembershipView``.
    :param router: a ``Router``.
    :param queue: the name of the queue kind, see ``QUEUES_BY_NAME``.
    """

    def __init__(self, clock: IReactorTime, membership, router, queue: str = "fair"):
        self.clock = clock
        self.membership = membership
        self.router = router
        self.queue = queue
        self.waiting = AccountQueueLimit()
        self.queues_by_service: dict[str, object] = {}
        # When each service's latest requests were dispatched, and what they were expected to cost.
        self.marks_by_service: dict[str, deque] = {}
        self.charged_by_request: dict[str, float] = {}
        self.refused = 0
        self.looking: set[str] = set()
        self.look_again: set[str] = set()

    def acquire(
        self, request, limits, tried=frozenset(), front: bool = False, deadline: float | None = None
    ) -> defer.Deferred:
        """Fire with the endpoint for ``request``, counted in flight there until released.

        ``tried`` endpoints are left out. ``front``: it goes before all others (its caller has
        tokens already, or an endpoint has just refused it). Fails with NotRunError if it is
        refused, at ``deadline`` (reactor seconds; default ``limits.max_wait`` from now) at last.
        """
        now = self.clock.seconds()
        entry = _Waiting(request, limits, frozenset(tried))
        queue = self._queue(request.service)
        try:
            if not self._candidates(entry):
                raise self.refusal(request, limits)
            if not front:
                self._enter(entry, queue)
        except NotRunError as exc:
            self.refused += 1
            return defer.fail(exc)
        queue.push(entry, front=front)
        wait = limits.max_wait if deadline is None else max(0.0, deadline - now)
        entry.timer = self.clock.callLater(wait, self._expire, entry)
        self.dispatch_waiting(request.service)
        return entry.given

    def release(self, name: str, request, tokens: int = 0, finished: bool = False) -> None:
        """The request no longer runs on ``name``; ``tokens``: its whole output so far."""
        self.router.end(name, request)
        queue = self._queue(request.service)
        expected = self.charged_by_request.pop(request.request_id, 0.0)
        queue.charge(request, self._cost(request, tokens) - expected)
        if finished:
            self._learn(request, tokens)
        self.dispatch_waiting(request.service)

    def dispatch_waiting(self, service: str) -> None:
        """Dispatch waiting requests while there is room for the next in turn.

        A dispatch may end at once and look at the queue again, while this look is still going
        through it and would then give out an entry twice; an inner look is therefore left to
        the outer one, which looks once more.
        """
        self.look_again.add(service)
        if service in self.looking:
            return
        self.looking.add(service)
        try:
            while service in self.look_again:
                self.look_again.discard(service)
                self._look(self._queue(service))
        finally:
            self.looking.discard(service)

    def _look(self, queue) -> None:
        entry = queue.head()
        while entry is not None:
            if not self._place(entry, queue):
                self._fill_gaps(queue)
                return
            entry = queue.head()

    def _fill_gaps(self, queue) -> None:
        """Let short requests go before a head that no endpoint has room for yet.

        A long prompt waits for room that a short one does not need, and a short output gives
        its room back before it delays the head by much. What it uses is charged to its account
        like everything else, so nobody gains a share by sending short requests.
        """
        for entry in queue.others():
            if self._expected_output(entry.request) <= SHORT_OUTPUT:
                self._place(entry, queue)

    def _place(self, entry: _Waiting, queue) -> bool:
        """Dispatch or refuse ``entry``; False if it has to wait."""
        candidates = self._candidates(entry)
        if not candidates or entry.request.abandoned:
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
        """Look again at every queue (after membership or occupancy changed)."""
        # A dispatch may ask for a service that has had no queue yet.
        for service, queue in list(self.queues_by_service.items()):
            if len(queue):
                self.dispatch_waiting(service)

    def depth(self) -> dict[str, int]:
        """Requests waiting, by service."""
        return {service: len(queue) for service, queue in self.queues_by_service.items()}

    def _queue(self, service: str):
        queue = self.queues_by_service.get(service)
        if queue is None:
            queue = self.queues_by_service[service] = get_queue_by_name(self.queue)
            self.marks_by_service[service] = deque(maxlen=MARKS)
        return queue

    def _candidates(self, entry: _Waiting):
        live = self.membership.live(entry.request.service)
        return [record for record in live if record.name not in entry.tried]

    def _enter(self, entry: _Waiting, queue) -> None:
        request, limits = entry.request, entry.limits
        expected = self._expected_wait(request, queue)
        if expected > limits.max_wait:
            problem = f"client account {request.account} would wait about {expected:.0f} s"
            raise self.refusal(request, limits, problem, expected - limits.max_wait)
        self.waiting.enter(limits, request.account)
        entry.counted = True

    def _expected_wait(self, request, queue) -> float:
        """Seconds until ``request`` would be dispatched, at the service's recent pace."""
        marks = self.marks_by_service[request.service]
        if not len(queue) or len(marks) < MARKS_MIN:
            return 0.0
        span = max(self.clock.seconds() - marks[0][0], 1e-3)
        pace = sum(cost for _, cost in marks) / span
        cost = self._cost(request, self._expected_output(request))
        return queue.work_before(request, cost) / pace

    def _dispatch(self, entry: _Waiting, queue, endpoint) -> None:
        request = entry.request
        self._settle(entry)
        expected = self._cost(request, self._expected_output(request))
        self.charged_by_request[request.request_id] = expected
        queue.charge(request, expected)
        self.marks_by_service[request.service].append((self.clock.seconds(), expected))
        self.router.begin(endpoint.name, request)
        entry.given.callback(endpoint)

    def _cost(self, request, output: int) -> float:
        return request.prompt_tokens * PROMPT_TOKEN_COST + output

    def _expected_output(self, request) -> int:
        return self.router.lengths.remaining(request.kind(), 0, request.max_tokens)

    def _learn(self, request, tokens: int) -> None:
        self.router.lengths.record_finished(request.kind(), tokens)

    def _expire(self, entry: _Waiting) -> None:
        self._queue(entry.request.service).remove(entry)
        problem = "no endpoint had room in time"
        self._refuse(entry, self.refusal(entry.request, entry.limits, problem))
        self.dispatch_waiting(entry.request.service)

    def _refuse(self, entry: _Waiting, error: NotRunError) -> None:
        self._settle(entry)
        self.refused += 1
        entry.given.errback(error)

    def _settle(self, entry: _Waiting) -> None:
        if entry.timer.active():
            entry.timer.cancel()
        if entry.counted:
            entry.counted = False
            self.waiting.leave(entry.request.account)

    def refusal(
        self,
        request,
        limits,
        problem: str = "no endpoint can take the request",
        retry_after: float = 0.0,
    ) -> NotRunError:
        """The error that tells a caller its request was not run and when to come back."""
        retry_after = max(limits.retry_after, retry_after)
        return NotRunError(
            f"{problem} (service {request.service}).",
            f"retry after {retry_after:.1f} s.",
            retry_after=retry_after,
        )
