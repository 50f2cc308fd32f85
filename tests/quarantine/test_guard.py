"""Whether an endpoint ended, or only spoilt one answer."""

import types

import pytest
from twisted.internet import defer

from guavacleat.quarantine import CrashTracker, Liveness, QuarantineGuard, QuarantineState
from guavacleat.quarantine.guard import CONFIRM_SECONDS

REQUEST = types.SimpleNamespace(content_key=1)


class Probes:
    """Answers what an endpoint's state is when the test says so."""

    def __init__(self):
        self.asked = []

    def __call__(self, endpoint):
        self.asked.append((endpoint, defer.Deferred()))
        return self._wait(self.asked[-1][1])

    @staticmethod
    async def _wait(answer):
        return await answer


@pytest.fixture
def probes():
    return Probes()


@pytest.fixture
def guard(clock, probes):
    return QuarantineGuard(clock, CrashTracker(clock), probes)


CASES = [
    # (what the probe says, what membership says then: announced, ends that count)
    (Liveness.ENDED, None, 1),
    (Liveness.ALIVE, None, 0),
    (Liveness.UNKNOWN, None, 0),
    (Liveness.UNKNOWN, False, 1),
    (Liveness.UNKNOWN, True, 0),
    (None, False, 1),
]


@pytest.mark.parametrize("found,announced,counted", CASES)
def test_only_an_end_that_is_known_counts(guard, probes, clock, found, announced, counted):
    """Guards against blaming requests for resets, garbled answers, cuts and planned ends."""
    guard.request_interrupted(REQUEST, "e1", 0.0)
    if found is not None:
        probes.asked[0][1].callback(found)
    if announced is not None:
        guard.endpoint_removed("e1", announced)
    clock.advance(CONFIRM_SECONDS)
    assert guard.book.crash_count(1) == counted


def test_an_endpoint_is_tried_once_for_all_that_broke_off_there(guard, probes):
    for key in range(5):
        guard.request_interrupted(types.SimpleNamespace(content_key=key), "e1", 0.0)
    assert [endpoint for endpoint, _ in probes.asked] == ["e1"]
    probes.asked[0][1].callback(Liveness.ENDED)
    assert [guard.book.crash_count(key) for key in range(5)] == [1] * 5


def test_what_broke_off_counts_until_the_endpoint_answers(guard, probes):
    """Guards against a repeat that is sent in the moment before the third end is known."""
    for number in range(3):
        guard.request_interrupted(REQUEST, f"e{number}", 0.0)
    assert guard.status(REQUEST).state is QuarantineState.REFUSED
    for _, answer in probes.asked:
        answer.callback(Liveness.ALIVE)
    assert guard.status(REQUEST).state is QuarantineState.FREE


def test_a_trial_ends_with_its_run(guard, probes, clock):
    for number in range(2):
        guard.request_interrupted(REQUEST, f"e{number}", 0.0)
        probes.asked[number][1].callback(Liveness.ENDED)
        clock.advance(2.0)
    guard.request_sent(REQUEST, "e5")
    assert guard.trial_endpoints() == {"e5"}
    guard.run_finished(REQUEST)
    assert guard.trial_endpoints() == set()
