"""Moving the streams of a leaving engine to others before it is gone.

An engine that is taken away leaves a second or two after its notice, and long streams would be
cut. Each is copied to another engine while it runs; then the run is stopped, the little that is
new is copied, and the stream goes on at the other engine from the event that its caller has.

All copies off an engine go over its one link. A run that was stopped while other copies queue
there pauses until they are through, up to 1.6 s when all are started at once. So each gateway has
one copy under way at a time, and runs are stopped only once no gateway reports one left to copy.
"""

from eliot import log_message
from twisted.internet import defer, task

from guavacleat.forwarding.copies import free_copy
from guavacleat.forwarding.memory import HeldCopy
from guavacleat.forwarding.messages import MoveAnswer
from guavacleat.forwarding.session import StreamSession
from guavacleat.http1.calls import CallBrokenError, call
from guavacleat.membership.registry import EndpointEntry

__all__ = ["Evacuator"]

# A copy takes at most some 0.8 s when others queue before it; one not done by then is not worth
# waiting for.
COPY_SECONDS = 3.0
# After a run was stopped its last events are on their way on the stream's own connection.
LAST_EVENTS_SECONDS = 0.1
# A request that the engine has not begun to run cannot be moved yet.
RETRY_SECONDS = 0.1
# How long after its notice an engine's streams are still worth moving.
EVACUATION_SECONDS = 6.0
# Runs that seemed short at the notice are moved too if they still run after this long: the
# shortest notice seen is 1.5 s, and a copy takes up to 0.4 s.
SHORT_RUNS_SECONDS = 0.8
# A run that is stopped when its engine vanishes pauses for the call's time besides. After this
# long it is left to run until the engine is gone, unless the notice turns out to be a long one: an
# engine drops a copy that is not used for some five seconds.
LAST_SWITCH_SECONDS = 1.2
LONG_NOTICE_SECONDS = 3.0
# The users weigh a token of output like so many of the prompt. Copying first what is worth most
# per token, in place of the longest first, gave 0.756 of the worth against 0.746 (means of nine
# simulated days of both deployments, one run each).
OUTPUT_WORTH = 10
NO_SUCH_RUN = 404


class Evacuator:
    """Moves streams; ``sessions`` is the set of those running in this gateway.

    :param peers: the :class:`~guavacleat.peers.PeerBook`.
    """

    def __init__(self, parts, sessions: set[StreamSession], peers):
        self.parts = parts
        self.sessions = sessions
        self.peers = peers

    def leaving(self, entry: EndpointEntry) -> None:
        """Hear that an endpoint will soon be gone."""
        for session in self.sessions:
            if session.memory.copy is not None and session.memory.copy.entry.id == entry.id:
                session.memory.drop_copy()
        if self._on(entry):
            evacuating = defer.Deferred.fromCoroutine(self._evacuate(entry))
            evacuating.addErrback(self._note_error)

    def _on(self, entry: EndpointEntry) -> list[StreamSession]:
        return [session for session in self.sessions if self._still_there(session, entry)]

    def _unprotected(self, entry: EndpointEntry) -> list[StreamSession]:
        """Streams on ``entry`` that would be lost with it."""
        return [session for session in self._on(entry) if session.memory.copy is None]

    def _note_error(self, failure) -> None:
        log_message(message_type="move:error", error=failure.getTraceback())

    async def _evacuate(self, entry: EndpointEntry) -> None:
        """Copy this gateway's streams off ``entry``, then let them go on elsewhere."""
        began = self.parts.clock.seconds()
        log_message(
            message_type="move:began",
            endpoint=entry.id,
            streams=len(self._on(entry)),
            unprotected=len(self._unprotected(entry)),
        )
        failed: set[StreamSession] = set()
        while self.parts.clock.seconds() - began < EVACUATION_SECONDS and self._on(entry):
            session = self._next(entry, began, failed)
            if session is not None:
                if not await self._copy_somewhere(session, entry):
                    failed.add(session)
                continue
            failed.clear()
            await self._switch_copied(entry, began)
            await task.deferLater(self.parts.clock, RETRY_SECONDS)

    def _next(self, entry: EndpointEntry, began: float, failed: set) -> StreamSession | None:
        """The stream to copy next: of those that will run on, the one worth most per token."""
        late = self.parts.clock.seconds() - began >= SHORT_RUNS_SECONDS
        waiting = [
            session
            for session in self._unprotected(entry)
            if session not in failed
            and session.last_event is not None
            and (late or session.memory.worth_moving())
        ]
        return max(waiting, key=_worth_per_token, default=None)

    def _may_stop_runs(self, entry: EndpointEntry, began: float) -> bool:
        """Whether no peer needs the link, nor may the engine vanish during the call."""
        elapsed = self.parts.clock.seconds() - began
        if elapsed >= LONG_NOTICE_SECONDS:
            return True
        return elapsed <= LAST_SWITCH_SECONDS and not self.peers.movable_by_instance(entry.id)

    async def _switch_copied(self, entry: EndpointEntry, began: float) -> None:
        """Let copied streams go on at their targets.

        A stream that is left where it is loses nothing: when its engine is gone it goes on from
        the copy, which then has a little more to read.
        """
        for session in self._on(entry):
            if not self._may_stop_runs(entry, began):
                return
            if session.memory.copy is not None and not session.memory.backed_up:
                await self._switch(session, entry)

    def _still_there(self, session: StreamSession, entry: EndpointEntry) -> bool:
        leg = session.leg
        return (
            leg is not None and not session.finished and not leg.ended and leg.entry.id == entry.id
        )

    async def _copy_somewhere(self, session: StreamSession, entry: EndpointEntry) -> bool:
        """Copy one stream, trying two targets; return whether there is a copy now."""
        tried: set[str] = set()
        for _ in range(2):
            engine = session.request.traits.engine
            expected = session.memory.expected_tokens()
            target = self.parts.placement.for_move(entry, expected, engine, tried)
            if target is None or not self._still_there(session, entry):
                return False
            tried.add(target.id)
            began = self.parts.clock.seconds()
            session.memory.begin_copy()
            answer = await self._copy(session, entry, target, last=False)
            session.memory.end_copy()
            self._log("move:copied", session, entry, target, answer.status, began)
            if answer.copied and self._still_there(session, entry):
                session.memory.keep_copy(HeldCopy(target, entry, answer.handle))
                return True
            if answer.copied:
                await free_copy(self.parts, entry.address, answer.handle)
            if answer.status == NO_SUCH_RUN:
                return False
        return False

    async def _switch(self, session: StreamSession, source: EndpointEntry) -> None:
        """Stop the run, copy what is new and let the stream go on from the copy."""
        began = self.parts.clock.seconds()
        target = session.memory.copy.entry
        session.stopping = defer.Deferred()
        try:
            answer = await self._copy(session, source, target, last=True)
            await self._settle(session, source, target, answer)
        finally:
            stopping, session.stopping = session.stopping, None
            stopping.callback(None)
        self._log("move:switched", session, source, target, answer.status, began)

    async def _settle(self, session, source, target, last: MoveAnswer) -> None:
        """After the call that stops the run: let the old leg end, and say where to go on."""
        if last.copied:
            session.memory.keep_copy(HeldCopy(target, source, last.handle))
        elif last.handle is not None:
            # The run was stopped, but the rest found no way: the source still has all of it.
            session.memory.keep_copy(HeldCopy(source, source, last.handle))
        leg = session.leg
        if not leg.ended:
            await defer.DeferredList(
                [task.deferLater(self.parts.clock, LAST_EVENTS_SECONDS), _ended(leg)],
                fireOnOneCallback=True,
            )
        if not leg.ended and (last.copied or last.handle is not None):
            leg.abandon()

    async def _copy(self, session, source, target, last: bool) -> MoveAnswer:
        parts = self.parts
        method, path, headers, body = parts.wire.encode_move(
            session.request.facts.id, target.address, last
        )
        try:
            answer = await call(
                parts.clock, parts.pool, source.address, method, path, headers, body, COPY_SECONDS
            )
        except CallBrokenError:
            return MoveAnswer(0, None)
        return parts.wire.decode_move(answer.code, answer.body)

    def _log(self, message_type, session, source, target, status, began) -> None:
        log_message(
            message_type=message_type,
            request=session.request.facts.id,
            source=source.id,
            target=target.id,
            status=status,
            tokens=session.memory.tokens,
            seconds=round(self.parts.clock.seconds() - began, 3),
        )


def _worth_per_token(session: StreamSession) -> float:
    """What the link earns by copying the stream: its worth by its size, per token to copy."""
    request = session.request
    size = request.prompt_tokens + OUTPUT_WORTH * request.facts.max_output_tokens
    return size / max(1, session.memory.tokens)


def _ended(leg) -> defer.Deferred:
    """Fire when the leg has ended; safe beside its other waiters."""
    waiter = defer.Deferred()

    def pass_on(end):
        waiter.callback(None)
        return end

    leg.done.addCallback(pass_on)
    return waiter
