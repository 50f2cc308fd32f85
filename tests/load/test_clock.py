"""The virtual clock of load runs against Twisted's own."""

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
    """What runs when, for steps ``(what, which call, seconds)``."""
    ran, calls = [], []
    for what, which, seconds in steps:
        if what == "call":
            number = len(calls)
            calls.append(
                clock.callLater(
                    seconds, lambda number=number: ran.append((clock.seconds(), number))
                )
            )
        elif what == "advance":
            clock.advance(seconds)
        elif calls and calls[which % len(calls)].active():
            call = calls[which % len(calls)]
            call.cancel() if what == "cancel" else call.reset(seconds)
    clock.advance(100)
    # Calls put off to one moment have no order of their own.
    return sorted(ran)


@given(STEPS)
def test_the_same_calls_run_at_the_same_times(steps):
    assert play(HeapClock(), steps) == play(Clock(), steps)


def test_calls_of_one_moment_run_in_the_order_in_which_they_were_made():
    clock, ran = HeapClock(), []
    for number in range(5):
        clock.callLater(1.0, ran.append, number)
    clock.advance(1.0)
    assert ran == [0, 1, 2, 3, 4]


@pytest.mark.parametrize("seconds", [0.5, 3.0])
def test_a_call_that_is_moved_is_due_at_its_new_time(seconds):
    clock = HeapClock()
    clock.callLater(1.0, lambda: None).reset(seconds)
    assert clock.next_time() == seconds
    assert len(clock.getDelayedCalls()) == 1
