"""What runs on an endpoint's engine, and whether one more generation fits.

Engines admit whatever fits their memory now; when the outputs then grow past it in mid-decode,
the engine preempts a generation, and its caller hears silence until it is read in again. The
sidecar sees every gateway's streams of its engine, so it is the one place that can keep room for
their growth without the gateways agreeing on anything: it refuses a start (not run, full) when
the expected peak of memory would pass the capacity less a headroom. Waiting then happens in the
gateways' queues, where it is shared fairly, and not in the engine's.
"""

import itertools

from guavacleat.config.model import URGENT_PRIORITY
from guavacleat.lengths import LengthEstimator
from guavacleat.protocol.gen.sidecar.ttypes import Occupancy

__all__ = ["EngineOccupancy", "HEADROOM", "RunningStream"]

# Share of the engine's memory kept free for outputs longer than expected, unless set otherwise
# (docs/operators/tuning.md has the figures for other values).
HEADROOM = 0.03


class RunningStream:
    """One stream's memory: ``held`` tokens now and ``kind`` to estimate its growth."""

    __slots__ = ("kind", "prompt_tokens", "emitted", "max_tokens", "reading")

    def __init__(self, kind: tuple, prompt_tokens: int, max_tokens: int, emitted: int = 0):
        self.kind = kind
        self.prompt_tokens = prompt_tokens
        self.max_tokens = max_tokens
        self.emitted = emitted
        self.reading = True

    @property
    def held(self) -> int:
        return self.prompt_tokens + self.emitted


class EngineOccupancy:
    """The streams on one engine by id; ``capacity`` 0 means not yet known (then all fits).

    The headroom is kept free from all but the most urgent requests: those are short-lived, and
    otherwise wait for a summary to end whenever the engine is as full as it may be.
    """

    def __init__(self, headroom: float = HEADROOM):
        self.headroom = headroom
        self.lengths = LengthEstimator()
        self.streams_by_id: dict[str, RunningStream] = {}
        self.capacity = 0
        self.slots = 0
        self._peak: tuple[int, int] | None = (0, 0)

    def set_limits(self, capacity: int, slots: int) -> None:
        """Take in the engine's sizes from its load report."""
        self.capacity = capacity
        self.slots = slots

    def fits(self, stream: RunningStream) -> bool:
        """Whether ``stream`` may start now; an idle engine takes any stream."""
        if not self.capacity or not self.streams_by_id:
            return True
        if len(self.streams_by_id) >= self.slots:
            return False
        peak, _ = self._peak_of([*self.streams_by_id.values(), stream])
        return peak <= self.capacity - self._kept_free(stream)

    def _kept_free(self, stream: RunningStream) -> int:
        _, priority = stream.kind
        return 0 if priority == URGENT_PRIORITY else int(self.capacity * self.headroom)

    def add(self, stream_id: str, stream: RunningStream) -> None:
        self.streams_by_id[stream_id] = stream
        self._peak = None

    def record_emitted(self, stream_id: str, total: int) -> None:
        """Note that a stream has emitted ``total`` tokens so far."""
        stream = self.streams_by_id.get(stream_id)
        if stream is not None and total > stream.emitted:
            stream.emitted = total
            stream.reading = False
            self._peak = None

    def remove(self, stream_id: str, finished: bool = False) -> None:
        """The stream ended; learn its length if it ran to its end."""
        stream = self.streams_by_id.pop(stream_id, None)
        if stream is None:
            return
        self._peak = None
        if finished:
            self.lengths.record_finished(stream.kind, stream.emitted)

    def report(self) -> Occupancy:
        if self._peak is None:
            self._peak = self._peak_of(self.streams_by_id.values())
        return Occupancy(
            open_streams=len(self.streams_by_id),
            slots=self.slots,
            held=sum(stream.held for stream in self.streams_by_id.values()),
            peak=self._peak[0],
            capacity=self.capacity,
            peak_in=self._peak[1],
            kept_free=int(self.capacity * self.headroom),
            to_read=sum(s.held for s in self.streams_by_id.values() if s.reading),
        )

    def _peak_of(self, streams) -> tuple[int, int]:
        """The most memory the streams are expected to hold together, and in how many steps.

        All streams grow a token a step. When the stream with the least left ends, the others
        have each grown by that much; memory is highest at one of those ends.
        """
        ends = sorted(
            (self.lengths.remaining(s.kind, s.emitted, s.max_tokens), s.held) for s in streams
        )
        held_from = list(itertools.accumulate((held for _, held in reversed(ends)), initial=0))
        running = range(len(ends), 0, -1)
        return max(
            (
                (held_from[count] + count * remaining, remaining)
                for count, (remaining, _) in zip(running, ends, strict=True)
            ),
            default=(0, 0),
        )
