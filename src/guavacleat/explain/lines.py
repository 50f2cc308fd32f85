"""Reading logs: one JSON object per line, optionally prefixed with a time and an instance."""

import json
import sys
from pathlib import Path

__all__ = ["LogLine", "UnreadableLogError", "read_files", "read_lines"]

# Fields that every line has.
COMMON_FIELDS = {"timestamp", "task_uuid", "task_level", "message_type"}


class LogLine:
    """One line of one process's log.

    :param at: seconds; from the prefix if there is one, else the line's timestamp.
    :param instance: the instance that wrote it: from the prefix, else the file's name.
    :param type: the line's ``message_type``.
    """

    __slots__ = ("at", "instance", "type", "fields")

    def __init__(self, at: float, instance: str, type: str, fields: dict):
        self.at = at
        self.instance = instance
        self.type = type
        self.fields = fields

    def get(self, name: str):
        """A field's value, or None."""
        return self.fields.get(name)

    def __str__(self) -> str:
        pairs = (f"{name}={value}" for name, value in self.fields.items() if value is not None)
        return " ".join([self.type, *pairs])


class UnreadableLogError(Exception):
    """A log file cannot be read."""


def read_files(names: list[str]) -> list[LogLine]:
    """Read the log lines of all files, or of standard input if none is given."""
    if not names:
        return read_lines(sys.stdin, "stdin")
    return [line for name in names for line in _read_file(name)]


def _read_file(name: str) -> list[LogLine]:
    try:
        with open(name, encoding="utf-8", errors="replace") as file:
            return read_lines(file, Path(name).stem)
    except OSError as exc:
        raise UnreadableLogError(f"cannot read {name}: {exc}.") from exc


def read_lines(source, instance: str) -> list[LogLine]:
    """Read a file's log lines; other lines are skipped."""
    parsed = (_parse(text, instance) for text in source)
    return [line for line in parsed if line is not None]


def _parse(text: str, instance: str) -> LogLine | None:
    prefix, brace, rest = text.partition("{")
    if not brace:
        return None
    try:
        body = json.loads(brace + rest)
    except ValueError:
        return None
    if "message_type" not in body:
        return None
    at, instance = _parse_prefix(prefix.split(), body, instance)
    fields = {name: value for name, value in body.items() if name not in COMMON_FIELDS}
    return LogLine(at, instance, body["message_type"], fields)


def _parse_prefix(words: list[str], body: dict, instance: str) -> tuple[float, str]:
    """The line's time and instance; the prefix takes precedence over the object's fields."""
    try:
        at = float(words[0])
    except (IndexError, ValueError):
        return float(body.get("timestamp", 0.0)), instance
    return at, words[1] if len(words) > 1 else instance
