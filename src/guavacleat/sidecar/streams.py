"""Open streams of one endpoint, with their idle timeout and the state machine of a drain."""

from typing import Protocol

from automat import TypeMachineBuilder
from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime

__all__ = ["OpenStreams", "IDLE_TIMEOUT_SECONDS"]

# A stream that is not read for this long is cancelled, which bounds what a lost gateway or a caller
# that left costs the engine; this also limits how late a caller may reconnect to it.
IDLE_TIMEOUT_SECONDS = 10.0


class Drain(Protocol):
    """Inputs of the state machine serving -> draining -> drained (final)."""

    def drain(self) -> None:
        """Start draining."""

    def quiesced(self) -> None:
        """No stream is open and no start is pending."""


class DrainCore:
    """Data of the state machine; ``drained`` fires when the drain is complete."""

    def __init__(self):
        self.drained = defer.Deferred()


def _build_drain():
    builder = TypeMachineBuilder(Drain, DrainCore)
    serving = builder.state("serving")
    draining = builder.state("draining")
    drained = builder.state("drained")
    serving.upon(Drain.quiesced).loop().returns(None)
    serving.upon(Drain.drain).to(draining).returns(None)
    draining.upon(Drain.drain).loop().returns(None)

    @draining.upon(Drain.quiesced).to(drained)
    def finish(drain: Drain, core: DrainCore) -> None:
        core.drained.callback(None)

    drained.upon(Drain.drain).loop().returns(None)
    drained.upon(Drain.quiesced).loop().returns(None)
    return builder.build()


new_drain = _build_drain()


class OpenStreams:
    """Open streams by id with the time of their last read, and the number of pending starts."""

    def __init__(self, clock: IReactorTime):
        self.clock = clock
        self.last_read_at_by_id: dict[str, float] = {}
        self.pending_starts = 0
        core = DrainCore()
        self.drained = core.drained
        self.state = new_drain(core)

    def __len__(self) -> int:
        return len(self.last_read_at_by_id)

    def begin_start(self) -> None:
        """Count a start sent to the engine; a drain waits for its outcome."""
        self.pending_starts += 1

    def end_start(self, stream_id: str | None) -> None:
        """End a pending start; ``stream_id`` is None if it opened no stream."""
        self.pending_starts -= 1
        if stream_id is not None:
            self.last_read_at_by_id[stream_id] = self.clock.seconds()
        self._check_quiesced()

    def touch(self, stream_id: str) -> None:
        """Record a read of a stream, also of one opened before this sidecar started."""
        self.last_read_at_by_id[stream_id] = self.clock.seconds()

    def close(self, stream_id: str) -> None:
        self.last_read_at_by_id.pop(stream_id, None)
        self._check_quiesced()

    def idle(self) -> list[str]:
        """Ids of the streams not read for ``IDLE_TIMEOUT_SECONDS``."""
        oldest = self.clock.seconds() - IDLE_TIMEOUT_SECONDS
        return [stream_id for stream_id, at in self.last_read_at_by_id.items() if at < oldest]

    def drain(self) -> defer.Deferred:
        """Start draining; fire once no stream is open and no start is pending."""
        self.state.drain()
        self._check_quiesced()
        return self.drained

    def _check_quiesced(self) -> None:
        if not self.pending_starts and not self.last_read_at_by_id:
            self.state.quiesced()
