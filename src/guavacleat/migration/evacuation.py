"""Migrates the streams of a leaving engine to other engines.

An engine may be reclaimed one or two seconds after its notice. Each stream is copied to another
engine while it runs, and handed over once the copy exists: it is stopped, and resumes there after
the last event that the caller received.

All copies from an engine share its network link, so each gateway makes one at a time. Runs are not
stopped for the first copy, because a stopped run would pause while other copies are queued. Streams
with a backup come last: they resume from it if their engine ends before.
"""

from eliot import log_message
from twisted.internet import defer, task

from guavacleat.forwarding.copies import copy_run, free_copy
from guavacleat.forwarding.memory import RunCopy
from guavacleat.forwarding.messages import RUN_NOT_FOUND, MoveResponse
from guavacleat.forwarding.session import StreamSession
from guavacleat.http1.calls import CallBrokenError
from guavacleat.membership.entries import EndpointEntry
from guavacleat.placement import Run

__all__ = ["Evacuator"]

# Delay before the next try to copy; a request that has not started to run cannot be copied yet.
COPY_RETRY_SECONDS = 0.1
# Interval between checks for a stream whose copy is ready.
HANDOVER_POLL_SECONDS = 0.02
# A stream that was sent before the notice has its first event after this time at the latest.
ARRIVAL_SECONDS = 1.0
# Streams are migrated until this long after the engine's notice.
EVACUATION_SECONDS = 6.0
# Runs that were expected to end soon are migrated too if they are still running after this delay;
# the copy has to be made within what is then left of the notice.
SHORT_RUN_DELAY_SECONDS = 0.8
# Value of an output token relative to a prompt token, as the operators weigh them; the runs worth
# most per token are copied first.
OUTPUT_TOKEN_WEIGHT = 10
# A stream without events for this long, several times the usual pause between events, is assumed to
# be lost with the former process.
RESTART_SILENCE_SECONDS = 0.3


class Evacuator:
    """Migrates streams; ``sessions`` is the set of this gateway's active streams."""

    def __init__(self, context, sessions: set[StreamSession]):
        self.context = context
        self.sessions = sessions

    def endpoint_leaving(self, entry: EndpointEntry) -> None:
        """Migrate the streams of an endpoint that will shut down soon.

        Streams may still arrive there that were sent before the notice.
        """
        self._drop_copies_on(entry)
        if any(session.request.service == entry.service for session in self.sessions):
            evacuation_task = defer.Deferred.fromCoroutine(self._evacuate(entry))
            evacuation_task.addErrback(self._log_error)

    def endpoint_restarted(self, former: EndpointEntry) -> None:
        """Resume streams elsewhere after an endpoint restarted with the same id and address.

        Otherwise a stream whose connection was not reset would wait for events until its deadline.
        """
        self._drop_copies_on(former)
        for session in self._streams_on(former):
            events = session.memory.events
            self.context.clock.callLater(
                RESTART_SILENCE_SECONDS, self._stop_if_silent, session, former, events
            )

    def _stop_if_silent(self, session: StreamSession, former: EndpointEntry, events: int) -> None:
        """Stop an attempt that had events, unless new ones show that it runs in the new process."""
        if events and session.memory.events == events and self._runs_on(session, former):
            log_message(
                message_type="stream:left-behind",
                request=session.request.metadata.id,
                endpoint=former.id,
            )
            session.stop_current_attempt()

    def data_centre_evacuated(self, data_centre: str) -> None:
        """Drop the copies in an evacuated data centre, as no stream may resume there.

        Streams that run there are left to finish: their engines go on serving.
        """
        for session in self.sessions:
            copy = session.memory.copy
            if copy is not None and copy.entry.data_centre == data_centre:
                session.memory.drop_copy()

    def _drop_copies_on(self, entry: EndpointEntry) -> None:
        for session in self.sessions:
            if session.memory.copy is not None and session.memory.copy.entry.id == entry.id:
                session.memory.drop_copy()

    def _streams_on(self, entry: EndpointEntry) -> list[StreamSession]:
        return [session for session in self.sessions if self._runs_on(session, entry)]

    def _unprotected(self, entry: EndpointEntry) -> list[StreamSession]:
        """Streams on ``entry`` that have no copy elsewhere."""
        return [
            session
            for session in self._streams_on(entry)
            if session.memory.copy is None and session.handover is None
        ]

    def _backed_up(self, entry: EndpointEntry) -> list[StreamSession]:
        """Streams on ``entry`` that have a backup.

        They can resume from it once their engine has ended, but pause less with a copy.
        """
        return [
            session
            for session in self._streams_on(entry)
            if session.memory.backed_up and session.handover is None
        ]

    def _has_copy(self, session: StreamSession) -> bool:
        return session.memory.copy is not None and not session.memory.backed_up

    def _log_error(self, failure) -> None:
        log_message(message_type="move:error", error=failure.getTraceback())

    async def _evacuate(self, entry: EndpointEntry) -> None:
        """Copy this gateway's streams from ``entry`` to other engines and hand them over."""
        started_at = self.context.clock.seconds()
        log_message(
            message_type="move:began",
            endpoint=entry.id,
            streams=len(self._streams_on(entry)),
            unprotected=len(self._unprotected(entry)),
        )
        handover_task = defer.Deferred.fromCoroutine(self._hand_over_all(entry, started_at))
        handover_task.addErrback(self._log_error)
        failed: set[StreamSession] = set()
        while self._is_evacuating(entry, started_at):
            session = self._choose_next(self._unprotected(entry), started_at, failed)
            if session is None:
                session = self._choose_next(self._backed_up(entry), started_at, failed)
            if session is None:
                failed.clear()
                await task.deferLater(self.context.clock, COPY_RETRY_SECONDS)
            elif not await self._copy_to_another_engine(session, entry):
                failed.add(session)

    async def _hand_over_all(self, entry: EndpointEntry, started_at: float) -> None:
        """Hand over streams one by one as their copies become ready."""
        failed: set[StreamSession] = set()
        while self._is_evacuating(entry, started_at):
            protected = [
                session
                for session in self._streams_on(entry)
                if self._has_copy(session) and not session.attempt.ignores_stop
            ]
            session = self._choose_next(protected, started_at, failed)
            if session is None:
                failed.clear()
                await task.deferLater(self.context.clock, HANDOVER_POLL_SECONDS)
            elif not await session.hand_over():
                failed.add(session)

    def _is_evacuating(self, entry: EndpointEntry, started_at: float) -> bool:
        elapsed = self.context.clock.seconds() - started_at
        if elapsed < ARRIVAL_SECONDS or elapsed >= EVACUATION_SECONDS:
            return elapsed < ARRIVAL_SECONDS
        return any(
            self._runs_on(session, entry) or self._is_between_engines(session, entry)
            for session in self.sessions
        )

    def _choose_next(self, sessions, started_at: float, failed: set) -> StreamSession | None:
        """Return the stream with the highest value per copied token; None if there is none."""
        late = self.context.clock.seconds() - started_at >= SHORT_RUN_DELAY_SECONDS
        waiting = [
            session
            for session in sessions
            if session not in failed
            and session.last_event is not None
            and (late or session.memory.worth_moving())
        ]
        return max(waiting, key=_value_per_copied_token, default=None)

    def _runs_on(self, session: StreamSession, entry: EndpointEntry) -> bool:
        attempt = session.attempt
        if attempt is None or session.finished or attempt.ended:
            return False
        return attempt.entry.is_same_process(entry)

    def _is_between_engines(self, session: StreamSession, entry: EndpointEntry) -> bool:
        """Whether ``entry`` has stopped the run, to which it returns if the new engine refuses."""
        attempt = session.attempt
        if attempt is None or session.finished:
            return False
        return attempt.run_stopped and attempt.entry.is_same_process(entry)

    async def _copy_to_another_engine(self, session: StreamSession, entry: EndpointEntry) -> bool:
        """Copy one stream, trying up to two targets; return whether it succeeded."""
        backup = session.memory.copy
        tried = set() if backup is None else {backup.entry.id}
        for _ in range(2):
            expected = session.memory.expected_tokens()
            target = self.context.placement.choose_move_target(
                session.request, entry, expected, tried
            )
            if target is None or not self._runs_on(session, entry):
                return False
            tried.add(target.id)
            started_at = self.context.clock.seconds()
            # Reserves the memory on the target before the copy is made.
            reservation = Run(
                f"move:{session.request.metadata.id}",
                expected,
                held_tokens=session.memory.held_tokens(),
            )
            self.context.load.begin(target.id, reservation)
            response = await self._copy(session, entry, target)
            self._log("move:copied", session, entry, target, response.status, started_at)
            usable = (
                response.copied
                and self._runs_on(session, entry)
                and self.context.may_resume_on(target)
            )
            if usable:
                session.memory.set_copy(RunCopy(target, entry, response.handle))
            self.context.load.end(target.id, reservation)
            if usable:
                return True
            if response.copied:
                await free_copy(self.context, entry.address, response.handle)
            if response.status == RUN_NOT_FOUND:
                return False
        return False

    async def _copy(self, session, source, target) -> MoveResponse:
        try:
            return await copy_run(self.context, session.request.metadata.id, source, target)
        except CallBrokenError:
            return MoveResponse(0, None)

    def _log(self, message_type, session, source, target, status, started_at) -> None:
        log_message(
            message_type=message_type,
            request=session.request.metadata.id,
            source=source.id,
            target=target.id,
            status=status,
            tokens=session.memory.tokens,
            seconds=round(self.context.clock.seconds() - started_at, 3),
        )


def _value_per_copied_token(session: StreamSession) -> float:
    """Weighted size of the request, divided by the tokens to copy."""
    request = session.request
    size = request.prompt_tokens + OUTPUT_TOKEN_WEIGHT * request.metadata.max_output_tokens
    return size / max(1, session.memory.tokens)
