"""A sidecar that is stopping refuses new work from the first moment, before the store hears."""

import pytest
from twisted.internet import defer

from guavacleat.membership import EndpointRecord, Lease
from guavacleat.protocol.gen.sidecar.ttypes import NotRun, StartRequest
from guavacleat.sidecar import SidecarService
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
