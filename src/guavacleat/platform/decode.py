"""Decodes the objects that operators and engines write to the store."""

import ipaddress
import math

from guavacleat.membership.entries import EndpointEntry, EndpointState
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

MS_PER_SECOND = 1000
KINDS_BY_NAME = {
    "idempotent": RequestKind.IDEMPOTENT,
    "non_idempotent": RequestKind.NON_IDEMPOTENT,
    "stream": RequestKind.STREAM,
}
STATES_BY_NAME = {"ready": EndpointState.READY, "draining": EndpointState.DRAINING}
PORTS = range(1, 65536)
# What reports to other gateways can hold.
INTEGERS = range(-(2**63), 2**63)
SLOTS = range(1, 2**31)
# Largest integer up to which all integers are exact as floats (53-bit mantissa).
MAX_EXACT_FLOAT_INTEGER = 2**53 - 1


def decode_configuration(spec: dict) -> RouteTable:
    """Decode a version of the configuration.

    Raises KeyError, ValueError, TypeError or AttributeError if it is invalid. Values are checked
    here, because every request uses the table.
    """
    tenants = spec.get("tenants") or []
    return RouteTable(
        version=_version(spec["version"]),
        routes=[_route(item) for item in spec.get("routes", [])],
        services_by_name={
            _string(item["name"]): _service(item) for item in spec.get("services", [])
        },
        accounts_by_key={
            _string(key): account
            for tenant in tenants
            for account in [_account(tenant)]
            for key in tenant.get("apiKeys", [])
        },
        limits=_limits(spec.get("limits") or {}),
        requires_key=spec.get("tenants") is not None,
    )


def _string(value) -> str:
    if not isinstance(value, str):
        raise ValueError(f"{value!r} is not a string")
    return value


def _header_value(text: str) -> str:
    """Check a text that requests carry in a header."""
    if not (text.isascii() and text.isprintable()):
        raise ValueError(f"{text!r} can't be sent in a header")
    return text


def _integer(value) -> int:
    """Check an integer; floats with an integral value are accepted, as some encoders write them."""
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    if not isinstance(value, int) or isinstance(value, bool):
        raise ValueError(f"{value!r} is not an integer")
    if value not in INTEGERS:
        raise ValueError("an integer is out of range")
    return value


def _slots(value) -> int:
    slots = _integer(value)
    if slots not in SLOTS:
        raise ValueError(f"{slots} is not a valid number of slots")
    return slots


def _version(value) -> int:
    """Check a configuration's version; a float is accepted only up to MAX_EXACT_FLOAT_INTEGER.

    A larger float may have been rounded up from the intended version, and gateways that applied it
    would then ignore later versions.
    """
    version = _integer(value)
    if isinstance(value, float) and abs(value) > MAX_EXACT_FLOAT_INTEGER:
        raise ValueError(f"version {value!r} is not exact; write it as an integer")
    return version


def _get(item: dict, key: str, default):
    """The value of ``key``, or ``default`` if it is missing or null."""
    value = item.get(key)
    return default if value is None else value


def _number(value) -> float:
    """Check a finite, non-negative number."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise ValueError(f"{value!r} is not a number")
    if not 0 <= value < math.inf:
        raise ValueError(f"{value!r} is out of range")
    return value


def _account(item: dict) -> Account:
    priority = item.get("priority")
    return Account(
        _string(item["name"]), None if priority is None else _integer(priority), _regions(item)
    )


def _regions(item: dict) -> frozenset[str] | None:
    """The regions to which a route or an account is confined; None if there is no restriction."""
    regions = item.get("allowedRegions")
    return frozenset(map(_string, regions)) if regions else None


def _route(item: dict) -> Route:
    backends = item.get("backends") or [{"service": item["service"], "weight": 1}]
    gap_goal = item.get("gapGoalMs")
    return Route(
        name=_string(item["name"]),
        host=_string(item["host"]).lower(),
        path_prefix=_string(item["pathPrefix"]),
        backends=tuple(
            Backend(_string(backend["service"]), _number(backend["weight"])) for backend in backends
        ),
        # Unknown kinds are treated as the strictest one: requests run at most once.
        kind=KINDS_BY_NAME.get(_string(_get(item, "kind", "")), RequestKind.NON_IDEMPOTENT),
        timeout=_number(item["timeoutMs"]) / MS_PER_SECOND,
        latency_goal=_number(_get(item, "latencyGoalMs", item["timeoutMs"])) / MS_PER_SECOND,
        gap_goal=None if gap_goal is None else _number(gap_goal) / MS_PER_SECOND,
        max_attempts=_integer(_get(item, "maxAttempts", 1)),
        priority=_integer(_get(item, "priority", 5)),
        public=bool(item.get("public")),
        regions=_regions(item),
    )


def _service(item: dict) -> ServiceTraits:
    engine = item.get("engine")
    return ServiceTraits(
        name=_string(item["name"]),
        max_connections=_integer(_get(item, "maxConns", 100)),
        engine=_engine(engine) if engine else None,
        cold_start=_number(_get(item, "coldStartS", 0)),
        cold_rate=_number(_get(item, "coldPerS", 0)),
    )


def _engine(item: dict) -> EngineTraits:
    return EngineTraits(
        slots=_integer(item["slots"]),
        memory_tokens=_integer(item["kvCapacity"]),
        token_bytes=_number(_get(item, "kvTokenBytes", 0)),
        link_mbps=_number(_get(item, "linkMbps", 0.0)),
        # The platform calls the number of tokens per event the stride.
        tokens_per_event=_integer(_get(item, "stride", 1)),
        moves=bool(item.get("moves")),
        backups=bool(item.get("backups")),
    )


def _limits(item: dict) -> CallerLimits:
    defaults = CallerLimits()
    return CallerLimits(
        max_header_bytes=_integer(_get(item, "maxHeaderBytes", defaults.max_header_bytes)),
        max_body_bytes=_integer(_get(item, "maxBodyBytes", defaults.max_body_bytes)),
        header_timeout=_number(
            _get(item, "headerTimeoutMs", defaults.header_timeout * MS_PER_SECOND)
        )
        / MS_PER_SECOND,
        idle_timeout=_number(_get(item, "idleTimeoutMs", defaults.idle_timeout * MS_PER_SECOND))
        / MS_PER_SECOND,
    )


def decode_endpoint(id: str, spec: dict, revision: int) -> EndpointEntry:
    """Decode an engine's entry; raises the same exceptions as :func:`decode_configuration`."""
    started = spec.get("born")
    return EndpointEntry(
        id=_header_value(id),
        service=_string(spec["service"]),
        address=_address(_string(spec["address"])),
        data_centre=_string(_get(spec, "zone", "")),
        slots=_slots(_get(spec, "slots", 1)),
        # An unknown state means neither ready nor draining.
        state=STATES_BY_NAME.get(_string(spec["state"]), EndpointState.UNUSABLE),
        revision=revision,
        started_ms=None if started is None else _integer(started),
        cold_for=_number(_get(spec, "coldRemainingMs", 0)) / MS_PER_SECOND,
    )


def _address(text: str) -> tuple[str, int]:
    """Parse ``IP:PORT``; host names are rejected, since they would need a DNS lookup."""
    host, _, port = text.rpartition(":")
    ipaddress.ip_address(host)
    if int(port) not in PORTS:
        raise ValueError(f"{port} is not a valid port")
    return host, int(port)
