"""A virtual clock for long runs: Twisted's, with its calls in a heap."""

import heapq
import itertools

from twisted.internet.base import DelayedCall
from twisted.internet.task import Clock

__all__ = ["HeapClock"]


class HeapClock(Clock):
    """Runs the same calls in the same order as :class:`Clock`, which sorts all of them each time.

    An entry of the heap holds the time that its call had then. A call that was put off is found
    out when its entry comes up; one that was brought forward has a second, earlier entry.
    """

    def __init__(self):
        super().__init__()
        self._heap: list[tuple[float, int, DelayedCall]] = []
        # Calls of the same time run in the order in which they were made.
        self._numbers = itertools.count()

    def callLater(self, delay, callable, *args, **kwargs):  # noqa: N802 - Twisted's name
        call = DelayedCall(
            self.seconds() + delay,
            callable,
            args,
            kwargs,
            lambda call: None,
            self._push,
            self.seconds,
        )
        self._push(call)
        return call

    def getDelayedCalls(self):  # noqa: N802 - Twisted's name
        calls = {id(call): call for _, _, call in self._heap if call.active()}
        return sorted(calls.values(), key=lambda call: call.getTime())

    def next_time(self) -> float | None:
        """When the next call is due; None if there is none."""
        call = self._first()
        return None if call is None else call.getTime()

    def advance(self, amount: float) -> None:
        self.rightNow += amount
        while (call := self._first()) is not None and call.getTime() <= self.seconds():
            heapq.heappop(self._heap)
            call.called = 1
            call.func(*call.args, **call.kw)

    def _push(self, call: DelayedCall) -> None:
        heapq.heappush(self._heap, (call.getTime(), next(self._numbers), call))

    def _first(self) -> DelayedCall | None:
        """The call that is due first, at the top of the heap with its present time."""
        while self._heap:
            at, _, call = self._heap[0]
            if call.active() and call.getTime() <= at:
                return call
            heapq.heappop(self._heap)
            if call.active():
                self._push(call)
        return None
