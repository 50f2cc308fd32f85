"""Splits a server-sent event stream (text/event-stream) into unmodified events."""

import re

__all__ = ["EventSplitter", "StreamEvent"]

MAX_EVENT_BYTES = 1 << 20
SEPARATORS = (b"\n\n", b"\r\n\r\n")
MAX_SEPARATOR_BYTES = max(map(len, SEPARATORS))
END_OF_EVENT = re.compile(b"|".join(SEPARATORS))
ID_LINE = re.compile(rb"(?:^|(?<=\r))[^\S\r\n]*id:([^\r\n]*)", re.MULTILINE)


class StreamEvent:
    """One event as received, or several in a row without an id, such as comments.

    ``id`` is None if it has none.
    """

    __slots__ = ("id", "data")

    def __init__(self, id: int | None, data: bytes):
        self.id = id
        self.data = data


class EventSplitter:
    """Buffers bytes until an event is complete.

    A stream can only resume at an event boundary, so a partial event is never forwarded. Each byte
    is searched a bounded number of times, and events without an id are not told apart: an endpoint
    may send any number of tiny ones.
    """

    def __init__(self):
        self._buffer = bytearray()
        # How much of the buffer contains no end of an event.
        self._searched = 0

    @property
    def remainder(self) -> bytes:
        """The bytes of the last event, which is incomplete."""
        return bytes(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that ``data`` completes; raise ValueError if one is too large."""
        self._buffer += data
        complete = self._complete_bytes()
        events = list(_split(bytes(self._buffer[:complete]))) if complete else []
        del self._buffer[:complete]
        self._searched = max(0, len(self._buffer) - MAX_SEPARATOR_BYTES + 1)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError(f"event is larger than {MAX_EVENT_BYTES} bytes")
        return events

    def _complete_bytes(self) -> int:
        """The size of the complete events in the buffer."""
        return _last_end(self._buffer, self._searched, len(self._buffer)) or 0


def _split(data: bytes):
    """Yield the events of ``data``, which are complete."""
    start = 0
    # A plain search is far faster than that of a line.
    line = ID_LINE.search(data) if b"id:" in data else None
    while line is not None:
        event_start = _last_end(data, start, line.start()) or start
        if event_start > start:
            yield StreamEvent(None, data[start:event_start])
        start = END_OF_EVENT.search(data, line.start()).end()
        yield StreamEvent(_parse_id(line), data[event_start:start])
        line = ID_LINE.search(data, start)
    if start < len(data):
        yield StreamEvent(None, data[start:])


def _last_end(data: bytes | bytearray, start: int, end: int) -> int | None:
    """Where the last event that ends within ``data[start:end]`` does; None if none does."""
    found = ((data.rfind(separator, start, end), len(separator)) for separator in SEPARATORS)
    return max((at + size for at, size in found if at >= 0), default=None)


def _parse_id(line: re.Match) -> int | None:
    value = line[1].strip()
    return int(value) if value.isdigit() else None
