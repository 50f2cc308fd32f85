"""Moves a stream to another engine while its current engine still runs it.

A resumed stream prefills its last tokens on the new engine, and streams that resume there at the
same time wait for each other. Handing them over one by one, before their engine ends, keeps the
pauses short.

The run is stopped on its current engine before it resumes on the new one, so that it never executes
on both. If the engine does not stop it, the stream stays there. The last events of the current
engine are delayed, which hides part of the new engine's startup time.

The run resumes from the copy that exists, as the one made with the stop may be queued behind copies
of other runs. Only if that is refused, the later copy is awaited; if the new engine has no room for
it, the run resumes from the memory that its engine has kept.
"""

import collections

from twisted.internet import defer

from guavacleat.forwarding.copies import free_copy
from guavacleat.forwarding.memory import RunCopy
from guavacleat.forwarding.messages import ResumePoint
from guavacleat.forwarding.run_stop import StreamStop
from guavacleat.forwarding.stream_attempt import NOT_RUN_OUTCOMES, StreamAttempt, StreamOutcome
from guavacleat.retries import RetryPurpose

__all__ = ["Handover"]

# Maximum wait for the current engine's next event; the run is stopped right after it.
NEXT_EVENT_TIMEOUT_SECONDS = 0.08
# Delay of the current engine's events during the handover; callers accept little more.
EVENT_DELAY_SECONDS = 0.09


class Handover:
    """One handover of ``session``, a :class:`~.session.StreamSession` that has a copy.

    :ivar attempt: the attempt on the new engine; None until it is opened.
    """

    def __init__(self, session):
        self.session = session
        self.attempt: StreamAttempt | None = None
        self._source = session.attempt
        self._copy = session.memory.copy
        self._stop = StreamStop(session.context, self._source, self._copy.entry)
        # Fires when the attempt was opened or failed to open.
        self._opened = defer.Deferred()
        # Fires at the first event of the new attempt, at its end, and when the handover is over.
        self._decided = defer.Deferred()
        # Fires with whether the stream switched to the new engine.
        self._ended = defer.Deferred()
        self._next_event = defer.Deferred()
        # Whether the new engine refused the stream.
        self._refused = False
        # Events of the current engine that the caller gets after a delay.
        self._delayed: collections.deque = collections.deque()

    async def run(self) -> bool:
        """Run the handover; return whether the stream switched to the new engine."""
        session = self.session
        timer = session.context.clock.callLater(
            NEXT_EVENT_TIMEOUT_SECONDS, self.stop_waiting_for_event
        )
        await self._next_event
        if timer.active():
            timer.cancel()
        if self._is_possible():
            self.attempt = await session.opener.open_after(
                self._copy.entry, RetryPurpose.HANDOVER, self._stop_current_run
            )
        if self.attempt is None:
            self._opened.callback(None)
            self._end(False)
        else:
            session.memory.drop_copy()
            self.attempt.done.addCallback(self._attempt_ended)
            self._opened.callback(None)
        switched = await self._ended
        if switched:
            freeing = defer.Deferred.fromCoroutine(self._free_later_copy())
            freeing.addErrback(session.log_error)
        return switched

    async def _free_later_copy(self) -> None:
        """Free the copy made with the stop, as the run went on from the one before."""
        response = await self._stop.wait_for_response()
        if response.handle not in (None, self._copy.handle):
            context, source = self.session.context, self._source.entry
            await free_copy(context, source.address, response.handle)

    def _is_possible(self) -> bool:
        """Whether the run still executes on its engine, and the copy's engine may take it."""
        session = self.session
        if session.memory.copy is not self._copy or session.finished or self._source.ended:
            return False
        return session.context.may_resume_on(self._copy.entry)

    async def _stop_current_run(self) -> ResumePoint | None:
        """Stop the run on its engine; return where it resumes, or None if it was not stopped."""
        if not self._is_possible():
            return None
        if not await self._stop.run() or self.session.finished:
            return None
        return ResumePoint(self._copy.source.address, self._copy.handle, self._last_event())

    def _last_event(self) -> int:
        """The last event received from the current engine, whether or not it was forwarded."""
        ids = [event.id for event in self._delayed if event.id is not None]
        return max([self.session.last_event, *ids])

    def forward_later(self, event) -> None:
        """Forward an event of the current engine after a delay."""
        self._delayed.append(event)
        self.session.context.clock.callLater(EVENT_DELAY_SECONDS, self._forward_delayed)
        self.stop_waiting_for_event()

    def _forward_delayed(self) -> None:
        if self._delayed:
            self.session.forward_event(self._source, self._delayed.popleft())

    def stop_waiting_for_event(self) -> None:
        """Stop waiting for the current engine's next event."""
        if not self._next_event.called:
            self._next_event.callback(None)

    async def take_attempt(self) -> StreamAttempt | None:
        """Return the new attempt after the current one ended, at its first event.

        Returns None if there is none; the stream may then have another copy.
        """
        self.stop_waiting_for_event()
        if not self._opened.called:
            opened = defer.Deferred()
            self._opened.addCallback(opened.callback)
            await opened
        if self.attempt is not None and not self.attempt.ended:
            await self._decided
        if self._refused:
            await self._use_later_copy()
        switched = self.attempt is not None and not self.attempt.ended
        self._end(switched)
        return self.attempt if switched else None

    def new_engine_sent_event(self) -> None:
        """Switch to the new engine."""
        if not self._decided.called:
            self._decided.callback(None)

    def abandon(self) -> None:
        """Cancel the handover because the stream has ended."""
        self.stop_waiting_for_event()
        if self.attempt is not None and not self.attempt.ended:
            self.attempt.abandon()
        self._end(False)

    def _attempt_ended(self, outcome: StreamOutcome) -> StreamOutcome:
        """The new attempt ended before the switch."""
        self._refused = outcome in NOT_RUN_OUTCOMES
        self.new_engine_sent_event()
        return outcome

    async def _use_later_copy(self) -> None:
        """Let the stream resume from the copy that was made with the stop."""
        response = await self._stop.wait_for_response()
        context, source = self.session.context, self._source.entry
        if response.copied and context.may_resume_on(self._copy.entry):
            self.session.memory.set_copy(RunCopy(self._copy.entry, source, response.handle))
        elif response.handle is not None and context.may_return_to(source):
            self.session.memory.set_copy(RunCopy(source, source, response.handle))

    def _end(self, switched: bool) -> None:
        while self._delayed:
            self._forward_delayed()
        self.new_engine_sent_event()
        if not self._ended.called:
            self._ended.callback(switched)
