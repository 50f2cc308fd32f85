"""Validation helpers for settings files; every problem is reported with its remedy."""

from collections import Counter
from pathlib import Path

import json5

from guavacleat.errors import SettingsError

__all__ = [
    "Problems",
    "indexed_items",
    "parse_json5",
    "positive_number",
    "read_settings",
    "require_unique",
    "text_field",
    "text_list",
]


class Problems:
    """Collects the problems found in a file, so that all are reported at once."""

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
            "give the path of a readable JSON5 settings file.",
        ) from exc


def parse_json5(text: str, problems: "Problems"):
    """Parse JSON5; on a syntax error, add a problem and return None."""
    try:
        return json5.loads(text)
    except ValueError as exc:
        problems.add("file", f"not valid JSON5 ({exc}).", "fix the syntax.")
        return None


def indexed_items(raw: dict, field: str) -> list[tuple[int, dict]]:
    """Return the field's list as (index, item) pairs; empty if it is not a list."""
    value = raw.get(field, [])
    return list(enumerate(value)) if isinstance(value, list) else []


def text_field(raw: dict, field: str, problems: Problems, where: str = "") -> str:
    value = raw.get(field)
    if not isinstance(value, str) or not value.strip():
        problems.add(where + field, "is missing or not a non-empty string.", f"set {field}.")
        return ""
    return value


def positive_number(raw: dict, field: str, problems: Problems, where: str, default=None) -> float:
    """Return the field's value; if it is invalid, add a problem and return 1 as a placeholder."""
    value = raw.get(field, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or value <= 0:
        problems.add(where + field, f"is {value!r}, not a positive number.", f"set {field} > 0.")
        return 1
    return value


def text_list(raw: dict, field: str, problems: Problems) -> list[str]:
    value = raw.get(field)
    if not isinstance(value, list) or not value or not all(isinstance(v, str) for v in value):
        problems.add(field, "is missing or not a list of names.", f"list the {field} by name.")
        return []
    require_unique(field, value, problems)
    return value


def require_unique(field: str, names: list[str], problems: Problems) -> None:
    for name, count in Counter(names).items():
        if count > 1 and name:
            problems.add(field, f"names {name!r} {count} times.", "give each entry its own name.")
