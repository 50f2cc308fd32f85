"""Choosing an endpoint by what runs there, how it has fared, and how far away it is."""

import random

from guavacleat.membership.registry import EndpointEntry, EndpointRegistry
from guavacleat.placement.load import LoadTracker
from guavacleat.routes import EngineTraits

__all__ = ["Placement"]

# What a failing endpoint's recent failures weigh against a slot's worth of load: one that always
# fails is asked only when all others carry this many times more.
FAILURE_WEIGHT = 4.0
# A failure older than this counts for nothing, so that an endpoint that has recovered gets work
# again without a probe.
FAILURE_MEMORY_SECONDS = 5.0
# Load difference below which the own data centre is preferred: bytes between them are paid for.
LOCAL_BIAS = 0.1
# Prompt tokens that an engine reads in a second while it also decodes: about half of the 14 a
# millisecond that it reads when it does nothing else.
READ_TOKENS_PER_SECOND = 7000.0
# Seconds that a full memory weighs, growing from nothing at ``USABLE_MEMORY``. Beyond it a run
# would wait for another's end, several seconds, or be preempted.
FULL_SECONDS = 6.0
# What a batch slot in use weighs: each running generation slows the step by some 2 %.
SLOT_SECONDS = 0.02
# Weight of the share of memory in use, so that memory fills evenly: what an engine holds when it
# is taken away must be moved within a second or two.
SPREAD_SECONDS = 0.5
# Memory above this share counts as full: outputs grow past what was expected of them.
USABLE_MEMORY = 0.92
# Memory share up to which generations are begun. Beyond it the engine would preempt the newest.
FULL_MEMORY = 1.0
# Prompt tokens that may wait to be read on an engine when it is given another: so many that it
# never idles, so few that little is lost with an engine that leaves.
READ_AHEAD_TOKENS = 2000
# Backups go only where memory stays below this share with them: the rest is for generations that
# come, and for those of an engine that is taken away.
BACKUP_MEMORY = 0.6
# No backups for so long after an engine left: while engines are taken away one after the other,
# their links are needed for the copies off them, and the memory for what arrives.
BACKUP_QUIET_SECONDS = 5.0
# Share of an endpoint's slots in use up to which it is quiet.
QUIET_SHARE = 0.25


class Placement:
    """Chooses among the ready endpoints of a service.

    :param avoided: returns ids of endpoints that get new work only if there are no others.
    """

    def __init__(
        self,
        registry: EndpointRegistry,
        load: LoadTracker,
        data_centre: str,
        seed=None,
        avoided=frozenset,
    ):
        self.registry = registry
        self.avoided = avoided
        self.load = load
        self.data_centre = data_centre
        self.random = random.Random(seed)

    def choose_for_call(self, service: str, exclude: set[str]) -> EndpointEntry | None:
        """The endpoint for a plain request: fewest requests per slot, least failing."""
        ready = self.ready(service, exclude)
        return min(ready, key=self._call_cost, default=None)

    def ready(self, service: str, exclude: set[str]) -> list[EndpointEntry]:
        """Endpoints of ``service`` that take new work, but for ``exclude`` (ids)."""
        ready = [entry for entry in self.registry.ready(service) if entry.id not in exclude]
        avoided = self.avoided()
        if not avoided:
            return ready
        return [entry for entry in ready if entry.id not in avoided] or ready

    def least_loaded(self, request, exclude: set[str]) -> EndpointEntry | None:
        """The endpoint on which least runs, for a request that may end it; None if none has room.

        :param request: a ``ForwardedRequest``.
        """
        engine, ready = request.traits.engine, self.ready(request.service, exclude)
        if engine is not None:
            expected = request.expected_tokens()
            ready = [entry for entry in ready if self._has_room(entry, expected, engine)]
        return min(ready, key=lambda entry: self.load.total(entry.id).runs, default=None)

    def is_lightly_loaded(self, entry: EndpointEntry) -> bool:
        """Whether so little runs there that its end would be noticed by few callers."""
        return self.load.total(entry.id).runs <= QUIET_SHARE * entry.slots

    def choose_for_generation(self, request, exclude: set[str]) -> EndpointEntry | None:
        """The engine for a generation that may begin now; None if it should wait for room.

        :param request: a ``ForwardedRequest`` for a service with engines.
        """
        engine, expected = request.traits.engine, request.expected_tokens()
        roomy = [
            entry
            for entry in self.ready(request.service, exclude)
            if self._has_room(entry, expected, engine)
        ]
        return min(roomy, key=lambda entry: self._run_cost(entry, expected, engine), default=None)

    def _has_room(self, entry: EndpointEntry, expected: int, engine: EngineTraits) -> bool:
        load = self.load.total(entry.id)
        if load.runs == 0:
            return True
        return (
            load.unread_tokens <= READ_AHEAD_TOKENS
            and load.runs < engine.slots
            and self.memory_share(entry, expected, engine) <= FULL_MEMORY
        )

    def latest_start(self, request) -> float:
        """Clock time at which the prompt must be handed to an idle engine to be on time."""
        reading = request.prompt_tokens / READ_TOKENS_PER_SECOND
        return request.arrived + request.route.latency_goal - reading

    def choose_move_target(
        self, source: EndpointEntry, expected: int, engine: EngineTraits, exclude: set[str]
    ) -> EndpointEntry | None:
        """The engine to move a run to; one in the source's data centre if it has room.

        A copy across data centres takes twice as long, and the time until the source is gone is
        short.
        """
        ready = self.ready(source.service, exclude | {source.id})
        near = [
            entry
            for entry in ready
            if entry.data_centre == source.data_centre
            and self.memory_share(entry, expected, engine) <= USABLE_MEMORY
        ]
        return min(
            near or ready,
            key=lambda entry: self._run_cost(entry, expected, engine),
            default=None,
        )

    def choose_backup_target(
        self, source: EndpointEntry, expected: int, engine: EngineTraits
    ) -> EndpointEntry | None:
        """The engine to keep a backup of a run on ``source``; None if all need their memory.

        A backup never makes the generations on its engine short of memory: that would preempt
        them, which costs every one of them more than a crash costs one.
        """
        if self.registry.seconds_since_leaving(source.service) < BACKUP_QUIET_SECONDS:
            return None
        spare = [
            entry
            for entry in self.ready(source.service, {source.id})
            if self.memory_share(entry, expected, engine) <= BACKUP_MEMORY
            and not self._failing(entry)
        ]
        return min(
            spare, key=lambda entry: self.memory_share(entry, expected, engine), default=None
        )

    def memory_share(self, entry: EndpointEntry, expected: int, engine: EngineTraits) -> float:
        """Share of the engine's memory in use once ``expected`` more tokens are there."""
        return (self.load.total(entry.id).peak_tokens + expected) / max(1, engine.memory_tokens)

    def _call_cost(self, entry: EndpointEntry) -> tuple[float, float]:
        load = self.load.total(entry.id)
        away = 0.0 if entry.data_centre == self.data_centre else LOCAL_BIAS
        return self._failing(entry) + away + load.runs / max(1, entry.slots), self.random.random()

    def _run_cost(self, entry: EndpointEntry, expected: int, engine: EngineTraits):
        """Expected seconds of waiting, and a draw among equals."""
        load = self.load.total(entry.id)
        share = (load.peak_tokens + expected) / max(1, engine.memory_tokens)
        seconds = (
            load.unread_tokens / READ_TOKENS_PER_SECOND
            + FULL_SECONDS * max(0.0, share - USABLE_MEMORY) / (1 - USABLE_MEMORY)
            + SLOT_SECONDS * load.runs
            + SPREAD_SECONDS * share
            + self._failing(entry)
        )
        return seconds, self.random.random()

    def _failing(self, entry: EndpointEntry) -> float:
        health = self.load.health(entry.id)
        recent = self.load.clock.seconds() - health.failed_at < FAILURE_MEMORY_SECONDS
        return FAILURE_WEIGHT * health.failures if recent else 0.0
