"""A stream that goes on at another engine while its present engine still runs it.

An engine that leaves takes all its streams with it at one moment. Where several go on at the same
engine then, each waits for the others' last tokens to be read, and their callers see pauses of 0.2
to 0.3 s. Handed over one after the other, each pauses only for its own.

The present engine is left at the first event from the other one, or after ``OVERLAP_SECONDS``: a
run may not be worked on twice for longer than 0.4 s.
"""

import collections

from twisted.internet import defer

from guavacleat.forwarding.leg import Leg, LegEnd
from guavacleat.forwarding.messages import ResumePoint

__all__ = ["Handover"]

# Well below the time that both engines may run the stream, for the way to either of them.
OVERLAP_SECONDS = 0.25
# Longest wait for the next event: the request is sent right after one, so that the pause does not
# begin with waiting for nothing.
NEXT_EVENT_SECONDS = 0.08
# The other engine is behind by what it takes to begin there. Events of the present one are passed
# on later by this much meanwhile, which takes it off the pause in the end.
HOLD_SECONDS = 0.09


class Handover:
    """One attempt for ``session``, a :class:`~.session.StreamSession`, which holds a copy.

    :param leg: the stream at the other engine, once it was asked for.
    """

    def __init__(self, session):
        self.session = session
        self.leg: Leg | None = None
        # Fire, each once: when it is known whether there is a leg; with whether the stream went on
        # there; when the present engine sent an event.
        self._opened = defer.Deferred()
        self._ended = defer.Deferred()
        self._event = defer.Deferred()
        # Ends the time in which both engines may run the stream.
        self._overlap = None
        # Events of the present engine that came after the other one was asked.
        self._held: collections.deque = collections.deque()

    async def run(self) -> bool:
        """Return whether the stream goes on at the other engine."""
        session = self.session
        clock = session.context.clock
        copy = session.memory.copy
        session.context.budget.record_retry(session.request.service)
        timer = clock.callLater(NEXT_EVENT_SECONDS, self.note_event)
        await self._event
        if timer.active():
            timer.cancel()
        if session.memory.copy is not copy or session.finished or session.leg.ended:
            self._opened.callback(None)
            return False
        point = ResumePoint(copy.source.address, copy.handle, session.last_event)
        self.leg = await session.opener.open(copy.entry, point, protect=False)
        if self.leg is not None:
            session.memory.drop_copy()
            self._overlap = clock.callLater(OVERLAP_SECONDS, session.leave_engine)
            self.leg.done.addCallback(self._leg_ended)
        self._opened.callback(None)
        if self.leg is None:
            return False
        return await self._ended

    def present_event(self, leg: Leg, event) -> None:
        """The present engine sent an event: pass it on, late once the other engine was asked."""
        if self.leg is None:
            self.session.pass_on(leg, event)
            self.note_event()
            return
        self._held.append((leg, event))
        self.session.context.clock.callLater(HOLD_SECONDS, self._pass_held)

    def _pass_held(self) -> None:
        if self._held:
            self.session.pass_on(*self._held.popleft())

    def note_event(self) -> None:
        """Wait no longer for an event of the present engine."""
        if not self._event.called:
            self._event.callback(None)

    async def take(self) -> Leg | None:
        """The leg to go on with, now that the present one has ended; None if there is none."""
        self.note_event()
        if not self._opened.called:
            opened = defer.Deferred()
            self._opened.addCallback(opened.callback)
            await opened
        if self.leg is None or self.leg.ended:
            return None
        self._end(True)
        return self.leg

    def abandon(self) -> None:
        """The stream is over."""
        self.note_event()
        if self.leg is not None and not self.leg.ended:
            self.leg.abandon()
        self._end(False)

    def _leg_ended(self, end: LegEnd) -> LegEnd:
        """Refused or broken before it was used: the present engine still has the stream."""
        self._end(False)
        return end

    def _end(self, taken: bool) -> None:
        if self._overlap is not None and self._overlap.active():
            self._overlap.cancel()
        if taken:
            # The other engine generates these anew.
            self._held.clear()
        while self._held:
            self._pass_held()
        if not self._ended.called:
            self._ended.callback(taken)
