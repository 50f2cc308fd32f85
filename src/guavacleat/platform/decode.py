"""What operators and engines write to the store, decoded into the product's types."""

import ipaddress
import math

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
STATES_BY_WORD = {"ready": EndpointState.READY, "draining": EndpointState.DRAINING}
PORTS = range(1, 65536)
# Up to here each whole number has a float of its own (53 bits of mantissa).
LARGEST_EXACT_FLOAT = 2**53 - 1


def decode_configuration(spec: dict) -> RouteTable:
    """Decode one version of the operators' configuration.

    Raises KeyError, ValueError, TypeError or AttributeError if it is not as described: what is let
    through here is used with every request.
    """
    tenants = spec.get("tenants") or []
    return RouteTable(
        version=_version(spec["version"]),
        routes=[_route(item) for item in spec.get("routes", [])],
        services_by_name={_text(item["name"]): _service(item) for item in spec.get("services", [])},
        accounts_by_key={
            _text(key): account
            for tenant in tenants
            for account in [_account(tenant)]
            for key in tenant.get("apiKeys", [])
        },
        limits=_limits(spec.get("limits") or {}),
        requires_key=spec.get("tenants") is not None,
    )


def _text(value) -> str:
    if not isinstance(value, str):
        raise ValueError(f"{value!r} is not a text")
    return value


def _whole(value) -> int:
    """A whole number; some encoders write it as a float."""
    if isinstance(value, float) and value.is_integer():
        return int(value)
    if not isinstance(value, int) or isinstance(value, bool):
        raise ValueError(f"{value!r} is not a whole number")
    return value


def _version(value) -> int:
    """A configuration's version; as a float only where floats tell whole numbers apart.

    Beyond that, a float stands for other numbers too: taken for one of them, it could be above
    versions that are newer, and each gateway that took it would ignore those for good.
    """
    version = _whole(value)
    if isinstance(value, float) and abs(value) > LARGEST_EXACT_FLOAT:
        raise ValueError(f"version {value!r} is not exact; write it as a whole number")
    return version


def _get(item: dict, key: str, default):
    """A part that may be left out, or be null."""
    value = item.get(key)
    return default if value is None else value


def _number(value) -> float:
    """A number; a limit without end or below nothing is none."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise ValueError(f"{value!r} is not a number")
    if not 0 <= value < math.inf:
        raise ValueError(f"{value!r} is out of range")
    return value


def _account(item: dict) -> Account:
    priority = item.get("priority")
    return Account(_text(item["name"]), None if priority is None else _whole(priority))


def _route(item: dict) -> Route:
    backends = item.get("backends") or [{"service": item["service"], "weight": 1}]
    gap_goal = item.get("gapGoalMs")
    return Route(
        name=_text(item["name"]),
        host=_text(item["host"]).lower(),
        path_prefix=_text(item["pathPrefix"]),
        backends=tuple(
            Backend(_text(backend["service"]), _number(backend["weight"])) for backend in backends
        ),
        # A kind that is not known yet is handled like the strictest one: run once at most.
        kind=KINDS_BY_WORD.get(_text(_get(item, "kind", "")), RequestKind.NON_IDEMPOTENT),
        timeout=_number(item["timeoutMs"]) / MS,
        latency_goal=_number(_get(item, "latencyGoalMs", item["timeoutMs"])) / MS,
        gap_goal=None if gap_goal is None else _number(gap_goal) / MS,
        max_attempts=_whole(_get(item, "maxAttempts", 1)),
        priority=_whole(_get(item, "priority", 5)),
        public=bool(item.get("public")),
    )


def _service(item: dict) -> ServiceTraits:
    engine = item.get("engine")
    return ServiceTraits(
        name=_text(item["name"]),
        max_connections=_whole(_get(item, "maxConns", 100)),
        engine=_engine(engine) if engine else None,
    )


def _engine(item: dict) -> EngineTraits:
    return EngineTraits(
        slots=_whole(item["slots"]),
        memory_tokens=_whole(item["kvCapacity"]),
        token_bytes=_number(_get(item, "kvTokenBytes", 0)),
        link_mbps=_number(_get(item, "linkMbps", 0.0)),
        # The page calls the tokens in one event the stride.
        tokens_per_event=_whole(_get(item, "stride", 1)),
        moves=bool(item.get("moves")),
        backups=bool(item.get("backups")),
    )


def _limits(item: dict) -> CallerLimits:
    defaults = CallerLimits()
    return CallerLimits(
        max_header_bytes=_whole(_get(item, "maxHeaderBytes", defaults.max_header_bytes)),
        max_body_bytes=_whole(_get(item, "maxBodyBytes", defaults.max_body_bytes)),
        header_timeout=_number(_get(item, "headerTimeoutMs", defaults.header_timeout * MS)) / MS,
        idle_timeout=_number(_get(item, "idleTimeoutMs", defaults.idle_timeout * MS)) / MS,
    )


def decode_endpoint(id: str, spec: dict, revision: int) -> EndpointEntry:
    """Decode the entry that an engine keeps of itself under its id; raises like the above."""
    started = spec.get("born")
    return EndpointEntry(
        id=id,
        service=_text(spec["service"]),
        address=_address(_text(spec["address"])),
        data_centre=_text(_get(spec, "zone", "")),
        slots=_whole(_get(spec, "slots", 1)),
        # A state that is not known says neither that it takes work nor that it leaves.
        state=STATES_BY_WORD.get(_text(spec["state"]), EndpointState.UNUSABLE),
        revision=revision,
        started_ms=None if started is None else _whole(started),
    )


def _address(text: str) -> tuple[str, int]:
    """``IP:PORT``; a host's name would be looked up, which nobody here is meant to do."""
    host, _, port = text.rpartition(":")
    ipaddress.ip_address(host)
    if int(port) not in PORTS:
        raise ValueError(f"{port} is no port")
    return host, int(port)
