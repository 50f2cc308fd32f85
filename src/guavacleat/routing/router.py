"""Routers: which endpoint takes a request, or none for now.

Every router counts the streams this gateway has in flight per endpoint. :class:`CacheLoadRouter`
is the product's; the others are the baselines it is measured against. Look them up with
:func:`get_router_by_name`.
"""

import hashlib
import itertools

from twisted.internet.interfaces import IReactorTime

from guavacleat.config.model import URGENT_PRIORITY
from guavacleat.lengths import LengthEstimator
from guavacleat.membership.records import EndpointRecord
from guavacleat.routing.cache_map import CacheMap
from guavacleat.routing.prefix import BLOCK_TOKENS

__all__ = [
    "CacheLoadRouter",
    "LeastLoadedRouter",
    "ROUTERS_BY_NAME",
    "RoundRobinRouter",
    "Router",
    "get_router_by_name",
]


# Prompt tokens' worth of waiting that a request puts up with to go to its prefix's home.
HOME_TOKENS = 1000
HOME_BLOCK = 16


def _prefix_key(request) -> str:
    """What decides a prompt's home: its first ``HOME_BLOCK`` blocks, or all of a short one."""
    blocks = request.blocks()
    return blocks[min(HOME_BLOCK, len(blocks)) - 1] if blocks else request.prompt


def _rendezvous(key: str, endpoint: str) -> int:
    digest = hashlib.blake2b(f"{key}|{endpoint}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


class Router:
    """Counts streams in flight by endpoint, skips full and refusing endpoints, picks by rank."""

    def __init__(self, clock: IReactorTime):
        self.clock = clock
        self.lengths = LengthEstimator()
        self.in_flight_by_name: dict[str, int] = {}
        self.avoid_until_by_name: dict[str, float] = {}

    def choose(self, candidates: list[EndpointRecord], request, limit: int, excluded=()):
        """The endpoint to try, or None if every candidate is excluded, refusing or full.

        ``limit``: streams this gateway keeps on one endpoint at most.
        """
        now = self.clock.seconds()
        open_ones = [
            record
            for record in candidates
            if record.name not in excluded
            and self.in_flight_by_name.get(record.name, 0) < limit
            and self.avoid_until_by_name.get(record.name, now) <= now
            and self.has_room(record.name, request)
        ]
        return min(open_ones, key=lambda record: self.rank(record.name, request), default=None)

    def begin(self, name: str, request=None) -> None:
        """Count a stream in; ``request`` is given when it is about to be started there."""
        self.in_flight_by_name[name] = self.in_flight_by_name.get(name, 0) + 1

    def end(self, name: str, request=None) -> None:
        self.in_flight_by_name[name] -= 1

    def avoid(self, name: str, seconds: float) -> None:
        """Send nothing to ``name`` for a while: it refused a request."""
        self.avoid_until_by_name[name] = self.clock.seconds() + seconds

    def observe(self, name: str, occupancy, request=None) -> None:
        """Hear how full an endpoint is; ``request`` is given if it has now been started there."""

    def observe_cache(self, name: str, events) -> None:
        """Hear cache events of an endpoint."""

    def has_room(self, name: str, request) -> bool:
        """Whether ``request`` fits ``name``; the baselines leave that to the engine."""
        return True

    def rank(self, name: str, request):
        """Endpoints with a lower rank are preferred."""
        raise NotImplementedError


class RoundRobinRouter(Router):
    """Baseline: endpoints in turn."""

    def __init__(self, clock: IReactorTime):
        super().__init__(clock)
        self.numbers = itertools.count(1)
        self.last_turn_by_name: dict[str, int] = {}

    def rank(self, name, request):
        return self.last_turn_by_name.get(name, 0), name

    def begin(self, name, request=None):
        super().begin(name, request)
        self.last_turn_by_name[name] = next(self.numbers)


class LeastLoadedRouter(Router):
    """Baseline: fewest streams in flight from this gateway; ties by a hash of the prefix."""

    def rank(self, name, request):
        key = request.blocks()[0] if request.blocks() else request.prompt
        return self.in_flight_by_name.get(name, 0), -_rendezvous(key, name)


class CacheLoadRouter(Router):
    """The endpoint with the least to read before the first token, of those with memory to spare.

    What is to be read: the prompts there that have no token yet, and the request's own prompt
    but for the blocks its engine has cached. Each prefix has a home, the endpoint that every
    gateway's hash of it names, so that gateways which hear little of each other's prompts still
    send those that share a prefix to the same engine. Memory is the sidecar's last report plus
    what this gateway has sent since, so several gateways see each other's streams without talking
    to each other. The report lags by one reply; the sidecar's own check is what holds (see
    :mod:`guavacleat.sidecar.occupancy`).
    """

    def __init__(self, clock: IReactorTime):
        super().__init__(clock)
        self.cache = CacheMap(clock)
        self.home: str | None = None
        self.occupancy_by_name: dict[str, object] = {}
        self.starting_by_name: dict[str, dict[str, int]] = {}

    def choose(self, candidates, request, limit, excluded=()):
        key = _prefix_key(request)
        names = (record.name for record in candidates if record.name not in excluded)
        self.home = max(names, key=lambda name: _rendezvous(key, name), default=None)
        return super().choose(candidates, request, limit, excluded)

    def begin(self, name, request=None):
        super().begin(name, request)
        if request is not None:
            self.starting_by_name.setdefault(name, {})[request.request_id] = request.prompt_tokens
            self.cache.sent(name, request.blocks())

    def end(self, name, request=None):
        super().end(name, request)
        self._started(name, request)

    def observe(self, name, occupancy, request=None):
        self.occupancy_by_name[name] = occupancy
        self._started(name, request)

    def observe_cache(self, name, events):
        self.cache.observe(name, events)

    def _started(self, name: str, request) -> None:
        if request is not None:
            self.starting_by_name.get(name, {}).pop(request.request_id, None)

    def has_room(self, name, request):
        occupancy = self.occupancy_by_name.get(name)
        if occupancy is None or not occupancy.capacity:
            return True
        starting = self.starting_by_name.get(name, {})
        streams = occupancy.open_streams + len(starting)
        if not streams:
            return True
        if streams >= occupancy.slots:
            return False
        # By the time memory peaks, the request has grown by its output or up to that time.
        output = self.lengths.remaining(request.kind(), 0, request.max_tokens)
        growth = min(output, occupancy.peak_in or 0)
        expected = occupancy.peak + sum(starting.values()) + request.prompt_tokens + growth
        urgent = request.priority == URGENT_PRIORITY
        return expected <= occupancy.capacity - (0 if urgent else occupancy.kept_free or 0)

    def rank(self, name, request):
        starting = sum(self.starting_by_name.get(name, {}).values())
        cached = self.cache.cached_blocks(name, request.blocks()) * BLOCK_TOKENS
        to_read = starting + request.prompt_tokens - cached
        if name == self.home:
            to_read -= HOME_TOKENS
        memory = 0.0
        occupancy = self.occupancy_by_name.get(name)
        if occupancy is not None and occupancy.capacity:
            to_read += occupancy.to_read or 0
            memory = occupancy.peak / occupancy.capacity
        return to_read, memory, self.in_flight_by_name.get(name, 0)


ROUTERS_BY_NAME = {
    "cache-load": CacheLoadRouter,
    "least-loaded": LeastLoadedRouter,
    "round-robin": RoundRobinRouter,
}


def get_router_by_name(name: str, clock: IReactorTime) -> Router:
    """A new router; raises KeyError if there is none of that name."""
    return ROUTERS_BY_NAME[name](clock)
