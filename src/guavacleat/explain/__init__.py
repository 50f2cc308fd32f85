"""What happened to one request, and why, from the logs of many processes."""

from guavacleat.explain.causes import find_cause
from guavacleat.explain.lines import LogLine, read_lines
from guavacleat.explain.story import Story, tell

__all__ = ["LogLine", "Story", "find_cause", "read_lines", "tell"]
