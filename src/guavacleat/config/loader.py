"""Loads and validates a deployment settings file (JSON5).

A file with any problem is rejected as a whole. One :class:`~guavacleat.errors.SettingsError` lists
all problems, each with its field and remedy.
"""

from pathlib import Path

from expression import Error, Ok, Result

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
from guavacleat.config.model import (
    ClientAccount,
    Deployment,
    Endpoint,
    Limits,
    PriorityClass,
    Service,
)
from guavacleat.errors import SettingsError

__all__ = ["check_raw", "check_settings", "load_settings", "parse_settings", "read_settings"]

SERVICE_KINDS = ("engine", "plain")
DEFAULT_LIMITS = {
    "queue_per_account": 64,
    "in_flight_per_endpoint": 32,
    "retry_after": 1.0,
    "max_wait": 10.0,
}


def load_settings(path: str | Path) -> Deployment:
    """Load and validate a settings file; raise SettingsError listing every problem."""
    return parse_settings(read_settings(path), source=str(path))


def parse_settings(text: str, source: str = "<settings>") -> Deployment:
    """Parse and validate settings text; raise SettingsError listing every problem."""
    result = check_settings(text)
    if result.is_error():
        raise SettingsError(
            f"settings {source} refused, nothing applied:\n  " + "\n  ".join(result.error),
            "correct each field named above and apply the whole file again.",
        )
    return result.ok


def check_settings(text: str) -> Result[Deployment, list[str]]:
    """Return the deployment, or a line with field and remedy for each problem."""
    problems = Problems()
    raw = parse_json5(text, problems)
    if problems.lines:
        return Error(problems.lines)
    return check_raw(raw)


def check_raw(raw) -> Result[Deployment, list[str]]:
    """Validate settings already parsed into plain JSON values, as the object API holds them.

    Daemons call this for every stored configuration. It avoids json5, which is far slower than
    the validation itself.
    """
    if not isinstance(raw, dict):
        return Error(["file: the top level is not an object. Remedy: wrap settings in { }."])
    problems = Problems()
    deployment = _build(raw, problems)
    return Error(problems.lines) if problems.lines else Ok(deployment)


def _build(raw: dict, problems: Problems) -> Deployment:
    name = text_field(raw, "deployment", problems)
    data_centres = tuple(text_list(raw, "data_centres", problems))
    classes = [
        _priority_class(i, item, problems) for i, item in indexed_items(raw, "priority_classes")
    ]
    services = [_service(i, item, problems) for i, item in indexed_items(raw, "services")]
    accounts = [_account(i, item, problems) for i, item in indexed_items(raw, "client_accounts")]
    endpoints = [_endpoint(i, item, problems) for i, item in indexed_items(raw, "endpoints")]
    for field, parts in (
        ("priority_classes", classes),
        ("services", services),
        ("client_accounts", accounts),
        ("endpoints", endpoints),
    ):
        require_unique(field, [part.name for part in parts], problems)
        if not parts:
            problems.add(field, "is empty or missing.", f"list at least one entry in {field}.")
    services_by_name = {service.name: service for service in services}
    for index, endpoint in enumerate(endpoints):
        _check_endpoint_refs(index, endpoint, services_by_name, data_centres, problems)
    return Deployment(
        name=name,
        data_centres=data_centres,
        priority_classes_by_name={item.name: item for item in classes},
        services_by_name=services_by_name,
        client_accounts_by_name={item.name: item for item in accounts},
        endpoints_by_name={item.name: item for item in endpoints},
        limits=_limits(raw.get("limits", {}), problems),
    )


def _priority_class(index: int, item: dict, problems: Problems) -> PriorityClass:
    where = f"priority_classes[{index}]."
    priority = item.get("priority")
    if isinstance(priority, bool) or not isinstance(priority, int) or priority < 0:
        problems.add(where + "priority", f"is {priority!r}.", "set a whole number >= 0.")
        priority = 0
    return PriorityClass(text_field(item, "name", problems, where), priority)


def _service(index: int, item: dict, problems: Problems) -> Service:
    where = f"services[{index}]."
    kind = item.get("kind", "engine")
    if kind not in SERVICE_KINDS:
        problems.add(where + "kind", f"is {kind!r}.", f"use one of {', '.join(SERVICE_KINDS)}.")
    models = item.get("models", [])
    if kind == "engine" and (not isinstance(models, list) or not models):
        problems.add(where + "models", "is empty for an engine service.", "list its models.")
        models = []
    repeatable = item.get("repeatable", True)
    if not isinstance(repeatable, bool):
        problems.add(where + "repeatable", f"is {repeatable!r}.", "set true or false.")
        repeatable = False
    return Service(text_field(item, "name", problems, where), kind, tuple(models), repeatable)


def _account(index: int, item: dict, problems: Problems) -> ClientAccount:
    where = f"client_accounts[{index}]."
    weight = positive_number(item, "weight", problems, where, default=1)
    return ClientAccount(text_field(item, "name", problems, where), int(weight))


def _endpoint(index: int, item: dict, problems: Problems) -> Endpoint:
    where = f"endpoints[{index}]."
    return Endpoint(
        text_field(item, "name", problems, where),
        text_field(item, "service", problems, where),
        text_field(item, "data_centre", problems, where),
    )


def _check_endpoint_refs(index, endpoint, services_by_name, data_centres, problems) -> None:
    where = f"endpoints[{index}]."
    if endpoint.service and endpoint.service not in services_by_name:
        problems.add(
            where + "service", f"names unknown {endpoint.service!r}.", "add it to services."
        )
    if endpoint.data_centre and endpoint.data_centre not in data_centres:
        problems.add(
            where + "data_centre",
            f"names unknown {endpoint.data_centre!r}.",
            "add it to data_centres.",
        )


def _limits(raw: dict, problems: Problems) -> Limits:
    merged = {**DEFAULT_LIMITS, **raw} if isinstance(raw, dict) else DEFAULT_LIMITS
    for field in set(merged) - set(DEFAULT_LIMITS):
        problems.add(
            f"limits.{field}", "is not a known limit.", f"use {', '.join(DEFAULT_LIMITS)}."
        )
    return Limits(
        queue_per_account=int(positive_number(merged, "queue_per_account", problems, "limits.")),
        in_flight_per_endpoint=int(
            positive_number(merged, "in_flight_per_endpoint", problems, "limits.")
        ),
        retry_after=float(positive_number(merged, "retry_after", problems, "limits.")),
        max_wait=float(positive_number(merged, "max_wait", problems, "limits.")),
    )
