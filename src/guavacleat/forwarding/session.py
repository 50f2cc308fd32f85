"""Forwards one streaming request, possibly across several endpoints.

The caller receives each event exactly once and in the order of the event ids. A run that migrates
to another engine, or resumes there from a copy of its memory, continues the same generation. If
the run cannot continue, the caller's connection is closed without a final chunk, so that the
response never looks complete.
"""

from eliot import log_message
from twisted.internet import defer

from guavacleat.forwarding.attempt_opener import AttemptOpener
from guavacleat.forwarding.copies import free_copy
from guavacleat.forwarding.handover import Handover
from guavacleat.forwarding.isolation import check_quarantine, may_resume_at, place_isolated
from guavacleat.forwarding.memory import RunCopy, StreamMemory
from guavacleat.forwarding.messages import ResumePoint
from guavacleat.forwarding.refusals import RefusalError, RefusalReason, no_endpoint, throttled
from guavacleat.forwarding.request import ForwardedRequest
from guavacleat.forwarding.response import begin_response
from guavacleat.forwarding.run_stop import stop_detached_run
from guavacleat.forwarding.stream_attempt import NOT_RUN_OUTCOMES, StreamAttempt, StreamOutcome
from guavacleat.forwarding.stream_end import describe_end
from guavacleat.forwarding.timings import StreamTimings
from guavacleat.membership.entries import EndpointEntry
from guavacleat.retries import RetryPurpose

__all__ = ["StreamSession"]

# Maximum number of sends while no endpoint has started to run the request.
MAX_SENDS = 4
RETRY_AFTER_NO_ROOM_SECONDS = 1.0
# Completes a sentence in the logs.
BUDGET_EXHAUSTED = "the retry budget was exhausted"


class StreamSession:
    """Forwards one streaming request.

    :param context: the :class:`~.context.ForwardingContext`.
    :param sessions: set that contains this session while it is active.
    """

    def __init__(self, request: ForwardedRequest, context, sessions: set):
        self.request = request
        self.context = context
        self.sessions = sessions
        self.attempt: StreamAttempt | None = None
        self.last_event: int | None = None
        self.moves = 0
        # Whether the retry budget keeps room for a move of this stream.
        self.movable = False
        self.timings = StreamTimings(request.arrived_at)
        self.memory = StreamMemory(request, context.load)
        self.handover: Handover | None = None
        self.opener = AttemptOpener(self, request, context, self.memory, self._log)
        # Set while the request waits in the admission queue.
        self.pending_placement: defer.Deferred | None = None
        self.cancelled = False
        self.aborted = False
        self.completed = False

    @property
    def finished(self) -> bool:
        return self.request.exchange.ended or self.cancelled

    async def run(self) -> None:
        """Forward the stream; raise :class:`RefusalError` if no response was started."""
        try:
            await self._run_until_deadline()
        finally:
            self._log(**describe_end(self))

    async def _run_until_deadline(self) -> None:
        exchange = self.request.exchange
        exchange.on_disconnect = self.cancel
        exchange.producer = self
        timer = self.context.clock.callLater(self.time_left(), self._deadline_expired)
        self.sessions.add(self)
        try:
            await self._run()
        finally:
            if self.handover is not None:
                self.handover.abandon()
            self._free_copy()
            self.sessions.discard(self)
            if self.movable:
                self.context.budget.stream_ended(self.request.service)
            exchange.on_disconnect = None
            exchange.producer = None
            if timer.active():
                timer.cancel()

    def _free_copy(self) -> None:
        """Free a copy that was not used.

        An engine frees a backup by itself when the run completes.
        """
        copy = self.memory.copy
        completed_normally = self.request.exchange.ended and not self.aborted and not self.cancelled
        self.memory.drop_copy()
        if copy is not None and not (copy.backup and completed_normally):
            freeing = free_copy(self.context, copy.source.address, copy.handle)
            defer.Deferred.fromCoroutine(freeing).addErrback(self.log_error)

    def log_error(self, failure) -> None:
        """Log the failure of a task that the stream doesn't wait for."""
        self._log("stream:error", error=failure.getTraceback())

    async def _run(self) -> None:
        outcome = await self._start()
        while not self.finished:
            if outcome is StreamOutcome.COMPLETE:
                if self.handover is not None:
                    self.handover.abandon()
                self.completed = True
                self.request.exchange.end()
                return
            if outcome is StreamOutcome.ENDPOINT_ERROR and self.last_event is None:
                self._forward_failure()
                return
            if outcome in NOT_RUN_OUTCOMES:
                # The endpoint has no copy to resume from and did not create the new backup.
                self.memory.drop_copy()
            if not await self._resume_elsewhere():
                self._fail(outcome)
                return
            outcome = await self._attempt_outcome()

    async def _start(self) -> StreamOutcome:
        """Send to endpoints until one runs the request; return that attempt's outcome."""
        request, tried = self.request, set()
        for sends in range(MAX_SENDS):
            if sends and not self._may_send(RetryPurpose.REPEAT):
                break
            entry = await self._choose_endpoint(tried)
            if entry is None:
                break
            tried.add(entry.id)
            if not await self._send(entry, RetryPurpose.REPEAT):
                continue
            outcome = await self._attempt_outcome()
            if outcome not in NOT_RUN_OUTCOMES:
                return outcome
            self._record_refusal(entry, outcome)
            if self.cancelled or self.time_left() <= 0:
                break
        if not tried:
            raise no_endpoint(self.context, request)
        no_room = RefusalError(RefusalReason.NO_ROOM, RETRY_AFTER_NO_ROOM_SECONDS)
        raise throttled(self.context.placement, request, set()) or no_room

    async def _choose_endpoint(self, tried: set[str]) -> EndpointEntry | None:
        """Return the endpoint to send to; None if none is available or the caller left."""
        request = self.request
        if not self.context.quarantine.is_unrestricted(request):
            entry = place_isolated(self.context, request, tried)
            if entry is not None or request.traits.engine is None:
                return entry
        if request.traits.engine is None:
            return self.context.placement.choose_for_plain_request(request, tried)
        self.pending_placement = self.context.queue.acquire(request, tried)
        try:
            entry = await self.pending_placement
        finally:
            self.pending_placement = None
        # The request may have been quarantined while it waited.
        check_quarantine(self.context, request)
        return entry

    def _may_send(self, purpose: RetryPurpose) -> bool:
        return self.context.budget.may_send(self.request, purpose)

    async def _send(
        self, entry: EndpointEntry, purpose: RetryPurpose, resume: ResumePoint | None = None
    ) -> bool:
        """Send the request to ``entry``; return False if it was not sent."""
        attempt = await self.opener.open(entry, purpose, resume)
        if attempt is None:
            return False
        self._use_attempt(attempt)
        return True

    def _use_attempt(self, attempt: StreamAttempt) -> None:
        self.attempt = attempt
        if self.request.exchange.paused:
            self.pause()
        self.memory.use_run(attempt.run)
        self.memory.set_copy(attempt.backup)

    async def hand_over(self) -> bool:
        """Stop the run on its engine and resume it from the copy; return whether that succeeded."""
        if self.handover is not None or self.memory.copy is None or self.last_event is None:
            return False
        if self.attempt.ended or self.attempt.ignores_stop:
            return False
        if not self.context.quarantine.is_unrestricted(self.request):
            return False
        if not self.context.placement.throttle.may_send(self.memory.copy.entry):
            return False
        if not self._may_send(RetryPurpose.HANDOVER):
            return False
        self.handover = Handover(self)
        try:
            switched = await self.handover.run()
        finally:
            self.handover = None
        self._log(
            "stream:handed-over" if switched else "stream:stays", endpoint=self.attempt.entry.id
        )
        return switched

    def stop_current_attempt(self) -> None:
        """Close the current attempt, so that the stream continues on another engine."""
        if not self.attempt.ended:
            self.attempt.abandon()

    async def _attempt_outcome(self) -> StreamOutcome:
        return await self.attempt.done

    def attempt_started(self, attempt: StreamAttempt) -> None:
        """Called when an endpoint has started a valid stream."""
        if not self.request.exchange.head_sent:
            begin_response(self.request.exchange, attempt.head)
        if not self.movable and self.memory.worth_moving():
            self.movable = True
            self.context.budget.stream_started(self.request.service)

    def attempt_event(self, attempt: StreamAttempt, event) -> None:
        """Called with each complete event from an endpoint."""
        if self.handover is not None and attempt is self.attempt:
            self.handover.forward_later(event)
            return
        if self.handover is not None:
            self.handover.new_engine_sent_event()
        self.forward_event(attempt, event)

    def forward_event(self, attempt: StreamAttempt, event) -> None:
        """Send the event to the caller if it is the next one of the current attempt."""
        if attempt is not self.attempt or self.finished:
            return
        if event.id is not None:
            if self.last_event is not None and event.id <= self.last_event:
                return
            if self.last_event is not None and event.id > self.last_event + 1:
                # Events are missing: forwarding later ones would leave a gap.
                self._log("stream:gap", endpoint=attempt.entry.id, event=event.id)
                attempt.abandon()
                return
            self.last_event = event.id
            self.memory.record_event()
        if self.timings.first_event_delay is None and self.request.traits.engine is not None:
            seconds = self.context.clock.seconds() - attempt.sent_at
            self.context.placement.observe_first_event(self.request, attempt.entry, seconds)
        self.timings.event_sent(self.context.clock.seconds(), event.id)
        self.request.exchange.write(event.data)

    async def _resume_elsewhere(self) -> bool:
        """Continue a failed attempt on another engine; return False if none can."""
        if self.handover is not None:
            attempt = await self.handover.take_attempt()
            if attempt is not None and not self.finished:
                self.moves += 1
                self._use_attempt(attempt)
                return True
        copy = self.memory.copy
        if copy is not None and not self._may_send(RetryPurpose.RESUME):
            # The copy is freed when the stream ends.
            self._log("stream:not-resumed", endpoint=copy.entry.id, cause=BUDGET_EXHAUSTED)
            return False
        if copy is not None and self.last_event is not None and not self.attempt.run_stopped:
            copy = await self._stop_former_run(copy)
        self.memory.drop_copy()
        if copy is None or self.last_event is None or self.finished:
            return False
        if not may_resume_at(self.context, self.request, copy.entry):
            self._log("stream:not-resumed", endpoint=copy.entry.id)
            return False
        throttle_cause = self.context.placement.throttle.cause(copy.entry)
        if throttle_cause is not None:
            self._log("stream:copy-cold", endpoint=copy.entry.id, cause=throttle_cause.value)
            return False
        point = ResumePoint(copy.source.address, copy.handle, self.last_event)
        self.moves += 1
        self._log("stream:resumed", endpoint=copy.entry.id, source=copy.source.id)
        return await self._send(copy.entry, RetryPurpose.RESUME, point)

    async def _stop_former_run(self, copy: RunCopy) -> RunCopy | None:
        """Stop the run on the engine whose connection was lost; return the copy to resume from.

        Returns None if the engine responds and the run may still execute, or if the copy's engine
        began to leave.
        """
        source = self.attempt.entry
        response = await stop_detached_run(
            self.context, self.request.metadata.id, source, copy.entry
        )
        if response.status and not response.is_stopped:
            self._log("stream:not-stopped", endpoint=source.id, status=response.status)
            return None
        if self.memory.copy is not copy:
            return None
        return copy if response.handle is None else RunCopy(copy.entry, source, response.handle)

    def _record_refusal(self, entry: EndpointEntry, outcome: StreamOutcome) -> None:
        self._log("stream:refused", endpoint=entry.id, end=outcome.value)
        if outcome is StreamOutcome.WRONG_INCARNATION:
            self.context.registry.remove_stale(entry.id)

    def _forward_failure(self) -> None:
        exchange = self.request.exchange
        begin_response(exchange, self.attempt.head)
        exchange.write(bytes(self.attempt.failure_body))
        exchange.end()

    def _fail(self, outcome: StreamOutcome) -> None:
        """Fail the stream: an error response if none was started, else close the connection."""
        self._log("stream:broken", endpoint=self.attempt.entry.id, end=outcome.value)
        if self.finished:
            return
        if not self.request.exchange.head_sent:
            raise RefusalError(RefusalReason.BROKEN)
        self._abort()

    def _abort(self) -> None:
        self.aborted = True
        self.request.exchange.abort()

    def _deadline_expired(self) -> None:
        if self.finished:
            return
        self._log("stream:expired")
        if self.request.exchange.head_sent:
            self._abort()
        else:
            headers = self.context.wire.refusal_headers(self.request.metadata.id, None)
            self.request.exchange.respond(RefusalReason.EXPIRED.status, headers, b"")
        self.cancel()

    def cancel(self) -> None:
        """Stop the endpoint's work after the caller left or the deadline expired."""
        self.cancelled = True
        if self.pending_placement is not None:
            self.pending_placement.cancel()
        if self.attempt is not None and not self.attempt.ended:
            self.attempt.abandon()
        if self.handover is not None:
            self.handover.abandon()

    def pause(self) -> None:
        if self.attempt is not None and not self.attempt.ended:
            self.attempt.pause()

    def resume(self) -> None:
        if self.attempt is not None and not self.attempt.ended:
            self.attempt.connection.resume()

    def time_left(self) -> float:
        """Seconds until the deadline."""
        return self.request.deadline - self.context.clock.seconds()

    def _log(self, message_type: str, **fields) -> None:
        log_message(
            message_type=message_type,
            request=self.request.metadata.id,
            last_event=self.last_event,
            left=round(self.time_left(), 3),
            **fields,
        )
