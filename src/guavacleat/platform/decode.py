"""What operators and engines write to the store, decoded into the product's types."""

from guavacleat.membership.registry import EndpointEntry, EndpointState
from guavacleat.routes import (
    Account,
    Backend,
    CallerLimits,
    EngineTraits,
    RequestKind,
    Route,
    RouteTable,
    ServiceTraits,
)

__all__ = ["decode_configuration", "decode_endpoint"]

MS = 1000
KINDS_BY_WORD = {
    "idempotent": RequestKind.IDEMPOTENT,
    "non_idempotent": RequestKind.NON_IDEMPOTENT,
    "stream": RequestKind.STREAM,
}
READY = "ready"


def decode_configuration(spec: dict) -> RouteTable:
    """Decode one version of the operators' configuration; raise KeyError or ValueError if bad."""
    tenants = spec.get("tenants") or []
    return RouteTable(
        version=spec["version"],
        routes=[_route(item) for item in spec.get("routes", [])],
        services_by_name={item["name"]: _service(item) for item in spec.get("services", [])},
        accounts_by_key={
            key: account
            for tenant in tenants
            for account in [Account(tenant["name"], tenant.get("priority"))]
            for key in tenant.get("apiKeys", [])
        },
        limits=_limits(spec.get("limits") or {}),
        keyed=spec.get("tenants") is not None,
    )


def _route(item: dict) -> Route:
    backends = item.get("backends") or [{"service": item["service"], "weight": 1}]
    gap_goal = item.get("gapGoalMs")
    return Route(
        name=item["name"],
        host=item["host"].lower(),
        path_prefix=item["pathPrefix"],
        backends=tuple(Backend(backend["service"], backend["weight"]) for backend in backends),
        # A kind that is not known yet is handled like the strictest one: run once at most.
        kind=KINDS_BY_WORD.get(item.get("kind"), RequestKind.NON_IDEMPOTENT),
        timeout=item["timeoutMs"] / MS,
        latency_goal=item.get("latencyGoalMs", item["timeoutMs"]) / MS,
        gap_goal=None if gap_goal is None else gap_goal / MS,
        max_attempts=item.get("maxAttempts", 1),
        priority=item.get("priority", 5),
        public=bool(item.get("public")),
    )


def _service(item: dict) -> ServiceTraits:
    engine = item.get("engine")
    return ServiceTraits(
        name=item["name"],
        max_connections=item.get("maxConns", 100),
        engine=_engine(engine) if engine else None,
    )


def _engine(item: dict) -> EngineTraits:
    return EngineTraits(
        slots=item["slots"],
        memory_tokens=item["kvCapacity"],
        token_bytes=item.get("kvTokenBytes", 0),
        link_mbps=item.get("linkMbps", 0.0),
        # The page calls the tokens in one event the stride.
        tokens_per_event=item.get("stride", 1),
        moves=bool(item.get("moves")),
        backups=bool(item.get("backups")),
    )


def _limits(item: dict) -> CallerLimits:
    defaults = CallerLimits()
    return CallerLimits(
        max_header_bytes=item.get("maxHeaderBytes", defaults.max_header_bytes),
        max_body_bytes=item.get("maxBodyBytes", defaults.max_body_bytes),
        header_timeout=item.get("headerTimeoutMs", defaults.header_timeout * MS) / MS,
        idle_timeout=item.get("idleTimeoutMs", defaults.idle_timeout * MS) / MS,
    )


def decode_endpoint(id: str, spec: dict, revision: int) -> EndpointEntry:
    """Decode the entry that an engine keeps of itself under its id."""
    host, _, port = spec["address"].rpartition(":")
    return EndpointEntry(
        id=id,
        service=spec["service"],
        address=(host, int(port)),
        data_centre=spec.get("zone", ""),
        slots=spec.get("slots", 1),
        # Any state but ready takes no new work.
        state=EndpointState.READY if spec.get("state") == READY else EndpointState.DRAINING,
        revision=revision,
    )
