"""Copying one run's memory to another engine while the run goes on."""

from eliot import log_message

from guavacleat.forwarding.copies import free_copy
from guavacleat.forwarding.memory import HeldCopy
from guavacleat.forwarding.messages import MoveAnswer
from guavacleat.forwarding.session import StreamSession
from guavacleat.http1.calls import CallBrokenError, call
from guavacleat.membership.registry import EndpointEntry
from guavacleat.placement import Run

__all__ = ["NO_SUCH_RUN", "RunCopier", "runs_on"]

# A copy takes at most some 0.8 s when others queue before it; one not done by then is not worth
# waiting for.
COPY_SECONDS = 3.0
NO_SUCH_RUN = 404


def runs_on(session: StreamSession, entry: EndpointEntry) -> bool:
    """Whether the stream's present leg is on the process of ``entry``."""
    leg = session.leg
    if leg is None or session.finished or leg.ended:
        return False
    return leg.entry.is_same_process(entry)


class RunCopier:
    """Makes copies and has the streams hold them."""

    def __init__(self, parts):
        self.parts = parts

    async def copy(
        self,
        session: StreamSession,
        source: EndpointEntry,
        target: EndpointEntry,
        standby: bool = False,
    ) -> MoveAnswer:
        """Copy the stream's run from ``source`` to ``target``; the stream holds it if it is there.

        Called again for the same target, it copies only what is new.

        :param standby: whether the copy is made ahead of any notice.
        """
        memory = session.memory
        expected = memory.expected_tokens()
        began = self.parts.clock.seconds()
        # The copy takes memory there from the moment it is asked for.
        arriving = Run(f"move:{session.request.facts.id}")
        if standby:
            arriving.standby = expected
        else:
            arriving.expected = expected
        refreshes = memory.copy is not None and memory.copy.entry.is_same_process(target)
        if not refreshes:
            self.parts.load.begin(target.id, arriving)
        memory.copying = True
        try:
            answer = await self._ask(session, source, target)
        finally:
            memory.copying = False
        self._log(session, source, target, answer.status, began, standby)
        useful = (
            answer.copied and runs_on(session, source) and self.parts.registry.is_current(target)
        )
        if useful:
            held = HeldCopy(target, source, answer.handle, standby=standby, made_at=began)
            memory.keep_copy(held)
        self.parts.load.end(target.id, arriving)
        if answer.copied and not useful:
            await free_copy(self.parts, source.address, answer.handle)
            return MoveAnswer(answer.status, None)
        return answer

    async def _ask(self, session, source, target) -> MoveAnswer:
        parts = self.parts
        method, path, headers, body = parts.wire.encode_move(
            session.request.facts.id, target.address
        )
        try:
            answer = await call(
                parts.clock, parts.pool, source.address, method, path, headers, body, COPY_SECONDS
            )
        except CallBrokenError:
            return MoveAnswer(0, None)
        return parts.wire.decode_move(answer.code, answer.body)

    def _log(self, session, source, target, status, began, standby) -> None:
        log_message(
            message_type="move:copied",
            request=session.request.facts.id,
            source=source.id,
            target=target.id,
            status=status,
            tokens=session.memory.tokens,
            standby=standby,
            seconds=round(self.parts.clock.seconds() - began, 3),
        )
