"""Non-blocking structured logging to a file descriptor.

Lines are eliot's JSON messages. A line that does not fit into the pipe or exceeds the rate limit is
dropped, so that a stalled reader cannot block the process. The number of dropped lines is logged
before the next line that is written.
"""

import fcntl
import json
import os

from eliot import add_destinations, log_message
from eliot.json import json_default
from twisted.logger import LogLevel, formatEvent, globalLogBeginner

__all__ = ["BoundedLog", "log_to_descriptor", "log_unhandled_errors"]

# A gateway writes two lines per request, and gets some 60 requests a second on one core.
LINES_PER_SECOND = 400
# Additional lines per second for messages other than routine successes.
FAILURE_LINES_PER_SECOND = 200
ROUTINE_MESSAGE_TYPES = ("request:end", "move:done")


class BoundedLog:
    """An eliot destination that writes JSON lines to ``descriptor`` and never blocks."""

    def __init__(self, descriptor: int, seconds, lines_per_second: int = LINES_PER_SECOND):
        self.descriptor = descriptor
        self.seconds = seconds
        self.lines_per_second = lines_per_second
        self.current_second = -1
        self.lines_this_second = 0
        self.dropped_lines = 0
        self.unsent = b""
        flags = fcntl.fcntl(descriptor, fcntl.F_GETFL)
        fcntl.fcntl(descriptor, fcntl.F_SETFL, flags | os.O_NONBLOCK)

    def __call__(self, message: dict) -> None:
        now = int(self.seconds())
        if now != self.current_second:
            self.current_second, self.lines_this_second = now, 0
        if self.lines_this_second >= self._rate_limit(message) or not self._flush_unsent():
            self.dropped_lines += 1
            return
        if self.dropped_lines:
            dropped_lines, self.dropped_lines = self.dropped_lines, 0
            self._write({"message_type": "log:left-out", "lines": dropped_lines})
        self._write(message)

    def _rate_limit(self, message: dict) -> int:
        if message.get("message_type") in ROUTINE_MESSAGE_TYPES and message.get("outcome") in (
            "ANSWERED",
            "moved",
        ):
            return self.lines_per_second
        return self.lines_per_second + FAILURE_LINES_PER_SECOND

    def _flush_unsent(self) -> bool:
        """Write the rest of a partially written line; return whether it is complete."""
        if self.unsent:
            self._send(b"")
        return not self.unsent

    def _write(self, message: dict) -> None:
        self.lines_this_second += 1
        self._send(json.dumps(message, default=json_default).encode() + b"\n")

    def _send(self, line: bytes) -> None:
        data = self.unsent + line
        try:
            sent = os.write(self.descriptor, data)
        except BlockingIOError:
            sent = 0
            if not self.unsent:
                self.dropped_lines += 1
                return
        except OSError:
            # The reader has closed the pipe.
            self.unsent = b""
            return
        self.unsent = data[sent:]


def log_to_descriptor(descriptor: int, seconds) -> BoundedLog:
    """Log all eliot messages to ``descriptor``; ``seconds()`` returns the clock time."""
    log = BoundedLog(descriptor, seconds)
    add_destinations(log)
    return log


def log_unhandled_errors() -> None:
    """Log the errors that reach the event loop, which Twisted would write to stderr as plain text.

    These are exceptions in timers and protocols, and Deferreds whose failure nothing handles.
    """
    globalLogBeginner.beginLoggingTo([log_error_event], redirectStandardIO=False)


def log_error_event(event: dict) -> None:
    """Observer of Twisted's log events; those below the level of an error are ignored."""
    if event.get("log_level", LogLevel.info) < LogLevel.error:
        return
    failure = event.get("log_failure")
    log_message(
        message_type="process:unhandled-error",
        text=formatEvent(event),
        error=None if failure is None else failure.getTraceback(),
    )
