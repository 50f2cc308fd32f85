"""History checks for concurrent runs: what callers received against what the promises allow."""

from guavacleat.checks.history import (
    CallAttempt,
    Violation,
    check_calls,
    check_stream,
    check_versions,
)

__all__ = ["CallAttempt", "Violation", "check_calls", "check_stream", "check_versions"]
