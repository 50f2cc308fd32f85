"""What happened to one request, and why, from the logs of many processes."""

from guavacleat.explain.causes import Cause, CauseKind, classify, find_cause
from guavacleat.explain.lines import LogLine, read_lines
from guavacleat.explain.story import LogIndex, Story, tell

__all__ = [
    "Cause",
    "CauseKind",
    "LogIndex",
    "LogLine",
    "Story",
    "classify",
    "find_cause",
    "read_lines",
    "tell",
]
