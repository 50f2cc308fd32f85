"""Data classes of the routing configuration; times are in seconds."""

import enum
import itertools
import random

from guavacleat.routes.contention import Contention, find_contention

__all__ = [
    "Account",
    "Backend",
    "CallerLimits",
    "EngineTraits",
    "RequestKind",
    "Route",
    "RouteTable",
    "ServiceTraits",
]


class RequestKind(enum.Enum):
    """The kind of a route's requests; only idempotent ones may run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class Backend:
    """A service that receives a share of a route's requests, by ``weight``."""

    __slots__ = ("service", "weight")

    def __init__(self, service: str, weight: float):
        self.service = service
        self.weight = weight


class Route:
    """Requests to ``host`` whose path begins with ``path_prefix``.

    :param timeout: deadline of a request, from its arrival.
    :param latency_goal: target time to the response (streams: to the first event).
    :param gap_goal: target for the longest pause between a stream's events; None if not a stream.
    :param max_attempts: maximum number of endpoints that one request may run on.
    :param priority: 0 is the highest.
    :param public: true if callers need no key.
    :param regions: names of the regions whose endpoints may run its requests; None for all.
    """

    __slots__ = (
        "name",
        "host",
        "path_prefix",
        "backends",
        "kind",
        "timeout",
        "latency_goal",
        "gap_goal",
        "max_attempts",
        "priority",
        "public",
        "regions",
    )

    def __init__(
        self,
        name: str,
        host: str,
        path_prefix: str,
        backends: tuple[Backend, ...],
        kind: RequestKind,
        timeout: float,
        latency_goal: float,
        gap_goal: float | None = None,
        max_attempts: int = 1,
        priority: int = 5,
        public: bool = False,
        regions: frozenset[str] | None = None,
    ):
        self.name = name
        self.host = host
        self.path_prefix = path_prefix
        self.backends = backends
        self.kind = kind
        self.timeout = timeout
        self.latency_goal = latency_goal
        self.gap_goal = gap_goal
        self.max_attempts = max_attempts
        self.priority = priority
        self.public = public
        self.regions = regions

    def pick_service(self, rng: random.Random) -> str:
        """Pick one of the route's services at random, by weight."""
        if len(self.backends) == 1:
            return self.backends[0].service
        weights = [backend.weight for backend in self.backends]
        return rng.choices(self.backends, weights)[0].service


class EngineTraits:
    """Properties shared by the model engines of a service.

    :param slots: maximum number of generations in one batch.
    :param memory_tokens: capacity of an engine's memory in tokens.
    :param token_bytes: bytes of engine memory per token.
    :param link_mbps: bandwidth between engines in Mbit/s.
    :param tokens_per_event: tokens per stream event.
    :param moves: whether a running generation can migrate to another engine.
    :param backups: whether a running generation can be replicated to another engine.
    """

    __slots__ = (
        "slots",
        "memory_tokens",
        "token_bytes",
        "link_mbps",
        "tokens_per_event",
        "moves",
        "backups",
    )

    def __init__(
        self, slots, memory_tokens, token_bytes, link_mbps, tokens_per_event, moves, backups
    ):
        self.slots = slots
        self.memory_tokens = memory_tokens
        self.token_bytes = token_bytes
        self.link_mbps = link_mbps
        self.tokens_per_event = tokens_per_event
        self.moves = moves
        self.backups = backups


class ServiceTraits:
    """Properties of a service; ``engine`` is None for a plain one.

    :param cold_start: seconds for which an endpoint is cold after its start.
    :param cold_rate: maximum requests per second to a cold endpoint; 0 if it has no such limit.
    :ivar contention: set by the :class:`RouteTable`; None unless requests of different urgency
        compete for its engines.
    """

    __slots__ = ("name", "max_connections", "engine", "cold_start", "cold_rate", "contention")

    def __init__(
        self,
        name: str,
        max_connections: int,
        engine: EngineTraits | None = None,
        cold_start: float = 0.0,
        cold_rate: float = 0.0,
    ):
        self.name = name
        self.max_connections = max_connections
        self.engine = engine
        self.cold_start = cold_start
        self.cold_rate = cold_rate
        self.contention: Contention | None = None


class Account:
    """A client account; ``priority`` overrides the route's unless it is None.

    :param regions: names of the regions whose endpoints may run its requests; None for all.
    """

    __slots__ = ("name", "priority", "regions")

    def __init__(
        self, name: str, priority: int | None = None, regions: frozenset[str] | None = None
    ):
        self.name = name
        self.priority = priority
        self.regions = regions


class CallerLimits:
    """Limits on the size (bytes) and duration (seconds) of a caller's requests."""

    __slots__ = ("max_header_bytes", "max_body_bytes", "header_timeout", "idle_timeout")

    def __init__(
        self,
        max_header_bytes: int = 16384,
        max_body_bytes: int = 4 << 20,
        header_timeout: float = 3.0,
        idle_timeout: float = 15.0,
    ):
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self.header_timeout = header_timeout
        self.idle_timeout = idle_timeout


class RouteTable:
    """One version of the routing configuration; looked up by host, path and key.

    :param requires_key: true if callers need a known key for routes that are not public.
    """

    __slots__ = (
        "version",
        "routes_by_host",
        "services_by_name",
        "accounts_by_key",
        "account_names",
        "limits",
        "requires_key",
    )

    def __init__(
        self,
        version: int,
        routes: list[Route],
        services_by_name: dict[str, ServiceTraits],
        accounts_by_key: dict[str, Account],
        limits: CallerLimits,
        requires_key: bool,
    ):
        self.version = version
        by_host = sorted(routes, key=lambda route: (route.host, -len(route.path_prefix)))
        self.routes_by_host = {
            host: list(group)
            for host, group in itertools.groupby(by_host, key=lambda route: route.host)
        }
        self.services_by_name = services_by_name
        self.accounts_by_key = accounts_by_key
        self.account_names = frozenset(account.name for account in accounts_by_key.values())
        self.limits = limits
        self.requires_key = requires_key
        for service in services_by_name.values():
            if service.engine is not None:
                service.contention = find_contention(_stream_routes(routes, service.name))

    def match(self, host: str, path: str) -> Route | None:
        """The route of ``host`` with the longest prefix of ``path``."""
        routes = self.routes_by_host.get(host, ())
        return next((route for route in routes if path.startswith(route.path_prefix)), None)

    def route_count(self) -> int:
        return sum(map(len, self.routes_by_host.values()))


def _stream_routes(routes: list[Route], service: str) -> list[Route]:
    """The stream routes of which a share of the requests goes to ``service``."""
    return [
        route
        for route in routes
        if route.kind is RequestKind.STREAM
        and any(backend.service == service for backend in route.backends)
    ]
