"""Admission by expected memory: peaks, concurrent starts, length estimates, headroom."""

import pytest
from twisted.internet import defer

from guavacleat.lengths import LengthEstimator
from guavacleat.protocol.gen.sidecar.ttypes import NotRun, StartRequest
from guavacleat.sidecar.handler import SidecarHandler
from guavacleat.sidecar.occupancy import EngineOccupancy, RunningStream
from tests.conftest import result_of

KIND = ("svc", 5)


def make_occupancy(capacity, slots=8, lengths=(100,) * 20):
    occupancy = EngineOccupancy(headroom=0.0)
    occupancy.set_limits(capacity, slots)
    for length in lengths:
        occupancy.lengths.record_finished(KIND, length)
    return occupancy


PEAKS = [
    # ([(prompt tokens, emitted tokens)], expected peak, decode steps until the peak)
    ([], 0, 0),
    ([(50, 0)], 150, 100),
    ([(50, 0), (50, 0)], 300, 100),
    # The first ends after 10 steps at 150 tokens beside 60; the second then ends alone at 150.
    ([(50, 90), (50, 0)], 210, 10),
    ([(500, 90), (50, 0)], 660, 10),
]


@pytest.mark.parametrize("streams,peak,steps", PEAKS)
def test_peak_is_the_largest_sum_at_any_stream_end(streams, peak, steps):
    occupancy = make_occupancy(10_000)
    for number, (prompt, emitted) in enumerate(streams):
        occupancy.add(str(number), RunningStream(KIND, prompt, 1000, emitted))
    report = occupancy.report()
    assert (report.peak, report.peak_in) == (peak, steps)


def test_start_exceeding_expected_memory_is_refused():
    """Guards against admitting streams whose expected outputs would exceed the engine's memory."""
    occupancy = make_occupancy(400)
    for number in range(2):
        stream = RunningStream(KIND, 50, 1000)
        assert occupancy.fits(stream)
        occupancy.add(str(number), stream)
    assert not occupancy.fits(RunningStream(KIND, 50, 1000))


def test_idle_engine_admits_any_stream():
    assert make_occupancy(100).fits(RunningStream(KIND, 500, 1000))


def test_concurrent_starts_do_not_exceed_memory(clock, store):
    """Guards against admitting a second start while the engine has not replied to the first."""

    class SlowEngine:
        def __init__(self):
            # Unreferenced Deferreds would be garbage-collected, which ends their pending starts.
            self.answers = []

        def generate(self, *args, **kwargs):
            self.answers.append(defer.Deferred())
            return self.answers[-1]

    handler = SidecarHandler("e1", SlowEngine(), store, clock)
    handler.occupancy = make_occupancy(400)
    request = StartRequest("r1", "svc", "acc", 5, "w " * 150, 1000, [])
    handler.start(request)
    with pytest.raises(NotRun) as caught:
        result_of(handler.start(StartRequest("r2", "svc", "acc", 5, "w " * 150, 1000, [])))
    assert caught.value.full


def test_expected_remaining_length_depends_on_emitted_tokens():
    """Once past the short outputs, the estimate is taken from the long ones only."""
    lengths = LengthEstimator()
    for length in [10] * 30 + [1000] * 20:
        lengths.record_finished(KIND, length)
    assert lengths.remaining(KIND, 0, 5000) == 10
    assert lengths.remaining(KIND, 20, 5000) == 980
    assert lengths.remaining(KIND, 2000, 5000) == 2000
    assert lengths.remaining(KIND, 4500, 5000) == 500


def test_urgent_request_may_use_the_headroom():
    """Guards against urgent requests that wait for memory reserved as headroom."""
    occupancy = EngineOccupancy(headroom=0.2)
    occupancy.set_limits(1000, 8)
    for length in (100,) * 20:
        occupancy.lengths.record_finished(KIND, length)
    occupancy.add("1", RunningStream(KIND, 600, 100))
    assert not occupancy.fits(RunningStream(KIND, 100, 100))
    assert occupancy.fits(RunningStream(("svc", 0), 100, 100))
    assert occupancy.report().kept_free == 200
