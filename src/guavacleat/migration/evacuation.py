"""Moving the streams of a leaving engine to others before it is gone.

An engine that is taken away leaves a second or two after its notice, and long streams would be
cut. Each is copied to another engine while it runs, and as soon as there is a copy it is handed
over: it goes on at the other engine from the event that its caller has.

All copies off an engine go over its one link, so each gateway has one under way at a time. Runs
are not stopped for it: a run that is stopped while other copies queue pauses until they are
through, 0.2 to 1.6 s, where callers bear 0.18 s.
"""

from eliot import log_message
from twisted.internet import defer, task

from guavacleat.forwarding.copies import free_copy
from guavacleat.forwarding.memory import HeldCopy
from guavacleat.forwarding.messages import MoveResponse
from guavacleat.forwarding.session import StreamSession
from guavacleat.http1.calls import CallBrokenError, call
from guavacleat.membership.registry import EndpointEntry
from guavacleat.placement import Run

__all__ = ["Evacuator"]

# A copy takes less even when others queue before it; one not done by then is not worth waiting for.
COPY_SECONDS = 3.0
# A request that the engine has not begun to run cannot be moved yet.
RETRY_SECONDS = 0.1
# Between looks for a stream whose copy is ready.
HAND_OVER_PAUSE_SECONDS = 0.02
# How long after its notice an engine's streams are still worth moving.
EVACUATION_SECONDS = 6.0
# Runs that seemed short at the notice are moved too if they still run after this long: a copy has
# to be made within what is then left of the notice.
SHORT_RUNS_SECONDS = 0.8
# The users weigh a token of output like so many of the prompt; what is worth most per token is
# copied first.
OUTPUT_WORTH = 10
# Several times the pause between events of a stream that runs.
RESTART_SILENCE_SECONDS = 0.3
NO_SUCH_RUN = 404


class Evacuator:
    """Moves streams; ``sessions`` is the set of those running in this gateway."""

    def __init__(self, context, sessions: set[StreamSession]):
        self.context = context
        self.sessions = sessions

    def endpoint_leaving(self, entry: EndpointEntry) -> None:
        """Hear that an endpoint will soon be gone."""
        self._drop_copies_on(entry)
        if self._on(entry):
            evacuating = defer.Deferred.fromCoroutine(self._evacuate(entry))
            evacuating.addErrback(self._note_error)

    def endpoint_restarted(self, former: EndpointEntry) -> None:
        """Hear that an endpoint's process is gone and another has its id and address.

        A stream that ran there is lost there; without this, one whose connection was not reset
        would wait for events that never come until its caller leaves.
        """
        self._drop_copies_on(former)
        for session in self._on(former):
            events = session.memory.events
            self.context.clock.callLater(
                RESTART_SILENCE_SECONDS, self._leave_if_silent, session, former, events
            )

    def _leave_if_silent(self, session: StreamSession, former: EndpointEntry, events: int) -> None:
        """Go on elsewhere, unless the stream's events show that it began on the new process."""
        if events and session.memory.events == events and self._still_there(session, former):
            log_message(
                message_type="stream:left-behind",
                request=session.request.metadata.id,
                endpoint=former.id,
            )
            session.leave_engine()

    def _drop_copies_on(self, entry: EndpointEntry) -> None:
        for session in self.sessions:
            if session.memory.copy is not None and session.memory.copy.entry.id == entry.id:
                session.memory.drop_copy()

    def _on(self, entry: EndpointEntry) -> list[StreamSession]:
        return [session for session in self.sessions if self._still_there(session, entry)]

    def _unprotected(self, entry: EndpointEntry) -> list[StreamSession]:
        """Streams on ``entry`` that would be lost with it."""
        return [
            session
            for session in self._on(entry)
            if session.memory.copy is None and session.handover is None
        ]

    def _note_error(self, failure) -> None:
        log_message(message_type="move:error", error=failure.getTraceback())

    async def _evacuate(self, entry: EndpointEntry) -> None:
        """Copy this gateway's streams off ``entry``, and hand each over to where its copy is."""
        began = self.context.clock.seconds()
        log_message(
            message_type="move:began",
            endpoint=entry.id,
            streams=len(self._on(entry)),
            unprotected=len(self._unprotected(entry)),
        )
        handing_over = defer.Deferred.fromCoroutine(self._hand_over_all(entry, began))
        handing_over.addErrback(self._note_error)
        failed: set[StreamSession] = set()
        while self._evacuating(entry, began):
            session = self._next(self._unprotected(entry), began, failed)
            if session is None:
                failed.clear()
                await task.deferLater(self.context.clock, RETRY_SECONDS)
            elif not await self._copy_somewhere(session, entry):
                failed.add(session)

    async def _hand_over_all(self, entry: EndpointEntry, began: float) -> None:
        """Hand streams over one after the other as soon as there is a copy of each."""
        failed: set[StreamSession] = set()
        while self._evacuating(entry, began):
            protected = [session for session in self._on(entry) if session.memory.copy_usable()]
            session = self._next(protected, began, failed)
            if session is None:
                failed.clear()
                await task.deferLater(self.context.clock, HAND_OVER_PAUSE_SECONDS)
            elif not await session.hand_over():
                failed.add(session)

    def _evacuating(self, entry: EndpointEntry, began: float) -> bool:
        return self.context.clock.seconds() - began < EVACUATION_SECONDS and bool(self._on(entry))

    def _next(self, sessions, began: float, failed: set) -> StreamSession | None:
        """The stream to move next: of those that will run on, the one worth most per token."""
        late = self.context.clock.seconds() - began >= SHORT_RUNS_SECONDS
        waiting = [
            session
            for session in sessions
            if session not in failed
            and session.last_event is not None
            and (late or session.memory.worth_moving())
        ]
        return max(waiting, key=_worth_per_token, default=None)

    def _still_there(self, session: StreamSession, entry: EndpointEntry) -> bool:
        leg = session.leg
        if leg is None or session.finished or leg.ended:
            return False
        return leg.entry.is_same_process(entry)

    async def _copy_somewhere(self, session: StreamSession, entry: EndpointEntry) -> bool:
        """Copy one stream, trying two targets; return whether there is a copy now."""
        tried: set[str] = set()
        for _ in range(2):
            engine = session.request.traits.engine
            expected = session.memory.expected_tokens()
            target = self.context.placement.choose_move_target(entry, expected, engine, tried)
            if target is None or not self._still_there(session, entry):
                return False
            tried.add(target.id)
            began = self.context.clock.seconds()
            # The copy takes memory there from the moment it is asked for.
            arriving = Run(f"move:{session.request.metadata.id}", expected)
            self.context.load.begin(target.id, arriving)
            answer = await self._copy(session, entry, target)
            self._log("move:copied", session, entry, target, answer.status, began)
            useful = (
                answer.copied
                and self._still_there(session, entry)
                and self.context.registry.is_current(target)
            )
            if useful:
                session.memory.keep_copy(HeldCopy(target, entry, answer.handle))
            self.context.load.end(target.id, arriving)
            if useful:
                return True
            if answer.copied:
                await free_copy(self.context, entry.address, answer.handle)
            if answer.status == NO_SUCH_RUN:
                return False
        return False

    async def _copy(self, session, source, target) -> MoveResponse:
        context = self.context
        method, path, headers, body = context.wire.encode_move(
            session.request.metadata.id, target.address
        )
        try:
            answer = await call(
                context.clock,
                context.pool,
                source.address,
                method,
                path,
                headers,
                body,
                COPY_SECONDS,
            )
        except CallBrokenError:
            return MoveResponse(0, None)
        return context.wire.decode_move(answer.code, answer.body)

    def _log(self, message_type, session, source, target, status, began) -> None:
        log_message(
            message_type=message_type,
            request=session.request.metadata.id,
            source=source.id,
            target=target.id,
            status=status,
            tokens=session.memory.tokens,
            seconds=round(self.context.clock.seconds() - began, 3),
        )


def _worth_per_token(session: StreamSession) -> float:
    """What the link earns by copying the stream: its worth by its size, per token to copy."""
    request = session.request
    size = request.prompt_tokens + OUTPUT_WORTH * request.metadata.max_output_tokens
    return size / max(1, session.memory.tokens)
