"""One caller's stream, from its first endpoint to its last.

Events reach the caller by id, each once and in order, from one generation: a run that is moved to
another engine, or goes on from a copy there, is the same generation. A stream that cannot go on
is cut, so that it never looks complete.
"""

from eliot import log_message
from twisted.internet import defer

from guavacleat.forwarding.answer import pass_head_on
from guavacleat.forwarding.copies import free_copy
from guavacleat.forwarding.handover import Handover
from guavacleat.forwarding.isolation import check_quarantine, may_resume_at, place_isolated
from guavacleat.forwarding.leg import Leg, LegEnd
from guavacleat.forwarding.memory import StreamMemory
from guavacleat.forwarding.messages import ResumePoint
from guavacleat.forwarding.opening import LegOpener
from guavacleat.forwarding.refusals import RefusalError, RefusalReason
from guavacleat.forwarding.request import ForwardedRequest
from guavacleat.forwarding.timings import StreamTimings
from guavacleat.membership.registry import EndpointEntry

__all__ = ["StreamSession"]

# Sends of a stream that no endpoint began to run, at most.
MAX_SENDS = 4
RETRY_AFTER_NO_ENDPOINT = 1.0
RETRY_AFTER_NO_ROOM = 1.0
NEVER_RUN = (LegEnd.NOT_RUN, LegEnd.WRONG_INCARNATION)


class StreamSession:
    """Runs one stream; ``context`` as for plain requests.

    :param sessions: set that holds the session while it runs.
    """

    def __init__(self, request: ForwardedRequest, context, sessions: set):
        self.request = request
        self.context = context
        self.sessions = sessions
        self.leg: Leg | None = None
        self.last_event: int | None = None
        self.moves = 0
        self.timings = StreamTimings(request.arrived)
        self.memory = StreamMemory(request, context.load)
        self.handover: Handover | None = None
        self.opener = LegOpener(self, request, context, self.memory, self._log)
        # While the request waits for an engine that has room.
        self.placing: defer.Deferred | None = None
        self.cancelled = False
        self.cut = False
        self.completed = False

    @property
    def finished(self) -> bool:
        return self.request.exchange.ended or self.cancelled

    async def run(self) -> None:
        """Answer the caller, or raise :class:`RefusalError` if nothing was sent to it yet."""
        try:
            await self._run_until_deadline()
        finally:
            self._log_end()

    async def _run_until_deadline(self) -> None:
        exchange = self.request.exchange
        exchange.on_gone = self.cancel
        exchange.source = self
        timer = self.context.clock.callLater(self.time_left(), self._time_up)
        self.sessions.add(self)
        try:
            await self._run()
        finally:
            if self.handover is not None:
                self.handover.abandon()
            self._free_copy()
            self.sessions.discard(self)
            exchange.on_gone = None
            exchange.source = None
            if timer.active():
                timer.cancel()

    def _free_copy(self) -> None:
        """The stream is over: a copy that is left serves nobody.

        An engine frees a backup by itself when the run ended well.
        """
        copy = self.memory.copy
        ended_well = self.request.exchange.ended and not self.cut and not self.cancelled
        self.memory.drop_copy()
        if copy is not None and not (copy.backup and ended_well):
            freeing = free_copy(self.context, copy.source.address, copy.handle)
            defer.Deferred.fromCoroutine(freeing).addErrback(self._note_error)

    def _note_error(self, failure) -> None:
        self._log("stream:error", error=failure.getTraceback())

    async def _run(self) -> None:
        end = await self._first_legs()
        while not self.finished:
            if end is LegEnd.COMPLETE:
                if self.handover is not None:
                    self.handover.abandon()
                self.completed = True
                self.request.exchange.end()
                return
            if end is LegEnd.FAILED_WHOLE and self.last_event is None:
                self._pass_failure_on()
                return
            if end in NEVER_RUN:
                # The copy was not there; nor is the backup that was asked for with it.
                self.memory.drop_copy()
            if not await self._go_on():
                self._break_off(end)
                return
            end = await self._leg_end()

    async def _first_legs(self) -> LegEnd:
        """Send to endpoints until one runs it; return how that leg ended."""
        request, tried = self.request, set()
        for sends in range(MAX_SENDS):
            if sends and not self.context.budget.may_retry(request.service):
                break
            entry = await self._place(tried)
            if entry is None:
                break
            tried.add(entry.id)
            if sends:
                self.context.budget.record_retry(request.service)
            if not await self._send(entry, None):
                continue
            end = await self._leg_end()
            if end not in NEVER_RUN:
                return end
            self._note_refused(entry, end)
            if self.cancelled or self.time_left() <= 0:
                break
        if not tried:
            raise RefusalError(RefusalReason.NO_ENDPOINT, RETRY_AFTER_NO_ENDPOINT)
        raise RefusalError(RefusalReason.NO_ROOM, RETRY_AFTER_NO_ROOM)

    async def _place(self, tried: set[str]) -> EndpointEntry | None:
        """The endpoint to send to; None if there is none, or the caller left meanwhile."""
        request = self.request
        if not self.context.quarantine.is_unrestricted(request):
            entry = place_isolated(self.context, request, tried)
            if entry is not None or request.traits.engine is None:
                return entry
        if request.traits.engine is None:
            return self.context.placement.choose_for_call(request.service, tried)
        self.placing = self.context.queue.acquire(request, tried)
        try:
            entry = await self.placing
        finally:
            self.placing = None
        # What became known while it waited counts too.
        check_quarantine(self.context, request)
        return entry

    async def _send(self, entry: EndpointEntry, resume: ResumePoint | None) -> bool:
        """Send the request to ``entry``; return False if no connection came about."""
        leg = await self.opener.open(entry, resume)
        if leg is None:
            return False
        self._use(leg)
        return True

    def _use(self, leg: Leg) -> None:
        self.leg = leg
        self.memory.use_run(leg.run)
        self.memory.keep_copy(leg.backup)

    async def hand_over(self) -> bool:
        """Go on where the copy is, though the present engine still runs; return whether it does."""
        if self.handover is not None or self.memory.copy is None or self.last_event is None:
            return False
        if not self.context.quarantine.is_unrestricted(self.request):
            return False
        self.handover = Handover(self)
        try:
            taken = await self.handover.run()
        finally:
            self.handover = None
        self._log("stream:handed-over" if taken else "stream:stays", endpoint=self.leg.entry.id)
        return taken

    def leave_engine(self) -> None:
        """Stop the present engine's work: the stream goes on at another one."""
        if not self.leg.ended:
            self.leg.abandon()

    async def _leg_end(self) -> LegEnd:
        return await self.leg.done

    def leg_began(self, leg: Leg) -> None:
        """Hear that an endpoint has begun a genuine stream."""
        if not self.request.exchange.began:
            pass_head_on(self.request.exchange, leg.head)

    def leg_event(self, leg: Leg, event) -> None:
        """Hear a whole event of an endpoint."""
        if self.handover is not None and leg is not self.handover.leg:
            self.handover.present_event(leg, event)
            return
        if self.handover is not None and leg is not self.leg:
            self.leave_engine()
        self.pass_on(leg, event)

    def pass_on(self, leg: Leg, event) -> None:
        """Give the caller the event, if it is the next of the leg in use."""
        if leg is not self.leg or self.finished:
            return
        if event.id is not None:
            if self.last_event is not None and event.id <= self.last_event:
                return
            if self.last_event is not None and event.id > self.last_event + 1:
                # An event is missing: what follows must not reach the caller.
                self._log("stream:gap", endpoint=leg.entry.id, event=event.id)
                leg.abandon()
                return
            self.last_event = event.id
            self.memory.note_event()
        self.timings.event(self.context.clock.seconds(), event.id)
        self.request.exchange.write(event.data)

    async def _go_on(self) -> bool:
        """After a leg broke: send to where the run can go on; False if there is nowhere."""
        if self.handover is not None:
            leg = await self.handover.take()
            if leg is not None and not self.finished:
                self.moves += 1
                self._use(leg)
                return True
        copy = self.memory.copy
        self.memory.drop_copy()
        if copy is None or self.last_event is None or self.finished:
            return False
        if not may_resume_at(self.context, self.request, copy.entry):
            self._log("stream:not-resumed", endpoint=copy.entry.id)
            return False
        self.context.budget.record_retry(self.request.service)
        point = ResumePoint(copy.source.address, copy.handle, self.last_event)
        self.moves += 1
        self._log("stream:resumed", endpoint=copy.entry.id, source=copy.source.id)
        return await self._send(copy.entry, point)

    def _note_refused(self, entry: EndpointEntry, end: LegEnd) -> None:
        self._log("stream:refused", endpoint=entry.id, end=end.value)
        if end is LegEnd.WRONG_INCARNATION:
            self.context.registry.remove_stale(entry.id)

    def _pass_failure_on(self) -> None:
        exchange = self.request.exchange
        pass_head_on(exchange, self.leg.head)
        exchange.write(b"".join(self.leg.failure_body))
        exchange.end()

    def _break_off(self, end: LegEnd) -> None:
        """The stream cannot go on: an honest failure if nothing was sent, else a cut."""
        self._log("stream:broken", endpoint=self.leg.entry.id, end=end.value)
        if self.finished:
            return
        if not self.request.exchange.began:
            raise RefusalError(RefusalReason.BROKEN)
        self._cut()

    def _cut(self) -> None:
        self.cut = True
        self.request.exchange.cut()

    def _time_up(self) -> None:
        if self.finished:
            return
        self._log("stream:expired")
        if self.request.exchange.began:
            self._cut()
        else:
            headers = self.context.wire.refusal_headers(self.request.metadata.id, None)
            self.request.exchange.answer(RefusalReason.EXPIRED.status, headers, b"")
        self.cancel()

    def cancel(self) -> None:
        """The caller is gone or its time is up: stop the endpoint's work."""
        self.cancelled = True
        if self.placing is not None:
            self.placing.cancel()
        if self.leg is not None and not self.leg.ended:
            self.leg.abandon()

    def pause(self) -> None:
        self._flow("pauseProducing")

    def resume(self) -> None:
        self._flow("resumeProducing")

    def _flow(self, name: str) -> None:
        if self.leg is not None and not self.leg.ended and self.leg.connection.open:
            getattr(self.leg.connection.transport, name)()

    def _log_end(self) -> None:
        first, goal = self.timings.first, self.request.route.gap_goal
        late = first is None or first > self.request.route.latency_goal
        paused = goal is not None and self.timings.longest_gap > goal
        served = "stream:late" if late or paused else "stream:on-time"
        self._log(
            served if self.completed else "stream:unfinished",
            endpoint=self.leg.entry.id if self.leg else None,
            first=None if first is None else round(first, 3),
            gap=round(self.timings.longest_gap, 3),
            paused=paused,
            gap_event=self.timings.gap_event,
            moves=self.moves,
            expected=self.request.expected_tokens(),
            tokens=self.memory.tokens,
        )

    def time_left(self) -> float:
        """Seconds until the answer is of no more use."""
        return self.request.deadline - self.context.clock.seconds()

    def _log(self, message_type: str, **fields) -> None:
        log_message(
            message_type=message_type,
            request=self.request.metadata.id,
            last_event=self.last_event,
            left=round(self.time_left(), 3),
            **fields,
        )
