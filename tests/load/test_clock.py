"""Compares the virtual clock of load runs with Twisted's clock."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.task import Clock

from guavacleat.load.clock import HeapClock

TIMES = st.integers(0, 20).map(lambda tenths: tenths / 10)
STEPS = st.lists(
    st.tuples(st.sampled_from(["call", "cancel", "reset", "advance"]), st.integers(0, 9), TIMES),
    max_size=40,
)


def play(clock, steps):
    """Apply steps of (action, call index, seconds); return the times and numbers of run calls."""
    ran, calls = [], []
    for action, index, seconds in steps:
        if action == "call":
            number = len(calls)
            calls.append(
                clock.callLater(
                    seconds, lambda number=number: ran.append((clock.seconds(), number))
                )
            )
        elif action == "advance":
            clock.advance(seconds)
        elif calls and calls[index % len(calls)].active():
            call = calls[index % len(calls)]
            call.cancel() if action == "cancel" else call.reset(seconds)
    clock.advance(100)
    # The order of calls rescheduled to the same time is undefined.
    return sorted(ran)


@given(STEPS)
def test_calls_run_at_same_times_as_on_twisted_clock(steps):
    assert play(HeapClock(), steps) == play(Clock(), steps)


def test_simultaneous_calls_run_in_insertion_order():
    clock, ran = HeapClock(), []
    for number in range(5):
        clock.callLater(1.0, ran.append, number)
    clock.advance(1.0)
    assert ran == [0, 1, 2, 3, 4]


@pytest.mark.parametrize("seconds", [0.5, 3.0])
def test_rescheduled_call_is_due_at_new_time(seconds):
    clock = HeapClock()
    clock.callLater(1.0, lambda: None).reset(seconds)
    assert clock.next_time() == seconds
    assert len(clock.getDelayedCalls()) == 1
