"""Moving the streams of a leaving engine to others before it is gone.

An engine that is taken away leaves a second or two after its notice, and long streams would be
cut. Each is copied to another engine while it runs; then the run is stopped, the little that is
new is copied, and the stream goes on at the other engine from the event that its caller has.
"""

from eliot import log_message
from twisted.internet import defer, task

from guavacleat.forwarding.messages import MoveAnswer
from guavacleat.forwarding.session import HeldCopy, StreamSession
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
NO_SUCH_RUN = 404


class Evacuator:
    """Moves streams; ``sessions`` is the set of those running in this gateway."""

    def __init__(self, parts, sessions: set[StreamSession]):
        self.parts = parts
        self.sessions = sessions
        self.moved = 0
        self.failed = 0

    def leaving(self, entry: EndpointEntry) -> None:
        """Hear that an endpoint will soon be gone."""
        until = self.parts.clock.seconds() + EVACUATION_SECONDS
        for session in self._order(entry):
            moving = defer.Deferred.fromCoroutine(self._evacuate(session, entry, until))
            moving.addErrback(self._note_error)

    def _order(self, entry: EndpointEntry) -> list[StreamSession]:
        """The entry's streams, those first that would lose most."""
        running = [
            session
            for session in self.sessions
            if session.leg is not None and session.leg.entry.id == entry.id
        ]
        return sorted(running, key=lambda session: -session.events)

    def _note_error(self, failure) -> None:
        log_message(message_type="move:error", error=failure.getTraceback())

    async def _evacuate(self, session: StreamSession, entry: EndpointEntry, until: float) -> None:
        """Move one stream, trying other targets and waiting for it to begin if need be."""
        tried: set[str] = set()
        while self._still_there(session, entry) and self.parts.clock.seconds() < until:
            engine = session.request.traits.engine
            if engine is None or not engine.moves:
                return
            tokens = session.request.expected_tokens()
            target = self.parts.placement.for_move(entry, tokens, engine.memory_tokens, tried)
            if target is None:
                if not tried:
                    return
                tried = set()
                await task.deferLater(self.parts.clock, RETRY_SECONDS)
                continue
            status = await self._move(session, entry, target)
            if status == NO_SUCH_RUN:
                await task.deferLater(self.parts.clock, RETRY_SECONDS)
            else:
                tried.add(target.id)

    def _still_there(self, session: StreamSession, entry: EndpointEntry) -> bool:
        leg = session.leg
        return not session.finished and not leg.ended and leg.entry.id == entry.id

    async def _move(self, session, source: EndpointEntry, target: EndpointEntry) -> int:
        """Copy, stop, copy the rest; return the status of the last call made."""
        began = self.parts.clock.seconds()
        first = await self._copy(session, source, target, last=False)
        copied = self.parts.clock.seconds()
        if not first.copied:
            self._log(session, source, target, "not copied", first.status, began)
            return first.status
        if not self._still_there(session, source):
            await self._free(source, first.handle)
            return first.status
        session.copy = HeldCopy(target, source, first.handle)
        session.stopping = defer.Deferred()
        try:
            last = await self._copy(session, source, target, last=True)
            await self._settle(session, source, target, last)
        finally:
            stopping, session.stopping = session.stopping, None
            stopping.callback(None)
        self._log(session, source, target, "moved", last.status, began, round(copied - began, 3))
        return last.status

    async def _settle(self, session, source, target, last: MoveAnswer) -> None:
        """After the call that stops the run: let the old leg end, and say where to go on."""
        if last.copied:
            session.copy = HeldCopy(target, source, last.handle)
        elif last.handle is not None:
            # The run was stopped, but the rest found no way: the source still has all of it.
            session.copy = HeldCopy(source, source, last.handle)
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

    async def _free(self, source: EndpointEntry, handle: str) -> None:
        parts = self.parts
        target = parts.wire.free_copy_target(handle)
        try:
            await call(
                parts.clock, parts.pool, source.address, b"DELETE", target, [], b"", COPY_SECONDS
            )
        except CallBrokenError as exc:
            log_message(message_type="move:not-freed", endpoint=source.id, error=repr(exc))

    def _log(self, session, source, target, outcome, status, began, copying=None) -> None:
        log_message(
            message_type="move:done",
            request=session.request.facts.id,
            source=source.id,
            target=target.id,
            outcome=outcome,
            status=status,
            tokens=session.tokens,
            copying=copying,
            seconds=round(self.parts.clock.seconds() - began, 3),
        )


def _ended(leg) -> defer.Deferred:
    """Fire when the leg has ended; safe beside its other waiters."""
    waiter = defer.Deferred()

    def pass_on(end):
        waiter.callback(None)
        return end

    leg.done.addCallback(pass_on)
    return waiter
