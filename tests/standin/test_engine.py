"""Stand-in engine: batching, priorities, preemption, delayed load reports, event gaps, fencing."""

import pytest

from guavacleat.standin.engine import Engine
from guavacleat.standin.sequences import EngineSettings


def run_until_done(clock, engine, limit=10_000):
    for _ in range(limit):
        if not (engine.running or engine.waiting):
            return
        clock.advance(engine.settings.step_seconds)
    raise AssertionError("engine did not finish")


def test_sequences_finish_with_varying_output_lengths(clock):
    engine = Engine(clock, EngineSettings(max_batch=4))
    sequences = [engine.submit(f"r{i}", "hello there", 200, 5) for i in range(6)]
    run_until_done(clock, engine)
    lengths = {len(seq.tokens) for seq in sequences}
    assert all(seq.finished and seq.finish_reason == "stop" for seq in sequences)
    assert len(lengths) > 1, "output lengths should vary by request"


def test_urgent_request_is_admitted_first(clock):
    engine = Engine(clock, EngineSettings(max_batch=1))
    slow = engine.submit("batch-1", "x", 50, 10)
    urgent = engine.submit("urgent-1", "x", 50, 0)
    clock.advance(engine.settings.step_seconds)
    assert engine.running == [urgent] and slow in engine.waiting


def test_preempted_sequence_resumes_same_generation(clock):
    """Guards against lost or repeated tokens after a preemption during decoding."""
    engine = Engine(clock, EngineSettings(max_batch=4, kv_capacity=60))
    first = engine.submit("long-a", "p", 40, 0)
    second = engine.submit("long-b", "p", 40, 5)
    first.target_length = second.target_length = 40
    run_until_done(clock, engine)
    assert engine.preemptions >= 1 and second.preemptions >= 1
    assert len(second.tokens) == 40 and second.finished


def test_load_report_lags(clock):
    engine = Engine(clock, EngineSettings(load_lag=0.5))
    engine.submit("r", "p", 1000, 0).target_length = 1000
    clock.pump([0.01] * 10)
    assert engine.load()["running"] == 0
    clock.pump([0.01] * 50)
    assert engine.load()["running"] == 1


def test_cache_events_are_delayed_and_have_gaps(clock):
    engine = Engine(clock, EngineSettings(event_lag=0.2, event_gap_every=3))
    engine.submit("r", " ".join(["w"] * 16 * 6), 1, 0)
    assert engine.cache_events(0) == []
    clock.advance(0.2)
    numbers = [number for number, _, _ in engine.cache_events(0)]
    assert numbers == [1, 2, 4, 5]


@pytest.mark.parametrize(
    "mode,stale_accepted",
    [("refuse", False), ("ignore", True)],
)
def test_stale_fencing_token_per_mode(clock, mode, stale_accepted):
    engine = Engine(clock, EngineSettings(fencing=mode))
    assert engine.order("model", "v2", fencing=5)
    assert engine.order("model", "v1", fencing=3) is stale_accepted
