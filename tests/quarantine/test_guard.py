"""How the guard distinguishes the crash of an endpoint from a failed response."""

import types

import pytest
from twisted.internet import defer

from guavacleat.quarantine import CrashTracker, Liveness, QuarantineGuard, QuarantineState
from guavacleat.quarantine.guard import CONFIRM_TIMEOUT_SECONDS

REQUEST = types.SimpleNamespace(content_key=1, part_keys=())


class Probes:
    """A probe whose results the test supplies."""

    def __init__(self):
        self.probed = []

    def __call__(self, endpoint):
        self.probed.append((endpoint, defer.Deferred()))
        return self._wait(self.probed[-1][1])

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
    # (result of the probe, whether membership saw an announced removal, crashes counted)
    (Liveness.ENDED, None, 1),
    (Liveness.ALIVE, None, 0),
    (Liveness.UNKNOWN, None, 0),
    (Liveness.UNKNOWN, False, 1),
    (Liveness.UNKNOWN, True, 0),
    (None, False, 1),
]


@pytest.mark.parametrize("liveness,announced,counted", CASES)
def test_only_a_confirmed_crash_counts(guard, probes, clock, liveness, announced, counted):
    """Guards against counting resets, invalid responses and planned stops as crashes."""
    guard.request_interrupted(REQUEST, "e1", 0.0)
    if liveness is not None:
        probes.probed[0][1].callback(liveness)
    if announced is not None:
        guard.endpoint_removed("e1", announced)
    clock.advance(CONFIRM_TIMEOUT_SECONDS)
    assert guard.tracker.crash_count(1) == counted


def test_an_endpoint_is_probed_once_for_all_its_interrupted_requests(guard, probes):
    for key in range(5):
        guard.request_interrupted(types.SimpleNamespace(content_key=key, part_keys=()), "e1", 0.0)
    assert [endpoint for endpoint, _ in probes.probed] == ["e1"]
    probes.probed[0][1].callback(Liveness.ENDED)
    assert [guard.tracker.crash_count(key) for key in range(5)] == [1] * 5


def test_an_unconfirmed_crash_counts_until_the_endpoint_answers(guard, probes):
    """Guards against a retry that is sent just before the third crash is confirmed."""
    for number in range(3):
        guard.request_interrupted(REQUEST, f"e{number}", 0.0)
    assert guard.status(REQUEST).state is QuarantineState.REFUSED
    for _, answer in probes.probed:
        answer.callback(Liveness.ALIVE)
    assert guard.status(REQUEST).state is QuarantineState.FREE


def test_a_trial_ends_with_its_run(guard, probes, clock):
    for number in range(2):
        guard.request_interrupted(REQUEST, f"e{number}", 0.0)
        probes.probed[number][1].callback(Liveness.ENDED)
        clock.advance(2.0)
    guard.request_sent(REQUEST, "e5")
    assert guard.trial_endpoints() == {"e5"}
    guard.run_finished(REQUEST)
    assert guard.trial_endpoints() == set()
