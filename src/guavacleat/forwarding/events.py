"""Splits a server-sent event stream (text/event-stream) into unmodified events."""

__all__ = ["EventSplitter", "StreamEvent"]

MAX_EVENT_BYTES = 1 << 20
SEPARATORS = (b"\n\n", b"\r\n\r\n")


class StreamEvent:
    """One event as received; ``id`` is None if it has none, such as a comment."""

    __slots__ = ("id", "data")

    def __init__(self, id: int | None, data: bytes):
        self.id = id
        self.data = data


class EventSplitter:
    """Buffers bytes until an event is complete.

    A stream can only resume at an event boundary, so a partial event is never forwarded.
    """

    def __init__(self):
        self.remainder = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that ``data`` completes; raise ValueError if one is too large."""
        self.remainder += data
        events = []
        end = _end_of_event(self.remainder)
        while end:
            events.append(StreamEvent(_event_id(self.remainder[:end]), self.remainder[:end]))
            self.remainder = self.remainder[end:]
            end = _end_of_event(self.remainder)
        if len(self.remainder) > MAX_EVENT_BYTES:
            raise ValueError(f"event is larger than {MAX_EVENT_BYTES} bytes")
        return events


def _end_of_event(data: bytes) -> int:
    """Return the end offset of the first event; 0 if none is complete."""
    ends = [data.find(separator) + len(separator) for separator in SEPARATORS if separator in data]
    return min(ends, default=0)


def _event_id(data: bytes) -> int | None:
    lines = (line.strip() for line in data.splitlines())
    ids = (line[3:].strip() for line in lines if line.startswith(b"id:"))
    id = next(ids, b"")
    return int(id) if id.isdigit() else None
