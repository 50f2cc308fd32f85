"""Who is blamed for the ends of endpoints, and what happens to it."""

import pytest

from guavacleat.quarantine import CrashTracker, QuarantineState
from guavacleat.quarantine.tracker import (
    MAX_CLEARANCES,
    MAX_CRASHES,
    MEMORY_SECONDS,
    QUARANTINE_SECONDS,
    TRIAL_SECONDS,
)

CRASHER, SOUND = 1, 2
APART_SECONDS = 2.5


@pytest.fixture
def book(clock):
    return CrashTracker(clock)


def crash(book, endpoint, *fingerprints):
    """``endpoint`` ends with these requests in flight."""
    for fingerprint in fingerprints:
        end = book.request_interrupted(endpoint, fingerprint)
    book.confirm(end)


def crash_in_turn(book, clock, count, *fingerprints):
    for number in range(count):
        crash(book, f"e{clock.seconds()}-{number}", *fingerprints)
        clock.advance(APART_SECONDS)


def test_a_request_runs_freely_then_apart_then_not_at_all(book, clock):
    kinds = [book.status(CRASHER).state]
    for number in range(3):
        crash(book, f"e{number}", CRASHER)
        kinds.append(book.status(CRASHER).state)
    free, apart, refused = QuarantineState
    assert kinds == [free, free, apart, refused]
    assert book.status(CRASHER).retry_after == QUARANTINE_SECONDS[0]


def test_each_further_crash_is_further_from_the_last(book, clock):
    """Guards against trials that come at a steady pace and end endpoint after endpoint."""
    crash_in_turn(book, clock, 2, CRASHER)
    for seconds in QUARANTINE_SECONDS:
        crash(book, f"e{clock.seconds()}", CRASHER)
        assert book.status(CRASHER).retry_after == seconds
        clock.advance(seconds - 0.1)
        assert book.status(CRASHER).state is QuarantineState.REFUSED
        clock.advance(0.1)
        assert book.status(CRASHER).state is QuarantineState.ISOLATED


def test_a_suspect_runs_once_at_a_time(book, clock):
    """Guards against a second copy that is sent while the first shows what it does."""
    crash_in_turn(book, clock, 2, CRASHER)
    book.begin_trial(CRASHER, "e9")
    assert book.status(CRASHER).state is QuarantineState.REFUSED
    book.end_trial(CRASHER)
    assert book.status(CRASHER).state is QuarantineState.ISOLATED
    book.begin_trial(CRASHER, "e9")
    clock.advance(TRIAL_SECONDS)
    assert book.status(CRASHER).state is QuarantineState.ISOLATED


def test_a_request_that_ran_to_its_end_is_free_whatever_peers_repeat(book, clock):
    """Guards against old news that suspects a cleared request again."""
    crash_in_turn(book, clock, 3, SOUND)
    told = [(end.endpoint, clock.seconds() - end.at) for end in book.endpoint_crashes]
    book.request_completed(SOUND)
    clock.advance(1.0)
    for endpoint, age in told:
        book.merge_crash(endpoint, age + 1.0, [SOUND])
    assert book.status(SOUND).state is QuarantineState.FREE


def test_what_ran_beside_the_culprit_is_not_blamed(book, clock):
    """Guards against refusing a sound request that met the same crasher again and again."""
    crash(book, "e0", CRASHER)
    clock.advance(APART_SECONDS)
    crash_in_turn(book, clock, 3, CRASHER, SOUND)
    assert book.status(CRASHER).state is QuarantineState.REFUSED
    assert book.status(SOUND).state is QuarantineState.FREE


def test_ends_of_many_endpoints_at_once_count_half(book, clock):
    """Guards against refusing a sound request that followed a failing rack from end to end."""
    for number in range(3):
        crash(book, f"rack-{number}", SOUND, 100 + number)
        crash(book, f"rack-{number}-b", 200 + number)
        clock.advance(0.2)
    assert book.status(SOUND).state is QuarantineState.FREE


def test_one_request_that_ends_many_endpoints_at_once_counts_in_full(book, clock):
    for number in range(3):
        crash(book, f"e{number}", CRASHER, 100 + number)
    assert book.status(CRASHER).state is QuarantineState.REFUSED


def test_two_requests_that_crash_at_once_are_both_found(book, clock):
    for number in range(6):
        crash(book, f"e{number}", CRASHER)
        crash(book, f"f{number}", SOUND)
        clock.advance(0.25)
    assert book.status(CRASHER).state is QuarantineState.REFUSED
    assert book.status(SOUND).state is QuarantineState.REFUSED


def test_what_several_tell_of_one_end_counts_once(book, clock):
    crash(book, "e1", CRASHER)
    book.merge_crash("e1", 0.1, [CRASHER])
    book.merge_crash("e1", 0.0, [CRASHER])
    assert book.crash_count(CRASHER) == 1
    clock.advance(2.0)
    crash(book, "e1", CRASHER)
    assert book.crash_count(CRASHER) == 2


def test_an_endpoint_that_lives_blames_nobody(book):
    book.discard(book.request_interrupted("e1", SOUND))
    assert book.crash_count(SOUND) == 0
    assert book.endpoint_crashes == []


def test_a_record_counts_as_many_ends_as_it_says_also_when_told_twice(book):
    book.restore(CRASHER, 4)
    book.restore(CRASHER, 4)
    assert book.crash_count(CRASHER) == 4
    assert book.status(CRASHER).retry_after == QUARANTINE_SECONDS[1]


def test_memory_is_bounded_and_keeps_what_convicts(book, clock):
    """Guards against a fleet's worth of ends that push out the request which caused them."""
    crash_in_turn(book, clock, 3, CRASHER)
    for number in range(2 * MAX_CRASHES):
        crash(book, f"power-{number}", *range(1000 * number + 10, 1000 * number + 100))
    for fingerprint in range(2 * MAX_CLEARANCES):
        book.merge_completion(fingerprint + 10**9, 0.0)
    assert len(book.endpoint_crashes) <= MAX_CRASHES
    assert len(book.clearances_by_fingerprint) <= MAX_CLEARANCES
    assert book.status(CRASHER).quarantined


def test_an_end_long_ago_is_forgotten(book, clock):
    crash(book, "e1", SOUND)
    clock.advance(MEMORY_SECONDS + 1)
    crash(book, "e2", CRASHER)
    assert book.crash_count(SOUND) == 0


def test_an_endpoint_that_is_back_at_once_ends_anew(book, clock):
    """Guards against taking quick restarts under one id for a single end."""
    for _ in range(3):
        clock.advance(0.01)
        began = clock.seconds()
        clock.advance(0.1)
        book.confirm(book.request_interrupted("e1", CRASHER, began))
    assert book.status(CRASHER).state is QuarantineState.REFUSED
