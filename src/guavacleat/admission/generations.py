"""Generations wait in the gateway until an engine has room, not in the engine's own queue.

An engine that is taken away loses what waits in its queue: the gateway cannot tell whether such a
request had begun, so it may neither send it elsewhere nor refuse it as not run. One that waits
here is safe from that, is placed by what is known when room comes, and can be refused honestly.

The more urgent goes first, and within a rank accounts share by tokens. A request that can no
longer be on time goes behind all that still can: served in turn, a burst makes every request after
it late.
"""

import collections
import random

from eliot import log_message
from twisted.internet import defer

from guavacleat.admission.queues import PROMPT_TOKEN_COST, SHORT_OUTPUT, FairQueue
from guavacleat.forwarding.refusals import RefusalError, RefusalReason

__all__ = ["GenerationQueue"]

# Part of a request's time that it may wait here; what is left is enough to be served elsewhere
# when its caller comes back.
HOLD_SHARE = 1 / 3
# Room that comes is seen by all gateways at once. Each looks after a random part of this, a few
# times what a peer's report takes, so that they seldom all send to the same engine.
STAGGER_SECONDS = 0.03
# Room that no report tells of (a silent peer's runs, a new engine) is looked for this often.
POLL_SECONDS = 0.1
# How far back the pace is measured by which a wait is predicted, and the fewest dispatches that
# make one.
PACE_SECONDS = 3.0
PACE_DISPATCHES = 4
RETRY_AFTER_SECONDS = 1.0


class _Share:
    """Whose turn a waiting request takes up; see :class:`FairQueue`."""

    __slots__ = ("account", "weight", "priority")

    def __init__(self, account: str | None, priority: int):
        self.account = account
        self.weight = 1.0
        self.priority = priority


class _Waiting:
    """A request that waits.

    :param request: its share, under the name by which :class:`FairQueue` asks for it.
    :param rank: whether it will be late, then its priority; lower goes first.
    :param began: clock time at which it began to wait.
    :param given: fires with the endpoint, with None if the caller withdrew.
    """

    __slots__ = ("forwarded", "request", "tried", "rank", "given", "timers", "began")

    def __init__(self, forwarded, tried: set[str], rank: tuple[bool, int], began: float):
        self.forwarded = forwarded
        self.request = _Share(forwarded.account_name, forwarded.priority)
        self.tried = frozenset(tried)
        self.rank = rank
        self.began = began
        self.given: defer.Deferred | None = None
        self.timers = []


class _ServiceQueue:
    """The waiting requests of one service by rank: whether late, then priority."""

    __slots__ = ("queues_by_rank", "dispatched")

    def __init__(self):
        self.queues_by_rank: dict[tuple[bool, int], FairQueue] = {}
        # (clock time, prompt tokens) of the latest dispatches.
        self.dispatched: collections.deque[tuple[float, int]] = collections.deque()

    def __len__(self) -> int:
        return sum(map(len, self.queues_by_rank.values()))

    def at(self, rank: tuple[bool, int]) -> FairQueue:
        return self.queues_by_rank.setdefault(rank, FairQueue())

    def in_order(self) -> list[FairQueue]:
        return [self.queues_by_rank[rank] for rank in sorted(self.queues_by_rank)]


class GenerationQueue:
    """Gives out engines of ``placement`` to requests for generations."""

    def __init__(self, clock, placement, seed=None):
        self.clock = clock
        self.placement = placement
        self.random = random.Random(seed)
        self.queues_by_service: dict[str, _ServiceQueue] = {}
        # Prompt tokens waiting, by service and rank.
        self.tokens_by_rank: collections.Counter = collections.Counter()
        self._look_call = None

    def acquire(self, request, tried: set[str]) -> defer.Deferred:
        """Fire with an engine that has room for ``request``; with None if there is no engine.

        Fails with :class:`RefusalError` if the wait is expected to be, or was, too long.
        Cancelling it withdraws the request, and fires it with None.
        """
        if not self.placement.ready(request.service, tried):
            return defer.succeed(None)
        queue = self.queues_by_service.setdefault(request.service, _ServiceQueue())
        now = self.clock.seconds()
        on_time_until = self.placement.latest_start(request)
        entry = _Waiting(request, tried, (now > on_time_until, request.priority), now)
        if not len(queue) and (engine := self._room_for(entry)) is not None:
            self._note_dispatch(queue, entry)
            return defer.succeed(engine)
        hold_until = request.arrived + HOLD_SHARE * (request.deadline - request.arrived)
        expected = self._expected_wait(queue, entry)
        if now + expected > hold_until:
            retry_after = max(RETRY_AFTER_SECONDS, now + expected - hold_until)
            return defer.fail(self._refusal(entry, retry_after, "expected", expected))
        entry.given = defer.Deferred(lambda given: self._withdraw(queue, entry))
        entry.timers = [self.clock.callLater(hold_until - now, self._expire, queue, entry)]
        if not entry.rank[0]:
            wait = on_time_until - now
            entry.timers.append(self.clock.callLater(wait, self._becomes_late, queue, entry))
        self._push(queue, entry)
        log_message(
            message_type="stream:waits",
            request=request.metadata.id,
            waiting=len(queue),
            expected=round(expected, 3),
        )
        self.schedule_dispatch()
        return entry.given

    def waiting(self, service: str) -> int:
        """Requests that wait for an engine of the service."""
        queue = self.queues_by_service.get(service)
        return 0 if queue is None else len(queue)

    def schedule_dispatch(self) -> None:
        """Something changed on the engines: look whether a waiting request has room now."""
        if any(map(len, self.queues_by_service.values())):
            self._look_within(self.random.uniform(0.0, STAGGER_SECONDS))

    def _look_within(self, seconds: float) -> None:
        call = self._look_call
        if call is not None and call.active():
            if call.getTime() <= self.clock.seconds() + seconds:
                return
            call.cancel()
        self._look_call = self.clock.callLater(seconds, self._look)

    def _look(self) -> None:
        for queue in self.queues_by_service.values():
            while self._serve_next(queue):
                pass
        if any(map(len, self.queues_by_service.values())):
            self._look_within(POLL_SECONDS)

    def _serve_next(self, queue: _ServiceQueue) -> bool:
        """Place the first that has room; behind one that has none, only short outputs go.

        What a short output uses is free again before it delays the one it passed by much.
        """
        only_short = False
        for fair in queue.in_order():
            for entry in fair.others():
                if only_short and not _is_short(entry):
                    continue
                engine = self._room_for(entry)
                if engine is not None:
                    self._settle(queue, entry)
                    self._note_dispatch(queue, entry)
                    entry.given.callback(engine)
                    return True
                only_short = True
        return False

    def _room_for(self, entry: _Waiting):
        return self.placement.choose_for_generation(entry.forwarded, entry.tried)

    def _note_dispatch(self, queue: _ServiceQueue, entry: _Waiting) -> None:
        request = entry.forwarded
        queue.dispatched.append((self.clock.seconds(), request.prompt_tokens))
        output = request.expected_tokens() - request.prompt_tokens
        cost = PROMPT_TOKEN_COST * request.prompt_tokens + output
        queue.at(entry.rank).charge(entry.request, cost)

    def _expected_wait(self, queue: _ServiceQueue, entry: _Waiting) -> float:
        """Seconds until the prompts before this one are dispatched, at the pace of late."""
        now = self.clock.seconds()
        while queue.dispatched and queue.dispatched[0][0] < now - PACE_SECONDS:
            queue.dispatched.popleft()
        ahead = sum(
            self.tokens_by_rank[entry.forwarded.service, rank]
            for rank in queue.queues_by_rank
            if rank <= entry.rank
        )
        if len(queue.dispatched) < PACE_DISPATCHES:
            return 0.0
        pace = sum(tokens for _, tokens in queue.dispatched) / PACE_SECONDS
        return ahead / max(1.0, pace)

    def _push(self, queue: _ServiceQueue, entry: _Waiting) -> None:
        queue.at(entry.rank).push(entry)
        self.tokens_by_rank[entry.forwarded.service, entry.rank] += entry.forwarded.prompt_tokens

    def _remove(self, queue: _ServiceQueue, entry: _Waiting) -> None:
        queue.at(entry.rank).remove(entry)
        self.tokens_by_rank[entry.forwarded.service, entry.rank] -= entry.forwarded.prompt_tokens

    def _becomes_late(self, queue: _ServiceQueue, entry: _Waiting) -> None:
        self._remove(queue, entry)
        entry.rank = (True, entry.rank[1])
        self._push(queue, entry)

    def _expire(self, queue: _ServiceQueue, entry: _Waiting) -> None:
        self._settle(queue, entry)
        waited = self.clock.seconds() - entry.began
        entry.given.errback(self._refusal(entry, RETRY_AFTER_SECONDS, "waited", waited))

    def _withdraw(self, queue: _ServiceQueue, entry: _Waiting) -> None:
        self._settle(queue, entry)
        entry.given.callback(None)

    def _settle(self, queue: _ServiceQueue, entry: _Waiting) -> None:
        self._remove(queue, entry)
        for timer in entry.timers:
            if timer.active():
                timer.cancel()

    def _refusal(self, entry, retry_after: float, word: str, seconds: float) -> RefusalError:
        return RefusalError(RefusalReason.NO_ROOM, retry_after, f"{word} to wait {seconds:.2f} s")


def _is_short(entry: _Waiting) -> bool:
    request = entry.forwarded
    return request.expected_tokens() - request.prompt_tokens <= SHORT_OUTPUT
