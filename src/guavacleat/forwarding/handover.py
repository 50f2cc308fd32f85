"""Moves a stream to another engine while its current engine still runs it.

A resumed stream prefills its last tokens on the new engine, and streams that resume there at the
same time wait for each other. Handing them over one by one, before their engine stops, keeps the
pauses short.

The attempt on the current engine ends at the first event from the new one, or after
``OVERLAP_SECONDS``: a run may execute on two engines for at most 0.4 s.
"""

import collections

from twisted.internet import defer

from guavacleat.forwarding.messages import ResumePoint
from guavacleat.forwarding.stream_attempt import StreamAttempt, StreamOutcome
from guavacleat.retries import RetryPurpose

__all__ = ["Handover"]

# Below the 0.4 s for which both engines may run the stream, to allow for network latency.
OVERLAP_SECONDS = 0.25
# Maximum wait for the current engine's next event; the resume request is sent right after it.
NEXT_EVENT_TIMEOUT_SECONDS = 0.08
# Delay of the current engine's events during the handover, which hides part of the new engine's
# startup time.
EVENT_DELAY_SECONDS = 0.09


class Handover:
    """One handover of ``session``, a :class:`~.session.StreamSession` that has a copy.

    :ivar attempt: the attempt on the new engine; None until it is opened.
    """

    def __init__(self, session):
        self.session = session
        self.attempt: StreamAttempt | None = None
        # Fires when the attempt was opened or failed to open.
        self._opened = defer.Deferred()
        # Fires with whether the stream switched to the new engine.
        self._ended = defer.Deferred()
        self._next_event = defer.Deferred()
        self._overlap_timer = None
        # Events that the current engine sent after the new attempt was opened.
        self._delayed: collections.deque = collections.deque()

    async def run(self) -> bool:
        """Run the handover; return whether the stream switched to the new engine."""
        session = self.session
        clock = session.context.clock
        copy = session.memory.copy
        timer = clock.callLater(NEXT_EVENT_TIMEOUT_SECONDS, self.stop_waiting_for_event)
        await self._next_event
        if timer.active():
            timer.cancel()
        if session.memory.copy is not copy or session.finished or session.attempt.ended:
            self._opened.callback(None)
            return False
        point = ResumePoint(copy.source.address, copy.handle, session.last_event)
        self.attempt = await session.opener.open(
            copy.entry, RetryPurpose.HANDOVER, point, with_backup=False
        )
        if self.attempt is not None:
            session.memory.drop_copy()
            self._overlap_timer = clock.callLater(OVERLAP_SECONDS, session.stop_current_attempt)
            self.attempt.done.addCallback(self._attempt_ended)
        self._opened.callback(None)
        if self.attempt is None:
            return False
        return await self._ended

    def forward_or_delay(self, attempt: StreamAttempt, event) -> None:
        """Forward an event of the current engine, with a delay once the new attempt is open."""
        if self.attempt is None:
            self.session.forward_event(attempt, event)
            self.stop_waiting_for_event()
            return
        self._delayed.append((attempt, event))
        self.session.context.clock.callLater(EVENT_DELAY_SECONDS, self._forward_delayed)

    def _forward_delayed(self) -> None:
        if self._delayed:
            self.session.forward_event(*self._delayed.popleft())

    def stop_waiting_for_event(self) -> None:
        """Stop waiting for the current engine's next event."""
        if not self._next_event.called:
            self._next_event.callback(None)

    async def take_attempt(self) -> StreamAttempt | None:
        """Return the new attempt after the current one ended; None if there is none."""
        self.stop_waiting_for_event()
        if not self._opened.called:
            opened = defer.Deferred()
            self._opened.addCallback(opened.callback)
            await opened
        if self.attempt is None or self.attempt.ended:
            return None
        self._end(True)
        return self.attempt

    def abandon(self) -> None:
        """Cancel the handover because the stream has ended."""
        self.stop_waiting_for_event()
        if self.attempt is not None and not self.attempt.ended:
            self.attempt.abandon()
        self._end(False)

    def _attempt_ended(self, outcome: StreamOutcome) -> StreamOutcome:
        """The new attempt ended before the switch: the stream stays on the current engine."""
        self._end(False)
        return outcome

    def _end(self, switched: bool) -> None:
        if self._overlap_timer is not None and self._overlap_timer.active():
            self._overlap_timer.cancel()
        if switched:
            # The new engine regenerates these events.
            self._delayed.clear()
        while self._delayed:
            self._forward_delayed()
        if not self._ended.called:
            self._ended.callback(switched)
