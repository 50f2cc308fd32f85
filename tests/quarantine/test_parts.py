"""Suspicion of the parts of prompts that several requests share."""

import itertools

import pytest

from guavacleat.peers.crashes import MAX_PARTS_PER_REPORT, CrashGossip
from guavacleat.peers.fitting import fit_report
from guavacleat.peers.report import GatewayReport, decode_report
from guavacleat.placement import EndpointLoad
from guavacleat.quarantine import AnswerProgress, CrashTracker, QuarantineState, part_fingerprints
from guavacleat.quarantine.crash_log import MAX_PARTS_PER_CRASH
from guavacleat.quarantine.fingerprint import MAX_PARTS
from guavacleat.quarantine.messages import QUARANTINE_SECONDS
from guavacleat.quarantine.proofs import MAX_PROVEN_PARTS, PROOF_SECONDS
from guavacleat.quarantine.trial_order import TRIAL_INTERVAL_SECONDS, TrialOrder

BAD, SHARED, SUBJECT = 1, 2, 3
REQUESTS = itertools.count(100)


@pytest.fixture
def tracker(clock):
    return CrashTracker(clock)


def crash(tracker, *parts, endpoint=None):
    """Crash an endpoint under a request with these parts, unlike any other."""
    request = next(REQUESTS)
    endpoint = endpoint or f"e{request}"
    tracker.confirm(tracker.request_interrupted(endpoint, request, parts=parts))


def crash_in_turn(tracker, clock, count, *parts):
    for _ in range(count):
        crash(tracker, *parts)
        clock.advance(1.5)


def state(tracker, *parts):
    return tracker.status(next(REQUESTS), *parts).state


def test_a_part_is_refused_after_three_crashes(tracker, clock):
    states = [state(tracker, BAD)]
    for _ in range(3):
        crash(tracker, BAD)
        states.append(state(tracker, BAD))
    assert states == [QuarantineState.FREE] * 3 + [QuarantineState.REFUSED]
    assert tracker.status(next(REQUESTS), BAD).retry_after == QUARANTINE_SECONDS[0]


def test_requests_that_share_the_other_parts_are_free(tracker, clock):
    """Guards against refusing what was in flight at each crash but used to be sound."""
    tracker.part_proven(SHARED, clock.seconds())
    clock.advance(1.0)
    crash_in_turn(tracker, clock, 3, SHARED, BAD)
    assert state(tracker, SHARED, SUBJECT) is QuarantineState.FREE
    assert tracker.status(next(REQUESTS), SHARED, BAD).quarantined


def test_a_part_that_nobody_knows_is_tried_without_the_bad_one(tracker, clock):
    """Guards against refusing a whole route before any of its answers has gone well."""
    for _ in range(3):
        crash(tracker, SHARED, BAD)
    assert state(tracker, SHARED, BAD) is QuarantineState.REFUSED
    status = tracker.status(next(REQUESTS), SHARED, SUBJECT)
    assert status.state is QuarantineState.ISOLATED and status.contested
    tracker.begin_trial(SHARED, "e1")
    assert state(tracker, SHARED, SUBJECT) is QuarantineState.REFUSED
    clock.advance(0.1)
    tracker.part_proven(SHARED, clock.seconds())
    assert state(tracker, SHARED, SUBJECT) is QuarantineState.FREE
    assert state(tracker, SHARED, BAD) is QuarantineState.REFUSED


def test_the_trial_of_a_contested_part_convicts_it(tracker, clock):
    """Guards against a bad part that hides behind one that was in flight at the same crashes."""
    for _ in range(3):
        crash(tracker, SHARED, BAD)
    crash(tracker, BAD)
    assert state(tracker, BAD, SUBJECT) is QuarantineState.REFUSED
    assert state(tracker, SHARED, SUBJECT) is QuarantineState.FREE


def test_a_shared_part_at_endpoints_that_end_together_is_free(tracker, clock):
    """Guards against refusing a route because a rack with its requests has lost power."""
    tracker.part_proven(SHARED, clock.seconds())
    clock.advance(1.0)
    for _ in range(4):
        crash(tracker, SHARED, next(REQUESTS))
    assert state(tracker, SHARED, SUBJECT) is QuarantineState.FREE


def test_an_answer_that_began_before_a_crash_does_not_clear_it(tracker, clock):
    """Guards against long streams that clear a part which has turned bad since they began."""
    began_at = clock.seconds()
    clock.advance(1.0)
    crash_in_turn(tracker, clock, 3, BAD)
    tracker.part_proven(BAD, began_at)
    assert state(tracker, BAD) is not QuarantineState.FREE
    tracker.part_proven(BAD, clock.seconds())
    assert state(tracker, BAD) is QuarantineState.FREE


def test_a_crash_that_is_reported_after_a_later_answer_does_not_count(tracker, clock):
    """Guards against late reports of peers that outweigh the answers seen here."""
    clock.advance(5.0)
    tracker.part_proven(SHARED, clock.seconds())
    for number in range(3):
        tracker.merge_crash(f"e{number}", 1.0, [], parts=[SHARED])
    assert state(tracker, SHARED) is QuarantineState.FREE
    assert [clearance.fingerprint for clearance in tracker.recent_clearances(1.0)] == [SHARED]


def test_a_whole_request_that_crashes_endpoints_convicts_no_part(tracker, clock):
    """Guards against refusing all that share a part with one crashing request."""
    for number in range(4):
        tracker.confirm(tracker.request_interrupted(f"e{number}", 7, parts=[SHARED, SUBJECT]))
        clock.advance(1.5)
    tracker.part_proven(SHARED, clock.seconds())
    assert tracker.status(7, SHARED, SUBJECT).quarantined
    assert tracker.status(next(REQUESTS), SHARED, SUBJECT).contested
    assert state(tracker, SHARED) is QuarantineState.FREE


def test_peers_learn_of_parts_and_of_their_clearance(clock):
    trackers = [CrashTracker(clock) for _ in range(2)]
    gossip = [CrashGossip(clock, tracker) for tracker in trackers]
    for _ in range(3):
        crash(trackers[0], SHARED, BAD)
    gossip[1].apply_message(gossip[0].build_message(15.0, True, True))
    assert state(trackers[1], SHARED, BAD) is QuarantineState.REFUSED
    clock.advance(1.0)
    trackers[1].part_proven(SHARED, clock.seconds())
    gossip[0].apply_message(gossip[1].build_message(15.0, True, True))
    assert [state(tracker, SHARED) for tracker in trackers] == [QuarantineState.FREE] * 2
    assert [state(tracker, BAD) for tracker in trackers] == [QuarantineState.REFUSED] * 2


def test_memory_and_reports_are_bounded_and_keep_the_bad_part(tracker, clock):
    """Guards against a part that many harmless ones displace, at a crash or in a report."""
    for round in range(4):
        crash(tracker, BAD, endpoint=f"e{round}")
        harmless = range(1000 * (round + 1), 1000 * (round + 1) + 2 * MAX_PARTS_PER_CRASH)
        crash(tracker, *harmless, endpoint=f"e{round}")
        clock.advance(0.2)
    assert all(len(c.parts) <= MAX_PARTS_PER_CRASH for c in tracker.endpoint_crashes)
    assert state(tracker, BAD) is QuarantineState.REFUSED
    message = CrashGossip(clock, tracker).build_message(15.0, True, True)
    assert sum(len(end.parts or ()) for end in message.ends) <= MAX_PARTS_PER_REPORT
    peer = CrashTracker(clock)
    for number in range(3):
        crash(tracker, BAD, endpoint=f"later{number}")
    CrashGossip(clock, peer).apply_message(
        CrashGossip(clock, tracker).build_message(15.0, True, True)
    )
    assert peer.status(next(REQUESTS), BAD).quarantined
    for part in range(2 * MAX_PROVEN_PARTS):
        tracker.part_proven(part + 10**6, clock.seconds())
    assert len(tracker._proofs.began_at_by_part) == MAX_PROVEN_PARTS


def test_a_prompt_with_too_many_parts_is_watched_by_the_same_ones():
    """Guards against a bad part that escapes in prompts of very many parts."""
    parts = [b"%d" % number for number in range(3 * MAX_PARTS)]
    first, second = part_fingerprints([*parts, b"a"]), part_fingerprints([b"b", *parts])
    assert len(first) == len(second) == MAX_PARTS
    assert len(set(first) & set(second)) >= MAX_PARTS - 2


def test_an_answer_proves_its_parts_once_it_goes_on(clock):
    """Guards against taking a few tokens before a crash for proof."""
    proven = []
    progress = AnswerProgress(clock, proven.append)
    progress.record_completion()
    clock.advance(2.0)
    for _ in range(3):
        progress.record_output()
    assert proven == []
    clock.advance(PROOF_SECONDS)
    for _ in range(3):
        progress.record_output()
    assert proven == [2.0]


class Gateways:
    def data_centres(self):
        return ["a", "b"]

    def local_gateways(self):
        return ["g1", "g2", "g3"]


def test_gateways_try_a_part_one_after_the_other():
    """Guards against a trial at each gateway when a refusal ends."""
    delays = [
        TrialOrder(f"g{number}", data_centre, Gateways()).delay(BAD)
        for data_centre in "ab"
        for number in (1, 2, 3)
    ]
    assert sorted(delays) == [rank * TRIAL_INTERVAL_SECONDS for rank in range(6)]


def test_the_delay_of_a_trial_prolongs_the_refusal(tracker, clock):
    tracker.trial_delay = lambda fingerprint: 4.0
    for _ in range(3):
        crash(tracker, BAD)
    assert tracker.status(BAD).retry_after == QUARANTINE_SECONDS[0] + 4.0


# A rack of a deployment of 3,000 endpoints; more than the crashes that are remembered.
RACK_ENDPOINTS = 300
REQUESTS_PER_ENDPOINT = 10


def lose_rack(tracker, *parts, requests=REQUESTS_PER_ENDPOINT):
    """Crash a rack of endpoints, each with some requests that share these parts."""
    for number in range(RACK_ENDPOINTS):
        for request in range(requests):
            own_part = 10**6 + requests * number + request
            crash(tracker, *parts, own_part, endpoint=f"i-{number:010x}")


def test_the_loss_of_a_large_rack_does_not_displace_a_bad_part(tracker, clock):
    """Guards against forgetting a bad part for the crashes of a rack that share another part."""
    tracker.part_proven(SHARED, clock.seconds())
    clock.advance(1.0)
    for _ in range(3):
        crash(tracker, SHARED, BAD)
    clock.advance(2.0)
    lose_rack(tracker, SHARED)
    assert tracker.status(next(REQUESTS), BAD).quarantined


@pytest.mark.parametrize("proven", [True, False])
@pytest.mark.parametrize("rack_first", [True, False])
def test_the_loss_of_a_large_rack_does_not_hide_a_bad_part_from_peers(clock, rack_first, proven):
    """Guards against reports filled, or made too long, by what was in flight at a rack."""
    tracker, peer = CrashTracker(clock), CrashTracker(clock)
    if proven:
        tracker.part_proven(SHARED, clock.seconds())
    clock.advance(1.0)
    if rack_first:
        lose_rack(tracker, SHARED)
        clock.advance(2.0)
    for _ in range(3):
        crash(tracker, SHARED, BAD)
    if not rack_first:
        clock.advance(2.0)
        lose_rack(tracker, SHARED)
    message = CrashGossip(clock, tracker).build_message(15.0, True, True)
    loads = {f"i-{number:010x}": EndpointLoad(12, 150000, 30000) for number in range(3000)}
    report = GatewayReport("g1", 1, 1, loads, crashes=message)
    decoded = decode_report(fit_report(report).data)
    CrashGossip(clock, peer).apply_message(decoded.crashes)
    assert peer.known_crashes(BAD) == 3


def test_the_loss_of_a_large_rack_does_not_hide_a_bad_request_from_peers(clock):
    """Guards against reports filled by the parts of prompts that were in flight at a rack."""
    tracker, peer = CrashTracker(clock), CrashTracker(clock)
    for number in range(3):
        tracker.confirm(tracker.request_interrupted(f"e{number}", 77))
    clock.advance(2.0)
    lose_rack(tracker, requests=1)
    message = CrashGossip(clock, tracker).build_message(15.0, True, True)
    CrashGossip(clock, peer).apply_message(message)
    assert peer.known_crashes(77) == 3


def test_a_report_at_all_bounds_still_contains_the_crashes(tracker, clock):
    """Guards against a report so long that the crashes are left out whole."""
    lose_rack(tracker, SHARED)
    for number in range(300):
        tracker.merge_completion(10**8 + number, 0.0)
        tracker.merge_trial(10**9 + number, f"i-{number:010x}", 0.0)
    message = CrashGossip(clock, tracker).build_message(15.0, True, True)
    fitted = fit_report(GatewayReport("front-nasr-a-35", 1 << 61, 77, {}, crashes=message))
    assert "crashes" not in fitted.left_out
