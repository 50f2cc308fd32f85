"""Pauses that endpoints ask a gateway for."""

import pytest
from twisted.internet import defer

from guavacleat.forwarding.plain import PlainForwarder
from guavacleat.forwarding.refusals import RefusalError, RefusalReason
from guavacleat.forwarding.session import StreamSession
from guavacleat.routes import RequestKind
from guavacleat.throttling import PauseRegister
from tests.forwarding.harness import ForwardingHarness

PAUSE = [(b"retry-after", b"3")]


@pytest.fixture
def pauses(clock):
    return PauseRegister(clock)


def test_pause_ends_after_its_time(pauses, clock):
    pauses.observe("e1", 2.0)
    assert pauses.until("e1") == 2.0 and pauses.count() == 1
    clock.advance(2.0)
    assert pauses.until("e1") is None and pauses.count() == 0


def test_shorter_pause_does_not_end_a_longer_one(pauses):
    """Guards against answers to several requests of which the last asks for less."""
    pauses.observe("e1", 3.0)
    pauses.observe("e1", 1.0)
    assert pauses.until("e1") == 3.0


def forward(harness, kind=RequestKind.IDEMPOTENT, timeout=2.0):
    request, _ = harness.request(kind=kind, timeout=timeout)
    if kind is RequestKind.STREAM:
        forwarding = StreamSession(request, harness.context, set()).run()
    else:
        forwarding = PlainForwarder(harness.context).forward(request)
    failures = []
    defer.Deferred.fromCoroutine(forwarding).addErrback(failures.append)
    return failures


def test_connection_that_opens_during_a_pause_gets_no_request(clock, monkeypatch):
    """Guards against requests that were chosen for an endpoint before it turned another away."""
    harness = ForwardingHarness(clock, names=("e1",), engine=None)
    opened, connect = [], harness.pool.connect

    def connect_late(address, **_):
        opened.append(defer.Deferred())
        return opened[-1].addCallback(lambda _: connect(address))

    monkeypatch.setattr(harness.pool, "connect", connect_late)
    first, second = forward(harness), forward(harness)
    opened[0].callback(None)
    harness.pool.connections[0].answer(503, not_run=True, statements=PAUSE)
    opened[1].callback(None)
    assert harness.pool.connections[1].abandoned
    assert all(failures[0].check(RefusalError) for failures in (first, second))


@pytest.mark.parametrize("kind", list(RequestKind))
def test_refused_caller_is_told_when_the_pause_ends(clock, kind):
    harness = ForwardingHarness(clock, names=("e1",))
    forward(harness, kind)
    harness.pool.connections[0].answer(503, not_run=True, statements=PAUSE)
    clock.advance(1.0)
    failures = forward(harness, kind)
    assert failures[0].value.reason is RefusalReason.PAUSED
    assert 2.0 <= failures[0].value.retry_after <= 3.0
    assert len(harness.pool.connections) == 1


def test_generation_with_enough_time_waits_for_the_end_of_a_pause(clock):
    harness = ForwardingHarness(clock, names=("e1",))
    forward(harness, RequestKind.STREAM)
    harness.pool.connections[0].answer(503, not_run=True, statements=PAUSE)
    failures = forward(harness, RequestKind.STREAM, timeout=39.0)
    for _ in range(32):
        clock.advance(0.1)
    assert len(harness.pool.connections) == 2 and not failures


def test_success_with_retry_after_asks_for_no_pause(clock):
    harness = ForwardingHarness(clock, names=("e1",))
    forward(harness)
    harness.pool.connections[0].answer(200, statements=PAUSE)
    forward(harness)
    assert len(harness.pool.connections) == 2
