"""Loads and validates a routes file (JSON5).

A file holds a complete routing configuration: caller limits, client accounts with their keys,
services, routes and endpoint addresses. Times are in seconds. A file with any problem is rejected
as a whole, and every problem is listed with its remedy. See ``examples/routes.json5``.
"""

from pathlib import Path

from guavacleat.config.checks import (
    Problems,
    indexed_items,
    parse_json5,
    positive_number,
    read_settings,
    require_unique,
    text_field,
    text_list,
)
from guavacleat.errors import SettingsError
from guavacleat.membership.entries import EndpointEntry, EndpointState
from guavacleat.routes.model import (
    Account,
    Backend,
    CallerLimits,
    EngineTraits,
    RequestKind,
    Route,
    RouteTable,
    ServiceTraits,
)

__all__ = ["RoutesFile", "load_routes", "parse_routes"]

KINDS_BY_NAME = {kind.value: kind for kind in RequestKind}
DEFAULT_MAX_CONNECTIONS = 100
DEFAULT_PRIORITY = 5


class RoutesFile:
    """A routing configuration, the endpoints that serve it, and evacuated data centres."""

    __slots__ = ("table", "endpoints", "evacuated_data_centres")

    def __init__(
        self,
        table: RouteTable,
        endpoints: list[EndpointEntry],
        evacuated_data_centres: frozenset[str] = frozenset(),
    ):
        self.table = table
        self.endpoints = endpoints
        self.evacuated_data_centres = evacuated_data_centres


def load_routes(path: str | Path) -> RoutesFile:
    """Load and validate a routes file; raise SettingsError listing every problem."""
    return parse_routes(read_settings(path), source=str(path))


def parse_routes(text: str, source: str = "<routes>") -> RoutesFile:
    """Parse and validate the text of a routes file; raise SettingsError listing every problem."""
    problems = Problems()
    raw = parse_json5(text, problems)
    if not problems.lines and not isinstance(raw, dict):
        problems.add("file", "the top level is not an object.", "wrap the settings in { }.")
    result = None if problems.lines else _build(raw, problems)
    if problems.lines:
        raise SettingsError(
            f"routes {source} refused, nothing applied:\n  " + "\n  ".join(problems.lines),
            "correct each field named above.",
        )
    return result


def _build(raw: dict, problems: Problems) -> RoutesFile:
    services = [_service(index, item, problems) for index, item in indexed_items(raw, "services")]
    routes = [_route(index, item, problems) for index, item in indexed_items(raw, "routes")]
    endpoints = [
        _endpoint(index, item, problems) for index, item in indexed_items(raw, "endpoints")
    ]
    services_by_name = {service.name: service for service in services}
    for field, names in (
        ("services", [service.name for service in services]),
        ("routes", [route.name for route in routes]),
        ("endpoints", [endpoint.id for endpoint in endpoints]),
    ):
        require_unique(field, names, problems)
        if not names:
            problems.add(field, "is empty or missing.", f"list at least one entry in {field}.")
    _check_services(routes, endpoints, services_by_name, problems)
    table = RouteTable(
        version=int(positive_number(raw, "version", problems, "", default=1)),
        routes=routes,
        services_by_name=services_by_name,
        accounts_by_key=_accounts_by_key(raw, problems),
        limits=_limits(raw.get("limits", {}), problems),
        requires_key="client_accounts" in raw,
    )
    evacuated = raw.get("evacuated_data_centres") and text_list(
        raw, "evacuated_data_centres", problems
    )
    return RoutesFile(table, endpoints, frozenset(evacuated or ()))


def _service(index: int, item: dict, problems: Problems) -> ServiceTraits:
    where = f"services[{index}]."
    connections = positive_number(item, "max_connections", problems, where, DEFAULT_MAX_CONNECTIONS)
    engine = item.get("engine")
    traits = _engine(engine, problems, where + "engine.") if engine else None
    return ServiceTraits(
        text_field(item, "name", problems, where),
        int(connections),
        traits,
        cold_start=_optional_number(item, "cold_start", problems, where),
        cold_rate=_optional_number(item, "cold_rate", problems, where),
    )


def _optional_number(item: dict, field: str, problems: Problems, where: str) -> float:
    """The field's positive value, or 0 if it is missing."""
    return positive_number(item, field, problems, where) if field in item else 0.0


def _engine(item: dict, problems: Problems, where: str) -> EngineTraits:
    def number(field, default=None):
        return positive_number(item, field, problems, where, default)

    return EngineTraits(
        slots=int(number("slots")),
        memory_tokens=int(number("memory_tokens")),
        token_bytes=number("token_bytes", 1),
        link_mbps=number("link_mbps", 1),
        tokens_per_event=int(number("tokens_per_event", 1)),
        moves=bool(item.get("moves")),
        backups=bool(item.get("backups")),
    )


def _route(index: int, item: dict, problems: Problems) -> Route:
    where = f"routes[{index}]."
    kind = item.get("kind")
    if kind not in KINDS_BY_NAME:
        problems.add(where + "kind", f"is {kind!r}.", f"use one of {', '.join(KINDS_BY_NAME)}.")
    prefix = text_field(item, "path_prefix", problems, where)
    if not (prefix.startswith("/") and prefix.endswith("/")):
        problems.add(where + "path_prefix", f"is {prefix!r}.", "begin and end it with a slash.")
    timeout = positive_number(item, "timeout", problems, where)
    gap_goal = item.get("gap_goal")
    return Route(
        name=text_field(item, "name", problems, where),
        host=text_field(item, "host", problems, where).lower(),
        path_prefix=prefix,
        backends=_backends(item, problems, where),
        kind=KINDS_BY_NAME.get(kind, RequestKind.NON_IDEMPOTENT),
        timeout=timeout,
        latency_goal=positive_number(item, "latency_goal", problems, where, default=timeout),
        gap_goal=None if gap_goal is None else positive_number(item, "gap_goal", problems, where),
        max_attempts=int(positive_number(item, "max_attempts", problems, where, default=1)),
        priority=item.get("priority", DEFAULT_PRIORITY),
        public=bool(item.get("public")),
    )


def _backends(item: dict, problems: Problems, where: str) -> tuple[Backend, ...]:
    backends = tuple(
        Backend(
            text_field(backend, "service", problems, f"{where}backends[{index}]."),
            positive_number(backend, "weight", problems, f"{where}backends[{index}].", 1),
        )
        for index, backend in indexed_items(item, "backends")
    )
    if not backends:
        problems.add(where + "backends", "is empty or missing.", "list at least one service.")
    return backends


def _endpoint(index: int, item: dict, problems: Problems) -> EndpointEntry:
    where = f"endpoints[{index}]."
    address = text_field(item, "address", problems, where)
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        problems.add(where + "address", f"is {address!r}.", "write it like 127.0.0.1:8000.")
        port = "0"
    return EndpointEntry(
        id=text_field(item, "id", problems, where),
        service=text_field(item, "service", problems, where),
        address=(host, int(port)),
        data_centre=item.get("data_centre", ""),
        slots=int(positive_number(item, "slots", problems, where, default=1)),
        state=EndpointState.READY,
    )


def _check_services(routes, endpoints, services_by_name, problems: Problems) -> None:
    references = [
        (f"routes {route.name}", backend.service) for route in routes for backend in route.backends
    ] + [(f"endpoints {endpoint.id}", endpoint.service) for endpoint in endpoints]
    for where, service in references:
        if service and service not in services_by_name:
            problems.add(where, f"names unknown service {service!r}.", "add it to services.")


def _accounts_by_key(raw: dict, problems: Problems) -> dict[str, Account]:
    accounts_by_key = {}
    for index, item in indexed_items(raw, "client_accounts"):
        where = f"client_accounts[{index}]."
        account = Account(text_field(item, "name", problems, where), item.get("priority"))
        for key in text_list(item, "keys", problems):
            if key in accounts_by_key:
                problems.add(where + "keys", "has a key of another account.", "generate a new key.")
            accounts_by_key[key] = account
    return accounts_by_key


def _limits(raw: dict, problems: Problems) -> CallerLimits:
    defaults = CallerLimits()
    values = {
        field: positive_number(raw, field, problems, "limits.", getattr(defaults, field))
        for field in CallerLimits.__slots__
    }
    for field in set(raw) - set(CallerLimits.__slots__):
        problems.add(
            f"limits.{field}", "is not a known limit.", f"use {', '.join(CallerLimits.__slots__)}."
        )
    return CallerLimits(**values)
