"""Copies made ahead of what a notice would not leave time to copy.

An engine that is taken away can send some 12,000 tokens of memory to other data centres between
its notice and its end; crowded ones hold twice that, and the rest would be cut. The links between
engines are nearly idle otherwise. So while nobody leaves, what an engine holds beyond that is
copied to where memory is free, and handed over at once when the notice comes. The copies are kept
up to date, as an engine drops one that nobody used for some seconds, and are given up first where
memory is needed.

Gateways share the work by what they report: each covers a share of the excess that matches its
part of what is exposed on the engine.
"""

import itertools
import operator
import random

from twisted.internet import defer

from guavacleat.forwarding.copies import free_copy
from guavacleat.forwarding.session import StreamSession
from guavacleat.membership.registry import EndpointEntry, EndpointState
from guavacleat.migration.capacity import evacuable_tokens
from guavacleat.migration.copying import RunCopier, runs_on
from guavacleat.periodic import Periodic

__all__ = ["StandbyKeeper"]

LOOK_SECONDS = 0.1
# What a run made in this time is read in some 20 ms when it goes on; an engine drops a copy that
# was not renewed for some 5 s.
RENEW_SECONDS = 1.0
# Copies are given up where memory with them is above this share.
NEEDED_MEMORY = 0.92
# After an engine left: its link and those of its targets are busy with copies off it.
QUIET_SECONDS = 2.0


class StandbyKeeper:
    """Looks every ``LOOK_SECONDS`` at this gateway's streams; ``sessions`` is the set of them."""

    def __init__(self, parts, sessions: set[StreamSession], seed=None):
        self.parts = parts
        self.sessions = sessions
        self.copier = RunCopier(parts)
        self.random = random.Random(seed)
        self._looking = Periodic(parts.clock, LOOK_SECONDS, self.look)
        # Endpoint ids whose links copy something for this keeper.
        self._busy: set[str] = set()

    def start(self) -> None:
        self._looking.start()

    def stop(self) -> None:
        self._looking.stop()

    def look(self) -> None:
        """Give up, renew and make copies."""
        movable = [session for session in self.sessions if self._movable(session)]
        by_engine = operator.attrgetter("leg.entry.id")
        for _, group in itertools.groupby(sorted(movable, key=by_engine), by_engine):
            self._look_at(list(group))

    def _movable(self, session: StreamSession) -> bool:
        traits = session.request.traits.engine
        return (
            traits is not None
            and traits.moves
            and session.leg is not None
            and runs_on(session, session.leg.entry)
            and session.last_event is not None
            and session.handover is None
            and not session.memory.copying
        )

    def _look_at(self, sessions: list[StreamSession]) -> None:
        """Look at streams that run on one engine."""
        source = sessions[0].leg.entry
        current = self.parts.registry.entries_by_id.get(source.id)
        if current is None or current.state is not EndpointState.READY:
            return
        held = [s for s in sessions if s.memory.copy is not None and s.memory.copy.standby]
        for session in held:
            if self._memory_needed(session):
                self._give_up(session)
                return
        if source.id in self._busy or self._links_needed(source):
            return
        now = self.parts.clock.seconds()
        old = [
            s
            for s in held
            if s.memory.copy is not None and now - s.memory.copy.made_at > RENEW_SECONDS
        ]
        if old:
            session = min(old, key=lambda s: s.memory.copy.made_at)
            self._copy(session, source, session.memory.copy.entry)
            return
        self._cover_excess(sessions, source)

    def _links_needed(self, source: EndpointEntry) -> bool:
        return self.parts.registry.seconds_since_leaving(source.service) < QUIET_SECONDS

    def _memory_needed(self, session: StreamSession) -> bool:
        engine = session.request.traits.engine
        return self.parts.placement.full_share(session.memory.copy.entry, 0, engine) > NEEDED_MEMORY

    def _cover_excess(self, sessions: list[StreamSession], source: EndpointEntry) -> None:
        engine = sessions[0].request.traits.engine
        total = self.parts.load.total(source.id).exposed
        excess = total - evacuable_tokens(engine)
        if excess <= 0:
            return
        own = self.parts.load.own(source.id).exposed
        quota = excess * own / total
        bare = [s for s in sessions if s.memory.copy is None and s.memory.worth_moving()]
        if not bare:
            return
        session = max(bare, key=lambda s: s.memory.expected_left())
        if quota < self.random.random() * session.memory.tokens:
            return
        expected = session.memory.expected_tokens()
        target = self.parts.placement.for_standby(source, expected, engine)
        if target is not None:
            self._copy(session, source, target)

    def _copy(self, session, source: EndpointEntry, target: EndpointEntry) -> None:
        self._busy.add(source.id)
        copying = defer.Deferred.fromCoroutine(self._copy_and_note(session, source, target))
        copying.addErrback(session._note_error)

    async def _copy_and_note(self, session, source, target) -> None:
        try:
            answer = await self.copier.copy(session, source, target, standby=True)
        finally:
            self._busy.discard(source.id)
        if not answer.copied and session.memory.copy is not None and runs_on(session, source):
            self._give_up(session)

    def _give_up(self, session: StreamSession) -> None:
        copy = session.memory.copy
        session.memory.drop_copy()
        freeing = free_copy(self.parts, copy.source.address, copy.handle)
        defer.Deferred.fromCoroutine(freeing).addErrback(session._note_error)
