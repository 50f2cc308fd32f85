"""Checks that the recorded histories of concurrent runs satisfy the system's guarantees."""

from guavacleat.checks.history import (
    CallAttempt,
    Violation,
    check_calls,
    check_stream,
    check_versions,
)

__all__ = ["CallAttempt", "Violation", "check_calls", "check_stream", "check_versions"]
