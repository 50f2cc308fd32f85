"""Reconstructs one request's timeline, and the cause of its outcome, from many processes' logs."""

from guavacleat.explain.causes import classify, find_cause
from guavacleat.explain.kinds import Cause, CauseKind
from guavacleat.explain.lines import LogLine, read_lines
from guavacleat.explain.queueing import QueueStay
from guavacleat.explain.timeline import LogIndex, RequestTimeline, build_timeline

__all__ = [
    "Cause",
    "CauseKind",
    "LogIndex",
    "LogLine",
    "QueueStay",
    "RequestTimeline",
    "classify",
    "find_cause",
    "read_lines",
    "build_timeline",
]
