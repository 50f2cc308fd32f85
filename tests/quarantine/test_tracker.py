"""Which requests are held responsible for crashes, and how they are handled."""

import pytest

from guavacleat.quarantine import CrashTracker, QuarantineState
from guavacleat.quarantine.clearances import MAX_CLEARANCES
from guavacleat.quarantine.crash_log import CRASH_RETENTION_SECONDS, MAX_CRASHES
from guavacleat.quarantine.messages import QUARANTINE_SECONDS
from guavacleat.quarantine.trials import TRIAL_TIMEOUT_SECONDS

CRASHER, HARMLESS = 1, 2
CRASH_INTERVAL_SECONDS = 2.5


@pytest.fixture
def tracker(clock):
    return CrashTracker(clock)


def crash(tracker, endpoint, *fingerprints):
    """Crash ``endpoint`` with these requests in flight."""
    for fingerprint in fingerprints:
        endpoint_crash = tracker.request_interrupted(endpoint, fingerprint)
    tracker.confirm(endpoint_crash)


def crash_in_turn(tracker, clock, count, *fingerprints):
    for number in range(count):
        crash(tracker, f"e{clock.seconds()}-{number}", *fingerprints)
        clock.advance(CRASH_INTERVAL_SECONDS)


def test_a_request_runs_freely_then_isolated_then_is_refused(tracker, clock):
    states = [tracker.status(CRASHER).state]
    for number in range(3):
        crash(tracker, f"e{number}", CRASHER)
        states.append(tracker.status(CRASHER).state)
    free, isolated, refused = QuarantineState
    assert states == [free, free, isolated, refused]
    assert tracker.status(CRASHER).retry_after == QUARANTINE_SECONDS[0]


def test_each_further_crash_prolongs_the_refusal(tracker, clock):
    """Guards against trials at a constant rate that crash endpoint after endpoint."""
    crash_in_turn(tracker, clock, 2, CRASHER)
    for seconds in QUARANTINE_SECONDS:
        crash(tracker, f"e{clock.seconds()}", CRASHER)
        assert tracker.status(CRASHER).retry_after == seconds
        clock.advance(seconds - 0.1)
        assert tracker.status(CRASHER).state is QuarantineState.REFUSED
        clock.advance(0.1)
        assert tracker.status(CRASHER).state is QuarantineState.ISOLATED


def test_a_suspected_request_runs_once_at_a_time(tracker, clock):
    """Guards against a second run during the trial of the first."""
    crash_in_turn(tracker, clock, 2, CRASHER)
    tracker.begin_trial(CRASHER, "e9")
    assert tracker.status(CRASHER).state is QuarantineState.REFUSED
    tracker.end_trial(CRASHER)
    assert tracker.status(CRASHER).state is QuarantineState.ISOLATED
    tracker.begin_trial(CRASHER, "e9")
    clock.advance(TRIAL_TIMEOUT_SECONDS)
    assert tracker.status(CRASHER).state is QuarantineState.ISOLATED


def test_a_completed_request_is_free_whatever_peers_repeat(tracker, clock):
    """Guards against outdated reports that make a cleared request suspected again."""
    crash_in_turn(tracker, clock, 3, HARMLESS)
    reported = [
        (endpoint_crash.endpoint, clock.seconds() - endpoint_crash.crashed_at)
        for endpoint_crash in tracker.endpoint_crashes
    ]
    tracker.request_completed(HARMLESS)
    clock.advance(1.0)
    for endpoint, age in reported:
        tracker.merge_crash(endpoint, age + 1.0, [HARMLESS])
    assert tracker.status(HARMLESS).state is QuarantineState.FREE


def test_requests_in_flight_with_the_crasher_are_not_suspected(tracker, clock):
    """Guards against refusing a harmless request that ran repeatedly with the same crasher."""
    crash(tracker, "e0", CRASHER)
    clock.advance(CRASH_INTERVAL_SECONDS)
    crash_in_turn(tracker, clock, 3, CRASHER, HARMLESS)
    assert tracker.status(CRASHER).state is QuarantineState.REFUSED
    assert tracker.status(HARMLESS).state is QuarantineState.FREE


def test_correlated_crashes_count_half(tracker, clock):
    """Guards against refusing a harmless request that was in flight at each crash of a rack."""
    for number in range(3):
        crash(tracker, f"rack-{number}", HARMLESS, 100 + number)
        crash(tracker, f"rack-{number}-b", 200 + number)
        clock.advance(0.2)
    assert tracker.status(HARMLESS).state is QuarantineState.FREE


def test_one_request_that_crashes_many_endpoints_at_once_counts_in_full(tracker, clock):
    for number in range(3):
        crash(tracker, f"e{number}", CRASHER, 100 + number)
    assert tracker.status(CRASHER).state is QuarantineState.REFUSED


def test_two_concurrent_crashers_are_both_identified(tracker, clock):
    for number in range(6):
        crash(tracker, f"e{number}", CRASHER)
        crash(tracker, f"f{number}", HARMLESS)
        clock.advance(0.25)
    assert tracker.status(CRASHER).state is QuarantineState.REFUSED
    assert tracker.status(HARMLESS).state is QuarantineState.REFUSED


def test_several_reports_of_one_crash_count_once(tracker, clock):
    crash(tracker, "e1", CRASHER)
    tracker.merge_crash("e1", 0.1, [CRASHER])
    tracker.merge_crash("e1", 0.0, [CRASHER])
    assert tracker.crash_count(CRASHER) == 1
    clock.advance(2.0)
    crash(tracker, "e1", CRASHER)
    assert tracker.crash_count(CRASHER) == 2


def test_a_discarded_crash_does_not_count(tracker):
    tracker.discard(tracker.request_interrupted("e1", HARMLESS))
    assert tracker.crash_count(HARMLESS) == 0
    assert tracker.endpoint_crashes == []


def test_restoring_a_record_twice_counts_its_crashes_once(tracker):
    tracker.restore(CRASHER, 4)
    tracker.restore(CRASHER, 4)
    assert tracker.crash_count(CRASHER) == 4
    assert tracker.status(CRASHER).retry_after == QUARANTINE_SECONDS[1]


def test_memory_is_bounded_and_keeps_the_crashes_of_quarantined_requests(tracker, clock):
    """Guards against a mass failure that evicts the crashes of a quarantined request."""
    crash_in_turn(tracker, clock, 3, CRASHER)
    for number in range(2 * MAX_CRASHES):
        crash(tracker, f"power-{number}", *range(1000 * number + 10, 1000 * number + 100))
    for fingerprint in range(2 * MAX_CLEARANCES):
        tracker.merge_completion(fingerprint + 10**9, 0.0)
    assert len(tracker.endpoint_crashes) <= MAX_CRASHES
    assert len(tracker.clearances_by_fingerprint) <= MAX_CLEARANCES
    assert tracker.status(CRASHER).quarantined


def test_an_old_crash_expires(tracker, clock):
    crash(tracker, "e1", HARMLESS)
    clock.advance(CRASH_RETENTION_SECONDS + 1)
    crash(tracker, "e2", CRASHER)
    assert tracker.crash_count(HARMLESS) == 0


def test_an_endpoint_that_restarts_at_once_can_crash_again(tracker, clock):
    """Guards against counting quick restarts under one id as a single crash."""
    for _ in range(3):
        clock.advance(0.01)
        sent_at = clock.seconds()
        clock.advance(0.1)
        tracker.confirm(tracker.request_interrupted("e1", CRASHER, sent_at))
    assert tracker.status(CRASHER).state is QuarantineState.REFUSED
