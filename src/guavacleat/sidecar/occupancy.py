"""Admission control by the expected memory use of an endpoint's engine.

Engines admit any generation whose prompt fits into memory. If the outputs later outgrow the
memory, the engine preempts a generation, which stalls until it has been prefilled again. The
sidecar sees the streams of all gateways on its engine, so it can reserve memory for their growth
without coordination between gateways: it refuses a start (``NotRun`` with ``full``) if the
expected peak would exceed the capacity less a headroom. Requests then wait in the fair queues of
the gateways rather than in the engine's.
"""

import itertools

from guavacleat.config.model import URGENT_PRIORITY
from guavacleat.lengths import LengthEstimator
from guavacleat.protocol.gen.sidecar.ttypes import Occupancy

__all__ = ["EngineOccupancy", "HEADROOM", "RunningStream"]

# Default fraction of the engine's memory kept free for outputs longer than expected; see
# docs/operators/tuning.md.
HEADROOM = 0.03


class RunningStream:
    """Memory use of one stream, in tokens.

    :param kind: key of the length estimate, ``(service, priority)``.
    :param emitted: tokens generated so far.

    ``prefilling`` is true until the stream emits its first token here.
    """

    __slots__ = ("kind", "prompt_tokens", "emitted", "max_tokens", "prefilling")

    def __init__(self, kind: tuple, prompt_tokens: int, max_tokens: int, emitted: int = 0):
        self.kind = kind
        self.prompt_tokens = prompt_tokens
        self.max_tokens = max_tokens
        self.emitted = emitted
        self.prefilling = True

    @property
    def held_tokens(self) -> int:
        return self.prompt_tokens + self.emitted


class EngineOccupancy:
    """Streams on one engine and their expected memory use.

    While ``capacity`` is 0 (unknown), every stream is admitted. Requests of the most urgent
    priority may use the headroom: they are short, and would otherwise wait behind long ones.

    :param headroom: fraction of the capacity kept free for outputs longer than expected.
    """

    def __init__(self, headroom: float = HEADROOM):
        self.headroom = headroom
        self.lengths = LengthEstimator()
        self.streams_by_id: dict[str, RunningStream] = {}
        self.capacity = 0
        self.slots = 0
        self._cached_peak: tuple[int, int] | None = (0, 0)

    def set_limits(self, capacity: int, slots: int) -> None:
        """Set the engine's memory in tokens and its maximum number of concurrent streams."""
        self.capacity = capacity
        self.slots = slots

    def fits(self, stream: RunningStream) -> bool:
        """Whether ``stream`` may start now; an idle engine admits any stream."""
        if not self.capacity or not self.streams_by_id:
            return True
        if len(self.streams_by_id) >= self.slots:
            return False
        peak, _ = self._expected_peak([*self.streams_by_id.values(), stream])
        return peak <= self.capacity - self._reserved_tokens(stream)

    def _reserved_tokens(self, stream: RunningStream) -> int:
        _, priority = stream.kind
        return 0 if priority == URGENT_PRIORITY else int(self.capacity * self.headroom)

    def add(self, stream_id: str, stream: RunningStream) -> None:
        self.streams_by_id[stream_id] = stream
        self._cached_peak = None

    def record_emitted(self, stream_id: str, total: int) -> None:
        """Set the number of tokens that a stream has emitted to ``total``, if that is more."""
        stream = self.streams_by_id.get(stream_id)
        if stream is not None and total > stream.emitted:
            stream.emitted = total
            stream.prefilling = False
            self._cached_peak = None

    def remove(self, stream_id: str, finished: bool = False) -> None:
        """Remove a closed stream; record its length if it finished."""
        stream = self.streams_by_id.pop(stream_id, None)
        if stream is None:
            return
        self._cached_peak = None
        if finished:
            self.lengths.record_finished(stream.kind, stream.emitted)

    def report(self) -> Occupancy:
        if self._cached_peak is None:
            self._cached_peak = self._expected_peak(self.streams_by_id.values())
        return Occupancy(
            open_streams=len(self.streams_by_id),
            slots=self.slots,
            held=sum(stream.held_tokens for stream in self.streams_by_id.values()),
            peak=self._cached_peak[0],
            capacity=self.capacity,
            peak_in=self._cached_peak[1],
            kept_free=int(self.capacity * self.headroom),
            to_read=sum(s.held_tokens for s in self.streams_by_id.values() if s.prefilling),
        )

    def _expected_peak(self, streams) -> tuple[int, int]:
        """Expected peak of the streams' total memory in tokens, and the decode steps until then.

        Each running stream grows by one token per step and frees its memory when it ends, so the
        peak is at the end of one of the streams.
        """
        ends = sorted(
            (self.lengths.remaining(s.kind, s.emitted, s.max_tokens), s.held_tokens)
            for s in streams
        )
        # Tokens held now by the ``count`` streams that end last.
        held_by_count = list(itertools.accumulate((held for _, held in reversed(ends)), initial=0))
        running = range(len(ends), 0, -1)
        return max(
            (
                (held_by_count[count] + count * remaining, remaining)
                for count, (remaining, _) in zip(running, ends, strict=True)
            ),
            default=(0, 0),
        )
