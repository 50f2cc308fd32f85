"""History checks for concurrent runs: what callers received against what the promises allow."""

from guavacleat.checks.history import Violation, check_stream, check_versions

__all__ = ["Violation", "check_stream", "check_versions"]
