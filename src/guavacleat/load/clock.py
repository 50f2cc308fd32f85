"""A virtual clock for long runs: a Twisted clock that keeps its calls in a heap."""

import heapq
import itertools

from twisted.internet.base import DelayedCall
from twisted.internet.task import Clock

__all__ = ["HeapClock"]


class HeapClock(Clock):
    """Runs calls in the same order as :class:`Clock`, without sorting all of them on each change.

    A heap entry holds the time that its call had when it was pushed. The entry of a postponed call
    is pushed again with the new time when it reaches the top; a call that was moved to an earlier
    time has a second entry.
    """

    def __init__(self):
        super().__init__()
        self._heap: list[tuple[float, int, DelayedCall]] = []
        # Breaks ties: calls due at the same time run in insertion order.
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
        """Return the time of the next call, or None."""
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
        """Return the earliest active call, left at the top of the heap with its current time."""
        while self._heap:
            at, _, call = self._heap[0]
            if call.active() and call.getTime() <= at:
                return call
            heapq.heappop(self._heap)
            if call.active():
                self._push(call)
        return None
