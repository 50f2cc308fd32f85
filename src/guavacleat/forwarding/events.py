"""Splitting a stream's bytes into whole events (text/event-stream) without changing them."""

__all__ = ["EventSplitter", "StreamEvent"]

MAX_EVENT_BYTES = 1 << 20
SEPARATORS = (b"\n\n", b"\r\n\r\n")


class StreamEvent:
    """One event as it came: ``id`` is None for an event without one (a comment, say)."""

    __slots__ = ("id", "data")

    def __init__(self, id: int | None, data: bytes):
        self.id = id
        self.data = data


class EventSplitter:
    """Collects bytes until an event is whole.

    An engine that crashes may cut its stream inside an event. A caller that got the first half
    could not go on elsewhere, so only whole events are passed on.
    """

    def __init__(self):
        self.rest = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that ``data`` completes; raise ValueError if one grows too large."""
        self.rest += data
        events = []
        end = _end_of_event(self.rest)
        while end:
            events.append(StreamEvent(_event_id(self.rest[:end]), self.rest[:end]))
            self.rest = self.rest[end:]
            end = _end_of_event(self.rest)
        if len(self.rest) > MAX_EVENT_BYTES:
            raise ValueError(f"an event of more than {MAX_EVENT_BYTES} bytes")
        return events


def _end_of_event(data: bytes) -> int:
    """Where the first event ends, 0 if none is whole."""
    ends = [data.find(separator) + len(separator) for separator in SEPARATORS if separator in data]
    return min(ends, default=0)


def _event_id(data: bytes) -> int | None:
    lines = (line.strip() for line in data.splitlines())
    ids = (line[3:].strip() for line in lines if line.startswith(b"id:"))
    id = next(ids, b"")
    return int(id) if id.isdigit() else None
