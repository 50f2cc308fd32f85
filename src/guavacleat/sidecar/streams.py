"""The streams open on one endpoint: what a drain waits for, and what has been left unread."""

from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime

__all__ = ["OpenStreams", "IDLE_SECONDS"]

# How long a stream may go unread before it is taken for abandoned. It bounds what a dead
# gateway or a caller who hung up costs the engine, and how late a caller may reconnect.
IDLE_SECONDS = 10.0


class OpenStreams:
    """Open streams by id with the time each was last read, and starts still under way."""

    def __init__(self, clock: IReactorTime):
        self.clock = clock
        self.read_at_by_id: dict[str, float] = {}
        self.starting = 0
        self.draining = False
        self.drained = defer.Deferred()

    def __len__(self) -> int:
        return len(self.read_at_by_id)

    def begin_start(self) -> None:
        """Count a start sent to the engine; a drain must wait for its outcome too."""
        self.starting += 1

    def end_start(self, stream_id: str | None) -> None:
        """The start ended, with a stream or (None) without one."""
        self.starting -= 1
        if stream_id is not None:
            self.read_at_by_id[stream_id] = self.clock.seconds()
        self._fire_if_drained()

    def touch(self, stream_id: str) -> None:
        """Note that a stream is being read (also one opened before this sidecar started)."""
        self.read_at_by_id[stream_id] = self.clock.seconds()

    def close(self, stream_id: str) -> None:
        self.read_at_by_id.pop(stream_id, None)
        self._fire_if_drained()

    def idle(self) -> list[str]:
        """Streams nobody has read for ``IDLE_SECONDS``."""
        oldest = self.clock.seconds() - IDLE_SECONDS
        return [stream_id for stream_id, at in self.read_at_by_id.items() if at < oldest]

    def drain(self) -> defer.Deferred:
        """Fire once no stream is open and no start is under way."""
        self.draining = True
        self._fire_if_drained()
        return self.drained

    def _fire_if_drained(self) -> None:
        if self.draining and not self.starting and not self.read_at_by_id:
            self.draining = False
            self.drained.callback(None)
