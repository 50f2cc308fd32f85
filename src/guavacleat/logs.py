"""Structured log lines on a descriptor that may stop taking them.

Lines are eliot's JSON messages. A reader that stalls must not stall the process: what does not fit
the pipe at once is dropped and counted, and so is what exceeds the volume per second. A line that
says how many were left out follows as soon as there is room.
"""

import fcntl
import json
import os

from eliot import add_destinations
from eliot.json import json_default

__all__ = ["BoundedLog", "log_to_descriptor"]

# Lines a second: a gateway writes two a request, and is asked some 60 times a second at most in
# one core's share.
LINES_PER_SECOND = 400
# Lines that say that something went wrong may use this many more.
FAILURE_RESERVE = 200
ROUTINE = ("request:end", "move:done")


class BoundedLog:
    """An eliot destination that writes JSON lines to ``descriptor`` and never blocks."""

    def __init__(self, descriptor: int, seconds, lines_per_second: int = LINES_PER_SECOND):
        self.descriptor = descriptor
        self.seconds = seconds
        self.lines_per_second = lines_per_second
        self.second = -1
        self.written = 0
        self.left_out = 0
        self.partial = b""
        flags = fcntl.fcntl(descriptor, fcntl.F_GETFL)
        fcntl.fcntl(descriptor, fcntl.F_SETFL, flags | os.O_NONBLOCK)

    def __call__(self, message: dict) -> None:
        now = int(self.seconds())
        if now != self.second:
            self.second, self.written = now, 0
        if self.written >= self._bound(message) or not self._flush_partial():
            self.left_out += 1
            return
        if self.left_out:
            left_out, self.left_out = self.left_out, 0
            self._write({"message_type": "log:left-out", "lines": left_out})
        self._write(message)

    def _bound(self, message: dict) -> int:
        if message.get("message_type") in ROUTINE and message.get("outcome") in (
            "ANSWERED",
            "moved",
        ):
            return self.lines_per_second
        return self.lines_per_second + FAILURE_RESERVE

    def _flush_partial(self) -> bool:
        """Write the rest of a line that was cut short; return whether it is out."""
        if self.partial:
            self._send(b"")
        return not self.partial

    def _write(self, message: dict) -> None:
        self.written += 1
        self._send(json.dumps(message, default=json_default).encode() + b"\n")

    def _send(self, line: bytes) -> None:
        data = self.partial + line
        try:
            sent = os.write(self.descriptor, data)
        except BlockingIOError:
            sent = 0
            if not self.partial:
                self.left_out += 1
                return
        except OSError:
            # The reader is gone for good; there is nobody to tell.
            self.partial = b""
            return
        self.partial = data[sent:]


def log_to_descriptor(descriptor: int, seconds) -> BoundedLog:
    """Send every eliot message to ``descriptor``; ``seconds()`` is the process's clock."""
    log = BoundedLog(descriptor, seconds)
    add_destinations(log)
    return log
