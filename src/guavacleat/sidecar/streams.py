"""The streams open on one endpoint: what a drain waits for, and what has been left unread."""

from typing import Protocol

from automat import TypeMachineBuilder
from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime

__all__ = ["OpenStreams", "IDLE_SECONDS"]

# How long a stream may go unread before it is taken for abandoned. It bounds what a dead
# gateway or a caller who hung up costs the engine, and how late a caller may reconnect.
IDLE_SECONDS = 10.0


class Drain(Protocol):
    """Inputs of a drain: serving, then draining, then drained for good."""

    def drain(self) -> None:
        """Finish what is open."""

    def settled(self) -> None:
        """No stream is open and no start is under way."""


class DrainCore:
    """What a drain acts on: the Deferred that fires when it is over."""

    def __init__(self):
        self.drained = defer.Deferred()


def _build_drain():
    builder = TypeMachineBuilder(Drain, DrainCore)
    serving = builder.state("serving")
    draining = builder.state("draining")
    drained = builder.state("drained")
    serving.upon(Drain.settled).loop().returns(None)
    serving.upon(Drain.drain).to(draining).returns(None)
    draining.upon(Drain.drain).loop().returns(None)

    @draining.upon(Drain.settled).to(drained)
    def finish(drain: Drain, core: DrainCore) -> None:
        core.drained.callback(None)

    drained.upon(Drain.drain).loop().returns(None)
    drained.upon(Drain.settled).loop().returns(None)
    return builder.build()


new_drain = _build_drain()


class OpenStreams:
    """Open streams by id with the time each was last read, and starts still under way."""

    def __init__(self, clock: IReactorTime):
        self.clock = clock
        self.read_at_by_id: dict[str, float] = {}
        self.starting = 0
        core = DrainCore()
        self.drained = core.drained
        self.state = new_drain(core)

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
        self._check_settled()

    def touch(self, stream_id: str) -> None:
        """Note that a stream is being read (also one opened before this sidecar started)."""
        self.read_at_by_id[stream_id] = self.clock.seconds()

    def close(self, stream_id: str) -> None:
        self.read_at_by_id.pop(stream_id, None)
        self._check_settled()

    def idle(self) -> list[str]:
        """Streams nobody has read for ``IDLE_SECONDS``."""
        oldest = self.clock.seconds() - IDLE_SECONDS
        return [stream_id for stream_id, at in self.read_at_by_id.items() if at < oldest]

    def drain(self) -> defer.Deferred:
        """Fire once no stream is open and no start is under way."""
        self.state.drain()
        self._check_settled()
        return self.drained

    def _check_settled(self) -> None:
        if not self.starting and not self.read_at_by_id:
            self.state.settled()
