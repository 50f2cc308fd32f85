"""Room kept for growth: expected peaks, starts that race, lengths learnt."""

import pytest
from twisted.internet import defer

from guavacleat.lengths import LengthEstimator
from guavacleat.protocol.gen.sidecar.ttypes import NotRun, StartRequest
from guavacleat.sidecar.handler import SidecarHandler
from guavacleat.sidecar.occupancy import EngineOccupancy, RunningStream
from tests.conftest import result_of

KIND = ("svc", 5)


def engine_of(capacity, slots=8, lengths=(100,) * 20):
    occupancy = EngineOccupancy(headroom=0.0)
    occupancy.set_limits(capacity, slots)
    for length in lengths:
        occupancy.lengths.record_finished(KIND, length)
    return occupancy


PEAKS = [
    # (prompt and emitted tokens of each stream, expected peak, in steps)
    ([], 0, 0),
    ([(50, 0)], 150, 100),
    ([(50, 0), (50, 0)], 300, 100),
    # One ends after 10 steps: 140+10 beside 50+10; the other then ends at 150 alone.
    ([(50, 90), (50, 0)], 210, 10),
    ([(500, 90), (50, 0)], 660, 10),
]


@pytest.mark.parametrize("streams,peak,steps", PEAKS)
def test_peak_is_the_largest_sum_at_any_stream_end(streams, peak, steps):
    occupancy = engine_of(10_000)
    for number, (prompt, emitted) in enumerate(streams):
        occupancy.add(str(number), RunningStream(KIND, prompt, 1000, emitted))
    report = occupancy.report()
    assert (report.peak, report.peak_in) == (peak, steps)


def test_start_that_would_outgrow_the_memory_is_refused():
    """
    Symptom: a long summary stops in mid-sentence while its engine reads it in again.
    Sequence: three streams fit the memory now; each grows by 100 tokens.
    Cause: engines admit what fits now and preempt when it has grown.
    """
    occupancy = engine_of(400)
    for number in range(2):
        stream = RunningStream(KIND, 50, 1000)
        assert occupancy.fits(stream)
        occupancy.add(str(number), stream)
    assert not occupancy.fits(RunningStream(KIND, 50, 1000))


def test_idle_engine_takes_even_what_would_not_fit():
    assert engine_of(100).fits(RunningStream(KIND, 500, 1000))


def test_starts_arriving_together_do_not_share_the_last_room(clock, store):
    """
    Symptom: preemptions at every surge although each start was checked.
    Sequence: two gateways' starts arrive before the engine has answered the first.
    Cause: a stream was counted only once the engine had answered its start.
    """

    class SlowEngine:
        def __init__(self):
            # Kept, as a connection would: a start whose answer nobody holds any more is collected
            # as garbage, and with it its claim on the memory.
            self.answers = []

        def generate(self, *args, **kwargs):
            self.answers.append(defer.Deferred())
            return self.answers[-1]

    handler = SidecarHandler("e1", SlowEngine(), store, clock)
    handler.occupancy = engine_of(400)
    request = StartRequest("r1", "svc", "acc", 5, "w " * 150, 1000, [])
    handler.start(request)
    with pytest.raises(NotRun) as caught:
        result_of(handler.start(StartRequest("r2", "svc", "acc", 5, "w " * 150, 1000, [])))
    assert caught.value.full


def test_expected_rest_grows_with_what_has_been_emitted():
    """Heavy tails: past the short outputs, what is left is what long outputs had left."""
    lengths = LengthEstimator()
    for length in [10] * 30 + [1000] * 20:
        lengths.record_finished(KIND, length)
    assert lengths.remaining(KIND, 0, 5000) == 10
    assert lengths.remaining(KIND, 20, 5000) == 980
    assert lengths.remaining(KIND, 2000, 5000) == 2000
    assert lengths.remaining(KIND, 4500, 5000) == 500


def test_urgent_request_may_use_what_is_kept_free_from_others():
    """
    Symptom: intent tags wait seconds behind summaries that are already running.
    Sequence: summaries fill the engine as far as they may; a summary and a tag come.
    Cause: the room kept for growth was kept from short urgent requests as well.
    """
    occupancy = EngineOccupancy(headroom=0.2)
    occupancy.set_limits(1000, 8)
    for length in (100,) * 20:
        occupancy.lengths.record_finished(KIND, length)
    occupancy.add("1", RunningStream(KIND, 600, 100))
    assert not occupancy.fits(RunningStream(KIND, 100, 100))
    assert occupancy.fits(RunningStream(("svc", 0), 100, 100))
    assert occupancy.report().kept_free == 200
