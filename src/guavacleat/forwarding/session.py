"""One caller's stream, from its first endpoint to its last.

Events reach the caller by id, each once and in order, from one generation: a run that is moved to
another engine, or goes on from a copy there, is the same generation. A stream that cannot go on
is cut, so that it never looks complete.
"""

from eliot import log_message
from twisted.internet import defer

from guavacleat.forwarding.answer import pass_head_on
from guavacleat.forwarding.answers import RefusalError, Verdict
from guavacleat.forwarding.leg import Leg, LegEnd
from guavacleat.forwarding.messages import EndpointOrder, ResumePoint
from guavacleat.forwarding.request import ForwardedRequest
from guavacleat.membership.registry import EndpointEntry
from guavacleat.placement import Run

__all__ = ["HeldCopy", "StreamSession"]

# Sends of a stream that no endpoint began to run, at most.
MAX_SENDS = 4
# Events that come within some second: a run with fewer left ends by itself before its engine is
# gone.
SHORT_RUN_EVENTS = 20
# Part of its output that a run is expected to produce once more when it outgrew its estimate.
OUTGROWN_SHARE = 0.25
RETRY_AFTER_NO_ENDPOINT = 1.0
RETRY_AFTER_NO_ROOM = 1.0
NEVER_RUN = (LegEnd.NOT_RUN, LegEnd.WRONG_INCARNATION)


class StreamTimes:
    """When a caller got its events; seconds.

    :param first: from the request's arrival to its first event; None before it.
    :param longest_gap: the longest pause between two events.
    :param gap_event: the event that ended that pause.
    """

    __slots__ = ("arrived", "first", "last_at", "longest_gap", "gap_event")

    def __init__(self, arrived: float):
        self.arrived = arrived
        self.first: float | None = None
        self.last_at = arrived
        self.longest_gap = 0.0
        self.gap_event: int | None = None

    def event(self, now: float, id: int | None) -> None:
        """An event went to the caller."""
        if self.first is None:
            self.first = now - self.arrived
        elif now - self.last_at > self.longest_gap:
            self.longest_gap = now - self.last_at
            self.gap_event = id
        self.last_at = now


class HeldCopy:
    """A copy of the run's memory on ``entry``, named by ``handle`` at its ``source``.

    :param backup: whether the engine keeps it up to date by itself while the run goes on.
    """

    __slots__ = ("entry", "source", "handle", "backup")

    def __init__(self, entry: EndpointEntry, source: EndpointEntry, handle: str, backup=False):
        self.backup = backup
        self.entry = entry
        self.source = source
        self.handle = handle


class StreamSession:
    """Runs one stream; ``parts`` as for plain requests.

    :param sessions: set that holds the session while it runs.
    """

    def __init__(self, request: ForwardedRequest, parts, sessions: set):
        self.request = request
        self.parts = parts
        self.sessions = sessions
        self.leg: Leg | None = None
        # The run as the load book counts it where it runs now.
        self.placed: Run | None = None
        # The copy as the load book counts it where it is held.
        self.copy_run: Run | None = None
        self.last_event: int | None = None
        self.events = 0
        self.moves = 0
        self.times = StreamTimes(request.arrived)
        self.copy: HeldCopy | None = None
        self.copying = False
        # While a move stops the run: fires once it is known where the run goes on.
        self.stopping: defer.Deferred | None = None
        self.cancelled = False
        self.paused = False

    @property
    def finished(self) -> bool:
        return self.request.exchange.ended or self.cancelled

    @property
    def backed_up(self) -> bool:
        """Whether another engine keeps a copy of the run that grows with it."""
        return self.copy is not None and self.copy.backup

    @property
    def tokens(self) -> int:
        """Memory that the run holds now."""
        traits = self.request.traits.engine
        per_event = traits.tokens_per_event if traits else 1
        return self.request.prompt_tokens + self.events * per_event

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
        timer = self.parts.clock.callLater(self._time_left(), self._time_up)
        self.sessions.add(self)
        try:
            await self._run()
        finally:
            self.drop_copy()
            self.sessions.discard(self)
            exchange.on_gone = None
            exchange.source = None
            if timer.active():
                timer.cancel()

    async def _run(self) -> None:
        end = await self._first_legs()
        while not self.finished:
            if end is LegEnd.COMPLETE:
                self.request.exchange.end()
                return
            if end is LegEnd.FAILED_WHOLE and self.last_event is None:
                self._pass_failure_on()
                return
            if not await self._go_on():
                self._break_off(end)
                return
            end = await self._leg_end()

    async def _first_legs(self) -> LegEnd:
        """Send to endpoints until one runs it; return how that leg ended."""
        request, tried = self.request, set()
        for sends in range(MAX_SENDS):
            if sends and not self.parts.budget.may_repeat(request.service):
                break
            entry = self._place(tried)
            if entry is None:
                break
            tried.add(entry.id)
            if sends:
                self.parts.budget.repeat(request.service)
            if not await self._send(entry, None):
                continue
            end = await self._leg_end()
            if end not in NEVER_RUN:
                return end
            self._note_refused(entry, end)
            if self.cancelled or self._time_left() <= 0:
                break
        if not tried:
            raise RefusalError(Verdict.NO_ENDPOINT, RETRY_AFTER_NO_ENDPOINT)
        raise RefusalError(Verdict.NO_ROOM, RETRY_AFTER_NO_ROOM)

    def _place(self, tried: set[str]) -> EndpointEntry | None:
        request = self.request
        if request.traits.engine is None:
            return self.parts.placement.for_call(request.service, tried)
        engine, expected = request.traits.engine, request.expected_tokens()
        return self.parts.placement.for_run(request.service, expected, engine, tried)

    async def _send(self, entry: EndpointEntry, resume: ResumePoint | None) -> bool:
        """Send the request to ``entry``; return False if no connection came about."""
        request, parts = self.request, self.parts
        unread = request.prompt_tokens if resume is None else 0
        run = Run(request.facts.id, self.expected_tokens(), unread)
        parts.load.begin(entry.id, run)
        try:
            connection = await parts.pool.connect(entry.address)
        except Exception as exc:  # noqa: BLE001 - no connection: refused, timed out, unreachable
            parts.load.end(entry.id, run)
            parts.load.failed(entry.id)
            self._log("stream:unreachable", endpoint=entry.id, error=repr(exc))
            return False
        if self.finished or self._time_left() <= 0:
            parts.load.end(entry.id, run)
            connection.abandon()
            return False
        backup = self._place_backup(entry)
        order = EndpointOrder(
            entry.id,
            self._time_left(),
            request.account_name,
            request.priority,
            resume,
            backup.entry.address if backup else None,
        )
        leg = Leg(entry, request.facts.id, parts.wire, self._head, self._event)
        leg.connection = connection
        leg.done.addBoth(lambda end: self._leg_over(entry, run, end))
        self.keep_copy(backup)
        self.leg = leg
        self.placed = run
        head = request.exchange.head
        headers = parts.wire.endpoint_headers(request.headers, order)
        connection.send(head.method, head.target, headers, request.exchange.body, leg)
        return True

    def _place_backup(self, entry: EndpointEntry) -> HeldCopy | None:
        """Where a growing copy of the run shall be kept: None if no engine has memory to spare."""
        request = self.request
        engine = request.traits.engine
        if engine is None or not engine.backups or not self.worth_moving():
            return None
        expected = self.expected_tokens()
        keeper = self.parts.placement.for_backup(entry, expected, engine)
        if keeper is None:
            return None
        return HeldCopy(keeper, keeper, request.facts.id, backup=True)

    def begin_copy(self) -> None:
        """A copy is under way: peers must know that it uses the engine's link."""
        self.copying = True
        self.placed.movable = True
        self.parts.load.changed(self.placed)

    def end_copy(self) -> None:
        """The copy is made or was refused."""
        self.copying = False
        self.placed.movable = self.copy is None and self.worth_moving()
        self.parts.load.changed(self.placed)

    def keep_copy(self, copy: HeldCopy | None) -> None:
        """Count the copy where it is held, and the former one no more."""
        self.drop_copy()
        self.copy = copy
        if copy is not None:
            self.copy_run = Run(f"copy:{self.request.facts.id}", self.expected_tokens())
            self.parts.load.begin(copy.entry.id, self.copy_run)
        if self.placed is not None:
            self.placed.movable = False

    def drop_copy(self) -> None:
        """Forget the copy: it was used, or the engine that holds it is leaving."""
        if self.copy is not None:
            self.parts.load.end(self.copy.entry.id, self.copy_run)
            self.copy = None

    def _leg_over(self, entry, run, end):
        self.parts.load.end(entry.id, run)
        return end

    async def _leg_end(self) -> LegEnd:
        return await self.leg.done

    def _head(self, leg: Leg) -> None:
        if not self.request.exchange.began:
            pass_head_on(self.request.exchange, leg.head)

    def _event(self, leg: Leg, event) -> None:
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
            self.events += 1
            self._note_progress()
        self.times.event(self.parts.clock.seconds(), event.id)
        self.request.exchange.write(event.data)

    def _note_progress(self) -> None:
        run = self.placed
        run.held = self.tokens
        run.expected = max(run.expected, self.expected_tokens())
        if self.copy is not None:
            self.copy_run.expected = run.expected
        run.movable = self.copy is None and (self.copying or self.worth_moving())
        if run.unread:
            run.unread = 0
            self.parts.load.changed(run)

    def worth_moving(self) -> bool:
        """Whether the run will outlive the notice that a leaving engine gives."""
        traits = self.request.traits.engine
        if traits is None or not traits.moves:
            return False
        short = SHORT_RUN_EVENTS * traits.tokens_per_event
        return self.expected_left() > short or self.events > SHORT_RUN_EVENTS

    def expected_tokens(self) -> int:
        """Memory that the run will hold at its end.

        A caller's estimate is right in the middle and often far off: a run that outgrows it is
        expected to produce a part of what it has so far once more. Left at the estimate, engines
        looked free while their memory ran out, and first tokens came up to 5 s late there.
        """
        output = self.tokens - self.request.prompt_tokens
        return max(self.request.expected_tokens(), self.tokens + int(OUTGROWN_SHARE * output))

    def expected_left(self) -> int:
        """Tokens still to come, if the estimate holds."""
        return self.expected_tokens() - self.tokens

    async def _go_on(self) -> bool:
        """After a leg broke: send to where the run can go on; False if there is nowhere."""
        if self.stopping is not None:
            await self.stopping
        copy = self.copy
        self.drop_copy()
        if copy is None or self.last_event is None or self.finished:
            return False
        self.parts.budget.repeat(self.request.service)
        point = ResumePoint(copy.source.address, copy.handle, self.last_event)
        self.moves += 1
        self._log("stream:resumed", endpoint=copy.entry.id, source=copy.source.id)
        return await self._send(copy.entry, point)

    def _note_refused(self, entry: EndpointEntry, end: LegEnd) -> None:
        self._log("stream:refused", endpoint=entry.id, end=end.value)
        if end is LegEnd.WRONG_INCARNATION:
            self.parts.registry.suspect_gone(entry.id)

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
            raise RefusalError(Verdict.BROKEN)
        self.request.exchange.cut()

    def _time_up(self) -> None:
        if self.finished:
            return
        self._log("stream:expired")
        if self.request.exchange.began:
            self.request.exchange.cut()
        else:
            headers = self.parts.wire.refusal_headers(self.request.facts.id, None)
            self.request.exchange.answer(Verdict.EXPIRED.status, headers, b"")
        self.cancel()

    def cancel(self) -> None:
        """The caller is gone or its time is up: stop the endpoint's work."""
        self.cancelled = True
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
        first, goal = self.times.first, self.request.route.gap_goal
        late = first is None or first > self.request.route.latency_goal
        paused = goal is not None and self.times.longest_gap > goal
        self._log(
            "stream:late" if late or paused else "stream:on-time",
            endpoint=self.leg.entry.id if self.leg else None,
            first=None if first is None else round(first, 3),
            gap=round(self.times.longest_gap, 3),
            gap_event=self.times.gap_event,
            moves=self.moves,
            expected=self.request.expected_tokens(),
            tokens=self.tokens,
        )

    def _time_left(self) -> float:
        return self.request.deadline - self.parts.clock.seconds()

    def _log(self, message_type: str, **fields) -> None:
        log_message(
            message_type=message_type,
            request=self.request.facts.id,
            last_event=self.last_event,
            left=round(self._time_left(), 3),
            **fields,
        )
