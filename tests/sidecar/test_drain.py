"""A sidecar that is stopping refuses new work from the first moment, before the store hears."""

import pytest
from twisted.internet import defer

from guavacleat.membership import EndpointRecord, Lease
from guavacleat.protocol.gen.sidecar.ttypes import NotRun, StartRequest
from guavacleat.sidecar import SidecarService
from guavacleat.sidecar.handler import SidecarHandler
from guavacleat.sidecar.streams import IDLE_SECONDS
from tests.conftest import result_of


class FakeEngine:
    def __init__(self):
        self.generated = 0

    def generate(self, *args, **kwargs):
        self.generated += 1
        return defer.succeed(("s1", "g1"))


class FakePort:
    def stopListening(self):  # noqa: N802 - Twisted's name
        return defer.succeed(None)


def test_start_during_slow_draining_write_is_refused(clock, store, store_app, stub_http):
    """
    Symptom: an endpoint that is leaving still takes new generations.
    Sequence: SIGTERM; the sidecar writes draining=true to a slow store; a start arrives
    while that write is in flight.
    Cause: the sidecar set its own refusal only after the store answered.
    """
    sidecar = SidecarService(clock, "e1", "svc", "dc", ("127.0.0.1", 0), "http://e", "http://s")
    engine = FakeEngine()
    sidecar.handler.engine = engine
    sidecar.port = FakePort()
    sidecar.lease = Lease(clock, store, EndpointRecord("e1", "svc", "dc", "127.0.0.1:1"))
    store_app.faults.delay = 5.0
    sidecar.running = True
    sidecar.stopService()
    stub_http.flush()
    request = StartRequest("r", "svc", "acc", 0, "p", 5, [])
    with pytest.raises(NotRun):
        result_of(sidecar.handler.start(request))
    assert engine.generated == 0
    clock.advance(5)
    stub_http.flush()


def test_drain_waits_for_a_start_under_way(clock, store):
    """
    Symptom: a planned stop cuts off a request that had just been accepted.
    Sequence: a start is on its way to the engine; SIGTERM; the engine answers the start.
    Cause: only streams already open counted, so the drain was over before the answer came.
    """
    engine = FakeEngine()
    starting = defer.Deferred()
    engine.generate = lambda *args, **kwargs: starting
    handler = SidecarHandler("e1", engine, store, clock)
    started = handler.start(StartRequest("r", "svc", "acc", 0, "p", 5, []))
    drained = handler.begin_drain()
    assert not drained.called
    starting.callback(("s1", "g1"))
    assert result_of(started).stream_id == "s1" and not drained.called
    handler.streams.close("s1")
    assert drained.called


def test_stream_nobody_reads_is_cancelled(clock, store):
    """
    Symptom: an engine is full of answers nobody gets, and its sidecar never finishes draining.
    Sequence: a gateway starts a stream and dies; nobody pulls it any more.
    Cause: a stream ended only when it was pulled to its end or cancelled by its gateway.
    """
    engine = FakeEngine()
    cancelled = []
    engine.cancel = lambda stream_id: defer.succeed(cancelled.append(stream_id))
    handler = SidecarHandler("e1", engine, store, clock)
    result_of(handler.start(StartRequest("r", "svc", "acc", 0, "p", 5, [])))
    drained = handler.begin_drain()
    clock.advance(IDLE_SECONDS)
    handler.cancel_idle()
    assert cancelled == []
    clock.advance(0.1)
    handler.cancel_idle()
    assert cancelled == ["s1"] and drained.called


def test_stop_after_a_takeover_is_graceful_too(clock, store):
    """
    Symptom: a sidecar that was replaced dies with an error instead of exiting 0.
    Sequence: its endpoint is taken over, so it drains; then it is stopped and drains again.
    Cause: the second drain fired the first one's Deferred a second time.
    """
    handler = SidecarHandler("e1", FakeEngine(), store, clock)
    assert handler.begin_drain().called
    assert handler.begin_drain().called
