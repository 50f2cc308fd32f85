"""Routers, which choose an endpoint for a request.

Every router counts this gateway's in-flight streams per endpoint. :class:`CacheLoadRouter` is the
default; the others are baselines for comparison. Look them up with :func:`get_router_by_name`.
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


# Additional prompt tokens awaiting prefill that are accepted on a prefix's home endpoint.
HOME_BONUS_TOKENS = 1000
# Leading blocks of a prompt that determine its home endpoint.
HOME_KEY_BLOCKS = 16


def _prefix_key(request) -> str:
    """Hash of the prompt's first ``HOME_KEY_BLOCKS`` blocks, or a shorter prompt itself."""
    blocks = request.blocks()
    return blocks[min(HOME_KEY_BLOCKS, len(blocks)) - 1] if blocks else request.prompt


def _rendezvous_hash(key: str, endpoint: str) -> int:
    digest = hashlib.blake2b(f"{key}|{endpoint}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


class Router:
    """Chooses the endpoint with the lowest rank that is neither full nor backing off."""

    def __init__(self, clock: IReactorTime):
        self.clock = clock
        self.lengths = LengthEstimator()
        self.in_flight_by_name: dict[str, int] = {}
        self.avoid_until_by_name: dict[str, float] = {}

    def choose(self, candidates: list[EndpointRecord], request, limit: int, excluded=()):
        """The endpoint to try; None if every candidate is excluded, backing off or full.

        :param limit: maximum in-flight streams of this gateway per endpoint.
        """
        now = self.clock.seconds()
        available = [
            record
            for record in candidates
            if record.name not in excluded
            and self.in_flight_by_name.get(record.name, 0) < limit
            and self.avoid_until_by_name.get(record.name, now) <= now
            and self.has_room(record.name, request)
        ]
        return min(available, key=lambda record: self.rank(record.name, request), default=None)

    def begin(self, name: str, request=None) -> None:
        """Count an in-flight stream; ``request`` is given if it is about to be started."""
        self.in_flight_by_name[name] = self.in_flight_by_name.get(name, 0) + 1

    def end(self, name: str, request=None) -> None:
        self.in_flight_by_name[name] -= 1

    def avoid(self, name: str, seconds: float) -> None:
        """Send nothing to ``name`` for ``seconds``, after it has refused a request."""
        self.avoid_until_by_name[name] = self.clock.seconds() + seconds

    def observe(self, name: str, occupancy, request=None) -> None:
        """Receive a report of slots and memory in use; ``request`` is given if it started there."""

    def observe_cache(self, name: str, events) -> None:
        """Receive cache events of an endpoint."""

    def has_room(self, name: str, request) -> bool:
        """Whether the engine has memory and a slot for ``request``; the baselines don't check."""
        return True

    def rank(self, name: str, request):
        """The sort key of an endpoint; the lowest is chosen."""
        raise NotImplementedError


class RoundRobinRouter(Router):
    """Baseline: round-robin."""

    def __init__(self, clock: IReactorTime):
        super().__init__(clock)
        self.sequence_numbers = itertools.count(1)
        self.last_turn_by_name: dict[str, int] = {}

    def rank(self, name, request):
        return self.last_turn_by_name.get(name, 0), name

    def begin(self, name, request=None):
        super().begin(name, request)
        self.last_turn_by_name[name] = next(self.sequence_numbers)


class LeastLoadedRouter(Router):
    """Baseline: the fewest in-flight streams of this gateway, then a hash of the prefix."""

    def rank(self, name, request):
        key = request.blocks()[0] if request.blocks() else request.prompt
        return self.in_flight_by_name.get(name, 0), -_rendezvous_hash(key, name)


class CacheLoadRouter(Router):
    """Chooses the endpoint with the least prefill before the first token, among those with memory.

    The prefill is that of the prompts without a first token, plus the request's own prompt except
    its cached blocks. Each prefix has a home endpoint, chosen by rendezvous hashing, so that all
    gateways send prompts with a common prefix to the same engine. Memory use is the sidecar's last
    report, which includes other gateways' streams, plus the requests sent since. As the report may
    be out of date, the sidecar checks again (see :mod:`guavacleat.sidecar.occupancy`).
    """

    def __init__(self, clock: IReactorTime):
        super().__init__(clock)
        self.cache = CacheMap(clock)
        self.home_endpoint: str | None = None
        self.occupancy_by_name: dict[str, object] = {}
        # Prompt tokens of requests sent but not started yet, by endpoint and request id.
        self.starting_by_name: dict[str, dict[str, int]] = {}

    def choose(self, candidates, request, limit, excluded=()):
        key = _prefix_key(request)
        names = (record.name for record in candidates if record.name not in excluded)
        self.home_endpoint = max(names, key=lambda name: _rendezvous_hash(key, name), default=None)
        return super().choose(candidates, request, limit, excluded)

    def begin(self, name, request=None):
        super().begin(name, request)
        if request is not None:
            self.starting_by_name.setdefault(name, {})[request.request_id] = request.prompt_tokens
            self.cache.mark_cached(name, request.blocks())

    def end(self, name, request=None):
        super().end(name, request)
        self._remove_starting(name, request)

    def observe(self, name, occupancy, request=None):
        self.occupancy_by_name[name] = occupancy
        self._remove_starting(name, request)

    def observe_cache(self, name, events):
        self.cache.observe(name, events)

    def _remove_starting(self, name: str, request) -> None:
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
        # The request grows by one token per decode step until it ends or memory use peaks.
        output = self.lengths.remaining(request.kind(), 0, request.max_tokens)
        growth = min(output, occupancy.peak_in or 0)
        expected = occupancy.peak + sum(starting.values()) + request.prompt_tokens + growth
        urgent = request.priority == URGENT_PRIORITY
        return expected <= occupancy.capacity - (0 if urgent else occupancy.kept_free or 0)

    def rank(self, name, request):
        starting = sum(self.starting_by_name.get(name, {}).values())
        cached = self.cache.cached_blocks(name, request.blocks()) * BLOCK_TOKENS
        prefill_tokens = starting + request.prompt_tokens - cached
        if name == self.home_endpoint:
            prefill_tokens -= HOME_BONUS_TOKENS
        memory = 0.0
        occupancy = self.occupancy_by_name.get(name)
        if occupancy is not None and occupancy.capacity:
            prefill_tokens += occupancy.to_read or 0
            memory = occupancy.peak / occupancy.capacity
        return prefill_tokens, memory, self.in_flight_by_name.get(name, 0)


ROUTERS_BY_NAME = {
    "cache-load": CacheLoadRouter,
    "least-loaded": LeastLoadedRouter,
    "round-robin": RoundRobinRouter,
}


def get_router_by_name(name: str, clock: IReactorTime) -> Router:
    """Create a router; raises KeyError for an unknown name."""
    return ROUTERS_BY_NAME[name](clock)
