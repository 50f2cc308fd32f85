"""Requests suspected of crashing endpoints: where they run, and what is not done for them."""

import pytest
from twisted.internet import defer

from guavacleat.forwarding.memory import HeldCopy
from guavacleat.forwarding.plain import PlainForwarder
from guavacleat.forwarding.refusals import RefusalReason
from guavacleat.forwarding.session import StreamSession
from guavacleat.http1.client import BreakReason
from guavacleat.placement import Run
from guavacleat.quarantine import QuarantineState
from guavacleat.routes import EngineTraits, RequestKind
from tests.forwarding.harness import ForwardingHarness, encode_event, make_entry

BACKED_UP = EngineTraits(24, 30000, 163840, 24000.0, 4, moves=True, backups=True)
APART_SECONDS = 1.5


def blame(harness, request, times):
    """So many endpoints have ended while the request was in flight there."""
    for number in range(times):
        harness.crashes.confirm(
            harness.crashes.request_interrupted(f"gone-{number}", request.content_key)
        )
        harness.clock.advance(APART_SECONDS)


def stream(harness, times=0, **metadata):
    request, caller = harness.request(kind=RequestKind.STREAM, timeout=39.0, **metadata)
    blame(harness, request, times)
    refusals = []
    session = StreamSession(request, harness.context, set())
    done = defer.Deferred.fromCoroutine(session.run())
    done.addErrback(lambda failure: refusals.append(failure.value))
    return session, caller, refusals


def plain(harness, times=0, **kind):
    request, caller = harness.request(timeout=60.0, **kind)
    blame(harness, request, times)
    refusals = []
    done = defer.Deferred.fromCoroutine(PlainForwarder(harness.context).forward(request))
    done.addErrback(lambda failure: refusals.append(failure.value))
    return request, caller, refusals


def crash(harness, side):
    harness.pool.refused.add(side.address)
    side.break_off(BreakReason.RESET)


def busy(harness, name, runs):
    for number in range(runs):
        harness.load.begin(name, Run(f"{name}-{number}", peak_tokens=100))


def test_an_idempotent_request_is_not_repeated_after_the_third_end(clock):
    """Guards against a gateway's own repeats that end one endpoint more."""
    harness = ForwardingHarness(clock, engine=None)
    request, _, refusals = plain(harness, times=2, attempts=3)
    crash(harness, harness.pool.connections[0])
    assert len(harness.pool.connections) == 1
    assert refusals[0].reason is RefusalReason.BROKEN
    assert harness.context.quarantine.status(request).state is QuarantineState.REFUSED


def test_a_suspect_that_has_run_is_not_called_not_run(clock):
    """Guards against 503 for a request that ended an endpoint just before."""
    harness = ForwardingHarness(clock, engine=None)
    for name in ("e1", "e2", "e3"):
        busy(harness, name, 6)
    request, _, refusals = plain(harness, times=1, attempts=3)
    crash(harness, harness.pool.connections[0])
    assert harness.context.quarantine.status(request).state is QuarantineState.ISOLATED
    assert len(harness.pool.connections) == 1
    assert refusals[0].reason is RefusalReason.BROKEN


@pytest.mark.parametrize("start,connections", [(plain, 0), (stream, 0)])
def test_what_is_refused_reaches_no_endpoint(clock, start, connections):
    harness = ForwardingHarness(clock, engine=None)
    _, _, refusals = start(harness, times=3)
    assert len(harness.pool.connections) == connections
    assert refusals[0].reason is RefusalReason.QUARANTINED
    assert refusals[0].retry_after > 0


@pytest.mark.parametrize("start", [plain, stream])
def test_a_suspect_runs_where_least_runs(clock, start):
    """Guards against a suspect that takes many callers' requests down with it."""
    harness = ForwardingHarness(clock)
    busy(harness, "e1", 4)
    busy(harness, "e2", 1)
    busy(harness, "e3", 2)
    start(harness, times=2)
    assert [side.address[0] for side in harness.pool.connections] == ["e2"]


@pytest.mark.parametrize("start", [plain, stream])
def test_a_trial_waits_for_a_quiet_endpoint(clock, start):
    harness = ForwardingHarness(clock)
    for name in ("e1", "e2", "e3"):
        busy(harness, name, 4)
    request, _ = harness.request(kind=RequestKind.STREAM)
    blame(harness, request, 3)
    clock.advance(5.0)
    _, _, refusals = start(harness)
    assert harness.pool.connections == []
    assert refusals[0].reason is RefusalReason.QUARANTINED


def test_nothing_else_begins_where_a_suspect_is_tried(clock):
    """Guards against callers who are sent to the endpoint that a trial ends."""
    harness = ForwardingHarness(clock, names=("e1", "e2"), engine=None)
    plain(harness, times=2)
    tried = harness.pool.connections[0].address[0]
    for number in range(6):
        request, _ = harness.request(body=b"%d" % number)
        defer.Deferred.fromCoroutine(PlainForwarder(harness.context).forward(request))
    assert {side.address[0] for side in harness.pool.connections[1:]} == {"e1", "e2"} - {tried}


def resumable(harness, times):
    session, caller, _ = stream(harness, times)
    side = harness.pool.connections[0]
    side.begin()
    side.body_bytes(encode_event(1))
    keeper = next(name for name in ("e1", "e2", "e3") if name != side.address[0])
    session.memory.keep_copy(HeldCopy(make_entry(keeper), make_entry(keeper), "h1"))
    return session, caller, side, keeper


def test_a_sound_stream_goes_on_from_its_copy_after_one_end(clock):
    harness = ForwardingHarness(clock)
    _, caller, side, keeper = resumable(harness, 0)
    crash(harness, side)
    assert harness.pool.connections[1].address[0] == keeper
    assert not caller.was_cut


def test_a_suspect_does_not_go_on_where_others_run(clock):
    """Guards against a copy that takes the crash to the engine which holds it."""
    harness = ForwardingHarness(clock)
    _, caller, side, keeper = resumable(harness, 1)
    busy(harness, keeper, 6)
    crash(harness, side)
    assert len(harness.pool.connections) == 1
    assert caller.was_cut


def test_a_refused_request_does_not_go_on_from_its_copy(clock):
    harness = ForwardingHarness(clock)
    _, caller, side, _ = resumable(harness, 2)
    crash(harness, side)
    assert len(harness.pool.connections) == 1
    assert caller.was_cut


def test_a_suspect_gets_no_backup_and_is_not_handed_over(clock):
    harness = ForwardingHarness(clock, engine=BACKED_UP)
    clock.advance(10.0)
    session, _, _, _ = resumable(harness, 2)
    assert b"copy-to" not in harness.pool.connections[0].headers
    handing_over = defer.Deferred.fromCoroutine(session.hand_over())
    assert handing_over.result is False


def test_a_request_that_waited_while_it_was_convicted_is_refused(clock):
    """Guards against copies of one request that wait for room while the first ones crash."""
    harness = ForwardingHarness(clock)
    for name in ("e1", "e2", "e3"):
        harness.load.begin(name, Run("full", peak_tokens=30000, unread_tokens=5000))
    session, _, refusals = stream(harness)
    assert harness.queue.waiting("svc") == 1
    blame(harness, session.request, 3)
    harness.load.end("e1", harness.load.runs_by_endpoint["e1"]["full"])
    clock.advance(0.2)
    assert harness.pool.connections == []
    assert refusals[0].reason is RefusalReason.QUARANTINED


@pytest.mark.parametrize("reason", [BreakReason.GARBLED, BreakReason.ABANDONED])
def test_an_answer_that_is_spoilt_blames_nobody(clock, reason):
    harness = ForwardingHarness(clock, engine=None)
    request, _, _ = plain(harness, attempts=1)
    harness.pool.connections[0].break_off(reason)
    assert harness.crashes.crash_count(request.content_key) == 0


def test_an_endpoint_that_left_as_announced_blames_nobody(clock):
    """Guards against suspecting what was in flight when an engine was reclaimed."""
    harness = ForwardingHarness(clock, engine=None)
    request, _, _ = plain(harness, attempts=1)
    side = harness.pool.connections[0]
    leaving = harness.registry.entries_by_id[side.address[0]]
    harness.registry.observe_leaving(leaving)
    crash(harness, side)
    assert harness.crashes.crash_count(request.content_key) == 0
