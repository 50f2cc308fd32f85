"""Reading and checking a deployment settings file (JSON with comments, via json5).

A file is accepted whole or refused whole: every problem found is listed in one
:class:`~guavacleat.errors.SettingsError`, each naming the field and the remedy, and nothing of a
refused file is applied.
"""

from collections import Counter
from pathlib import Path

import json5
from expression import Error, Ok, Result

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


class _Problems:
    """Collects problems while a file is checked, so all of them are reported at once."""

    __slots__ = ("lines",)

    def __init__(self):
        self.lines: list[str] = []

    def add(self, field: str, problem: str, remedy: str) -> None:
        self.lines.append(f"{field}: {problem} Remedy: {remedy}")


def read_settings(path: str | Path) -> str:
    """Return the text of a settings file; raise SettingsError if it cannot be read."""
    try:
        return Path(path).read_text(encoding="utf-8")
    except OSError as exc:
        raise SettingsError(
            f"cannot read settings file {path}: {exc.strerror}.",
            "give the path of a readable JSON-with-comments settings file.",
        ) from exc


def load_settings(path: str | Path) -> Deployment:
    """Read, parse and check one settings file; raise SettingsError naming every problem."""
    return parse_settings(read_settings(path), source=str(path))


def parse_settings(text: str, source: str = "<settings>") -> Deployment:
    """Parse and check settings text; raise SettingsError naming every problem."""
    result = check_settings(text)
    if result.is_error():
        raise SettingsError(
            f"settings {source} refused, nothing applied:\n  " + "\n  ".join(result.error),
            "correct each field named above and apply the whole file again.",
        )
    return result.ok


def check_settings(text: str) -> Result[Deployment, list[str]]:
    """Return the checked deployment, or every problem found as lines naming field and remedy."""
    try:
        raw = json5.loads(text)
    except ValueError as exc:
        return Error([f"file: not valid JSON with comments ({exc}). Remedy: fix the syntax."])
    return check_raw(raw)


def check_raw(raw) -> Result[Deployment, list[str]]:
    """Check settings already parsed into plain JSON values (as the object API holds them).

    Daemons call this on every configuration they are offered; parsing with json5 again would
    cost them about a thousand times more CPU than the checks (35.6 s against 34 ms for a file
    of 44,000 client accounts, benchmarks in docs/CAPACITY.md).
    """
    if not isinstance(raw, dict):
        return Error(["file: the top level is not an object. Remedy: wrap settings in { }."])
    problems = _Problems()
    deployment = _build(raw, problems)
    return Error(problems.lines) if problems.lines else Ok(deployment)


def _build(raw: dict, problems: _Problems) -> Deployment:
    name = _text(raw, "deployment", problems)
    data_centres = tuple(_names(raw, "data_centres", problems))
    classes = [_priority_class(i, item, problems) for i, item in _items(raw, "priority_classes")]
    services = [_service(i, item, problems) for i, item in _items(raw, "services")]
    accounts = [_account(i, item, problems) for i, item in _items(raw, "client_accounts")]
    endpoints = [_endpoint(i, item, problems) for i, item in _items(raw, "endpoints")]
    for field, parts in (
        ("priority_classes", classes),
        ("services", services),
        ("client_accounts", accounts),
        ("endpoints", endpoints),
    ):
        _require_unique(field, [part.name for part in parts], problems)
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


def _items(raw: dict, field: str) -> list[tuple[int, dict]]:
    value = raw.get(field, [])
    return list(enumerate(value)) if isinstance(value, list) else []


def _text(raw: dict, field: str, problems: _Problems, where: str = "") -> str:
    value = raw.get(field)
    if not isinstance(value, str) or not value.strip():
        problems.add(where + field, "is missing or not a non-empty string.", f"set {field}.")
        return ""
    return value


def _number(raw: dict, field: str, problems: _Problems, where: str, default=None) -> float:
    value = raw.get(field, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or value <= 0:
        problems.add(where + field, f"is {value!r}, not a positive number.", f"set {field} > 0.")
        return 1
    return value


def _names(raw: dict, field: str, problems: _Problems) -> list[str]:
    value = raw.get(field)
    if not isinstance(value, list) or not value or not all(isinstance(v, str) for v in value):
        problems.add(field, "is missing or not a list of names.", f"list the {field} by name.")
        return []
    _require_unique(field, value, problems)
    return value


def _require_unique(field: str, names: list[str], problems: _Problems) -> None:
    for name, count in Counter(names).items():
        if count > 1 and name:
            problems.add(field, f"names {name!r} {count} times.", "give each entry its own name.")


def _priority_class(index: int, item: dict, problems: _Problems) -> PriorityClass:
    where = f"priority_classes[{index}]."
    priority = item.get("priority")
    if isinstance(priority, bool) or not isinstance(priority, int) or priority < 0:
        problems.add(where + "priority", f"is {priority!r}.", "set a whole number >= 0.")
        priority = 0
    return PriorityClass(_text(item, "name", problems, where), priority)


def _service(index: int, item: dict, problems: _Problems) -> Service:
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
    return Service(_text(item, "name", problems, where), kind, tuple(models), repeatable)


def _account(index: int, item: dict, problems: _Problems) -> ClientAccount:
    where = f"client_accounts[{index}]."
    weight = _number(item, "weight", problems, where, default=1)
    return ClientAccount(_text(item, "name", problems, where), int(weight))


def _endpoint(index: int, item: dict, problems: _Problems) -> Endpoint:
    where = f"endpoints[{index}]."
    return Endpoint(
        _text(item, "name", problems, where),
        _text(item, "service", problems, where),
        _text(item, "data_centre", problems, where),
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


def _limits(raw: dict, problems: _Problems) -> Limits:
    merged = {**DEFAULT_LIMITS, **raw} if isinstance(raw, dict) else DEFAULT_LIMITS
    for field in set(merged) - set(DEFAULT_LIMITS):
        problems.add(
            f"limits.{field}", "is not a known limit.", f"use {', '.join(DEFAULT_LIMITS)}."
        )
    return Limits(
        queue_per_account=int(_number(merged, "queue_per_account", problems, "limits.")),
        in_flight_per_endpoint=int(_number(merged, "in_flight_per_endpoint", problems, "limits.")),
        retry_after=float(_number(merged, "retry_after", problems, "limits.")),
        max_wait=float(_number(merged, "max_wait", problems, "limits.")),
    )
