"""Choosing an endpoint by what runs there, how it has fared, and how far away it is."""

import random

from guavacleat.membership.registry import EndpointEntry, EndpointRegistry
from guavacleat.placement.load import LoadBook

__all__ = ["Placement"]

# What a failing endpoint's recent failures weigh against a slot's worth of load: one that always
# fails is asked only when all others carry this many times more.
FAILURE_WEIGHT = 4.0
# A failure older than this counts for nothing, so that an endpoint that has recovered gets work
# again without a probe.
FAILURE_MEMORY_SECONDS = 5.0
# Load difference below which the own data centre is preferred: bytes between them are paid for.
LOCAL_BIAS = 0.1


class Placement:
    """Chooses among the ready endpoints of a service."""

    def __init__(self, registry: EndpointRegistry, load: LoadBook, data_centre: str, seed=None):
        self.registry = registry
        self.load = load
        self.data_centre = data_centre
        self.random = random.Random(seed)

    def for_call(self, service: str, exclude: set[str]) -> EndpointEntry | None:
        """The endpoint for a plain request: fewest requests per slot, least failing."""
        ready = [entry for entry in self.registry.ready(service) if entry.id not in exclude]
        return min(ready, key=self._call_cost, default=None)

    def for_run(
        self, service: str, tokens: int, memory_tokens: int, exclude: set[str]
    ) -> EndpointEntry | None:
        """The engine for a generation that will hold ``tokens``: the one with most room left."""
        ready = [entry for entry in self.registry.ready(service) if entry.id not in exclude]
        return min(ready, key=lambda entry: self._run_cost(entry, memory_tokens), default=None)

    def for_move(
        self, source: EndpointEntry, tokens: int, memory_tokens: int, exclude: set[str]
    ) -> EndpointEntry | None:
        """The engine to move a run to; one in the source's data centre if it has room.

        A copy across data centres takes twice as long, and the time until the source is gone is
        short.
        """
        ready = [
            entry
            for entry in self.registry.ready(source.service)
            if entry.id not in exclude and entry.id != source.id
        ]
        near = [
            entry
            for entry in ready
            if entry.data_centre == source.data_centre
            and self.load.total(entry.id)[1] + tokens <= memory_tokens
        ]
        return min(
            near or ready, key=lambda entry: self._run_cost(entry, memory_tokens), default=None
        )

    def _call_cost(self, entry: EndpointEntry) -> tuple[float, float]:
        count, _ = self.load.total(entry.id)
        return self._bias(entry) + count / max(1, entry.slots), self.random.random()

    def _run_cost(self, entry: EndpointEntry, memory_tokens: int) -> tuple[float, float]:
        count, tokens = self.load.total(entry.id)
        full = max(tokens / max(1, memory_tokens), count / max(1, entry.slots))
        return self._bias(entry) * 0.5 + full, self.random.random()

    def _bias(self, entry: EndpointEntry) -> float:
        health = self.load.health(entry.id)
        recent = self.load.clock.seconds() - health.failed_at < FAILURE_MEMORY_SECONDS
        failing = FAILURE_WEIGHT * health.failures if recent else 0.0
        away = 0.0 if entry.data_centre == self.data_centre else LOCAL_BIAS
        return failing + away
