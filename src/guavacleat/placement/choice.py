"""Endpoint selection by load, recent failures and data centre."""

import random

from guavacleat.evacuations import EvacuationRegister
from guavacleat.membership.entries import EndpointEntry
from guavacleat.membership.registry import EndpointRegistry
from guavacleat.placement.engine_choice import (
    EngineChooser,
    GenerationDemand,
    memory_share,
)
from guavacleat.placement.load import LoadTracker
from guavacleat.placement.prefill import FirstEventEstimate
from guavacleat.placement.reserve import UrgentReserves
from guavacleat.placement.speeds import EngineSpeeds
from guavacleat.placement.turn_loads import TurnLoads
from guavacleat.routes import EngineTraits
from guavacleat.throttling import EndpointThrottle

__all__ = ["Placement"]

# Cost of a failure rate of 1: in load per slot for plain requests, in seconds for generations. An
# endpoint that always fails is chosen only if all others have this much more load per slot.
FAILURE_WEIGHT = 4.0
# Older failures are ignored, so that an endpoint that has recovered gets requests without a probe.
FAILURE_WINDOW_SECONDS = 5.0
# Load difference below which the local data centre is preferred, because traffic between data
# centres is billed.
LOCAL_BIAS = 0.1
# Maximum memory share including backups. The rest is for new generations and for those moved off
# reclaimed engines.
BACKUP_MEMORY_SHARE = 0.6
# No backups are made for this time after an engine leaves: while engines are being reclaimed, the
# links and the memory are needed to move their runs.
BACKUP_HOLDOFF_SECONDS = 5.0
# Share of the engines that get a handicap in one choice, so that of many gateways with the same
# information about a quarter choose the fastest engine.
HANDICAP_SHARE = 0.75
# Maximum share of slots in use on a lightly loaded endpoint.
LIGHT_LOAD_SHARE = 0.25


class Placement:
    """Chooses among the ready endpoints of a service.

    Endpoints in evacuated data centres, and in regions that a request's route or account excludes,
    are never chosen. Those with a limited request rate are chosen within this gateway's share.

    :param avoided_ids: returns the ids of endpoints that get new requests only if there are no
        others.
    :param evacuations: the :class:`~guavacleat.evacuations.EvacuationRegister`; None if no data
        centre is ever evacuated.
    :param throttle: the :class:`~guavacleat.throttling.EndpointThrottle`.
    :param regions_by_data_centre: the region of each data centre.
    """

    def __init__(
        self,
        registry: EndpointRegistry,
        load: LoadTracker,
        data_centre: str,
        seed=None,
        avoided_ids=frozenset,
        evacuations: EvacuationRegister | None = None,
        throttle: EndpointThrottle | None = None,
        regions_by_data_centre: dict[str, str] | None = None,
    ):
        self.registry = registry
        self.avoided_ids = avoided_ids
        self.evacuations = evacuations
        self.throttle = throttle or EndpointThrottle(load.clock)
        self.regions_by_data_centre = regions_by_data_centre or {}
        self.load = load
        self.data_centre = data_centre
        self.first_event_estimate = FirstEventEstimate()
        self.engine_speeds = EngineSpeeds(load, registry.ready, self.throttle.is_cold)
        self.engine_chooser = EngineChooser(UrgentReserves(registry, load), self.engine_speeds)
        self.random = random.Random(seed)

    def choose_for_plain_request(self, request, exclude: set[str]) -> EndpointEntry | None:
        """The endpoint for a plain request: the fewest requests per slot and recent failures.

        :param request: a ``ForwardedRequest``.
        """
        available = self._available(request, exclude)
        return min(available, key=self._plain_request_cost, default=None)

    def ready(
        self, service: str, exclude: set[str], regions: frozenset[str] | None = None
    ) -> list[EndpointEntry]:
        """Endpoints of ``service`` that accept new requests, without those in ``exclude`` (ids).

        :param regions: the regions of the endpoints; None for all.
        """
        ready = [
            entry
            for entry in self.registry.ready(service)
            if entry.id not in exclude and self.is_allowed(entry, regions)
        ]
        avoided_ids = self.avoided_ids()
        if not avoided_ids:
            return ready
        return [entry for entry in ready if entry.id not in avoided_ids] or ready

    def is_allowed(self, entry: EndpointEntry, regions: frozenset[str] | None = None) -> bool:
        """Whether the endpoint's data centre may get new requests, from callers of ``regions``."""
        if self.evacuations is not None and not self.evacuations.is_usable(entry.data_centre):
            return False
        return regions is None or self.regions_by_data_centre.get(entry.data_centre) in regions

    def ready_for(self, request, exclude: set[str]) -> list[EndpointEntry]:
        """Endpoints that accept ``request``, cold ones included."""
        return self.ready(request.service, exclude, request.regions)

    def _available(self, request, exclude: set[str]) -> list[EndpointEntry]:
        """Endpoints that ``request`` may be sent to now."""
        return [
            entry for entry in self.ready_for(request, exclude) if self.throttle.may_send(entry)
        ]

    def seconds_until_available(self, request, exclude: set[str]) -> float | None:
        """Seconds until ``request`` may be sent to an endpoint; None if there is none.

        Infinite if this gateway has no share in the request rate of any of them.
        """
        next_entry = self.next_available(request, exclude)
        return None if next_entry is None else self.throttle.seconds_until_allowed(next_entry)

    def next_available(self, request, exclude: set[str]) -> EndpointEntry | None:
        """The endpoint to which ``request`` may be sent next."""
        ready = self.ready_for(request, exclude)
        return min(ready, key=self.throttle.seconds_until_allowed, default=None)

    def least_loaded(self, request, exclude: set[str]) -> EndpointEntry | None:
        """The endpoint with the fewest runs, for a request that may crash it; None if all are full.

        :param request: a ``ForwardedRequest``.
        """
        available = self._available(request, exclude)
        if request.traits.engine is not None:
            demand = GenerationDemand.of(request)
            available = [entry for entry in available if self._has_room(entry, demand)]
        return min(available, key=lambda entry: self.load.total(entry.id).runs, default=None)

    def is_lightly_loaded(self, entry: EndpointEntry) -> bool:
        """Whether a crash of the endpoint would affect few callers."""
        return self.load.total(entry.id).runs <= LIGHT_LOAD_SHARE * entry.slots

    def choose_for_generation(
        self, request, exclude: set[str], loads: TurnLoads | None = None
    ) -> EndpointEntry | None:
        """The engine for a generation; None if it should wait for capacity.

        :param request: a ``ForwardedRequest`` for a service with engines.
        :param loads: loads with other generations that are about to start; None: the known loads.
        """
        demand = GenerationDemand.of(request)
        available = [
            entry
            for entry in self._available(request, exclude)
            if self._has_room(entry, demand, loads)
        ]
        return min(available, key=lambda entry: self._run_cost(entry, demand, loads), default=None)

    def choose_for_waiting(
        self,
        entries: list[EndpointEntry],
        demand: GenerationDemand,
        loads: TurnLoads,
        spread: float = 0.0,
    ) -> EndpointEntry | None:
        """The engine among ``entries`` for a waiting generation, also one of a peer; None if full.

        :param loads: loads with the generations that are assigned before it.
        :param spread: difference in cost (s) up to which the choice is random. Without it, gateways
            that know the same loads choose the same engine.
        """
        costs = [
            (self._run_cost(entry, demand, loads)[0], entry)
            for entry in entries
            if self._has_room(entry, demand, loads)
        ]
        if not costs:
            return None
        lowest, cheapest = min(costs, key=lambda item: (item[0], item[1].id))
        if not spread:
            return cheapest
        return self.random.choice([entry for cost, entry in costs if cost <= lowest + spread])

    def ready_for_peers(self, service: str) -> list[EndpointEntry]:
        """Engines that the other gateways may use: this gateway's own shares don't apply."""
        return [entry for entry in self.registry.ready(service) if self.is_allowed(entry)]

    def available_for(self, request, exclude: set[str]) -> list[EndpointEntry]:
        """Engines that this gateway may send ``request`` to now, whether or not they have room."""
        return self._available(request, exclude)

    def _has_room(
        self, entry: EndpointEntry, demand: GenerationDemand, loads: TurnLoads | None = None
    ) -> bool:
        return self.engine_chooser.has_room(entry, demand, (loads or self.load).total(entry.id))

    def _run_cost(
        self, entry: EndpointEntry, demand: GenerationDemand, loads: TurnLoads | None = None
    ) -> tuple[float, float]:
        """Cost of another run in seconds, with a random tie-breaker."""
        cost = self.engine_chooser.cost(entry, demand, (loads or self.load).total(entry.id))
        return (
            cost + self._handicap(entry, demand) + self._failure_penalty(entry),
            self.random.random(),
        )

    def _handicap(self, entry: EndpointEntry, demand: GenerationDemand) -> float:
        """Cost, in seconds, of an engine drawn at random; 0 if the service is even.

        All gateways see the same loads, up to 0.5 s late. Without it, each would choose the same
        fast engine in that time.
        """
        handicap = self.engine_speeds.handicap(entry, demand.output_tokens)
        return handicap if handicap and self.random.random() < HANDICAP_SHARE else 0.0

    def latest_start(self, request) -> float:
        """Latest clock time at which the request can be dispatched and meet its goal."""
        first_event = self.first_event_estimate.seconds(request.prompt_tokens)
        return request.arrived_at + request.route.latency_goal - first_event

    def observe_first_event(self, request, entry: EndpointEntry, seconds: float) -> None:
        """Record the time from dispatch to first event, as an engine of median speed takes it."""
        median_seconds = seconds / self.engine_speeds.slowness(entry)
        self.first_event_estimate.observe(request.prompt_tokens, median_seconds)

    def choose_move_target(
        self, request, source: EndpointEntry, expected: int, exclude: set[str]
    ) -> EndpointEntry | None:
        """The engine to move a run to, in the source's data centre if one has capacity.

        A copy to a remote data centre takes longer, and the source is about to leave. A cold or
        limited engine might not accept the requests that resume the moved runs. In a contended
        service, a remote engine with capacity comes before full ones: there the run would wait for
        memory or be preempted.
        """
        demand = GenerationDemand.of(request, expected)
        ready = self.ready(source.service, exclude | {source.id}, request.regions)
        ready = [entry for entry in ready if not self.throttle.is_throttled(entry)] or ready
        with_room = [
            entry
            for entry in ready
            if self.engine_chooser.has_room_for_move(demand, self.load.total(entry.id))
        ]
        local = [entry for entry in with_room if entry.data_centre == source.data_centre]
        return min(
            local or (demand.contended and with_room) or ready,
            key=lambda entry: self._run_cost(entry, demand),
            default=None,
        )

    def choose_backup_target(
        self, request, source: EndpointEntry, expected: int
    ) -> EndpointEntry | None:
        """The engine for a backup of a run on ``source``; None if none has memory to spare.

        A backup must neither cause preemptions on its engine nor delay moves off leaving engines.
        """
        engine = request.traits.engine
        if self.registry.seconds_since_leaving(source.service) < BACKUP_HOLDOFF_SECONDS:
            return None
        candidates = [
            entry
            for entry in self.ready(source.service, {source.id}, request.regions)
            if self.memory_share(entry, expected, engine) <= BACKUP_MEMORY_SHARE
            and not self.throttle.is_throttled(entry)
            and not self._failure_penalty(entry)
        ]
        return min(
            candidates, key=lambda entry: self.memory_share(entry, expected, engine), default=None
        )

    def memory_share(self, entry: EndpointEntry, expected: int, engine: EngineTraits) -> float:
        """Share of the engine's memory in use with ``expected`` additional tokens."""
        return memory_share(self.load.total(entry.id), expected, engine)

    def _plain_request_cost(self, entry: EndpointEntry) -> tuple[float, float]:
        load = self.load.total(entry.id)
        remote_penalty = 0.0 if entry.data_centre == self.data_centre else LOCAL_BIAS
        return (
            self._failure_penalty(entry) + remote_penalty + load.runs / max(1, entry.slots),
            self.random.random(),
        )

    def _failure_penalty(self, entry: EndpointEntry) -> float:
        health = self.load.health(entry.id)
        recent = self.load.clock.seconds() - health.failed_at < FAILURE_WINDOW_SECONDS
        return FAILURE_WEIGHT * health.failure_rate if recent else 0.0
