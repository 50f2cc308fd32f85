"""Orders with fencing numbers: a paused issuer's old order never reaches any engine."""

import pytest
from twisted.internet import defer

from guavacleat.orders import issue_order
from guavacleat.protocol.gen.sidecar.ttypes import Order, StaleOrder
from guavacleat.sidecar.handler import SidecarHandler
from guavacleat.standin.engine import Engine, EngineSettings
from tests.conftest import result_of


class EngineAdapter:
    """Calls a stand-in Engine directly, as the HTTP client would."""

    def __init__(self, engine):
        self.engine = engine

    def order(self, kind, target, fencing):
        return defer.succeed(self.engine.order(kind, target, fencing))


@pytest.mark.parametrize("mode", ["refuse", "ignore"])
def test_paused_issuer_cannot_apply_old_order(clock, store, stub_http, mode):
    """
    Symptom: an engine loads an old model version after a newer order was applied.
    Sequence: issuer A takes fencing number 1 and pauses; issuer B takes 2 and orders v2;
    A wakes, still believing it holds the lease, and sends its order for v1.
    Cause: engines of some deployments ignore fencing numbers; the sidecar must refuse for them.
    """
    engine = Engine(clock, EngineSettings(fencing=mode))
    handler = SidecarHandler("e1", EngineAdapter(engine), store, clock)
    paused = result_of(issue_order(store, "e1"), stub_http.flush)
    newer = result_of(issue_order(store, "e1"), stub_http.flush)
    result_of(handler.order(Order("model", "v2", newer)), stub_http.flush)
    with pytest.raises(StaleOrder):
        result_of(handler.order(Order("model", "v1", paused)), stub_http.flush)
    assert engine.loaded_by_kind == {"model": "v2"}


def test_store_unreachable_refuses_order_as_not_run(clock, store, store_app, stub_http):
    from guavacleat.protocol.gen.sidecar.ttypes import NotRun

    engine = Engine(clock, EngineSettings(fencing="ignore"))
    handler = SidecarHandler("e1", EngineAdapter(engine), store, clock)
    fencing = result_of(issue_order(store, "e1"), stub_http.flush)
    store_app.faults.outage = True
    with pytest.raises(NotRun):
        result_of(handler.order(Order("model", "v1", fencing)), stub_http.flush)
    assert engine.loaded_by_kind == {}


def test_order_checked_slowly_does_not_pass_a_newer_one(clock, store, store_app, stub_http):
    """
    Symptom: as above, through one sidecar and with both issuers awake.
    Sequence: the check of order 1 is answered slowly; order 2 is issued, checked and forwarded
    meanwhile; then order 1's check returns.
    Cause: the sidecar checked and forwarded orders side by side.
    """
    engine = Engine(clock, EngineSettings(fencing="ignore"))
    handler = SidecarHandler("e1", EngineAdapter(engine), store, clock)
    first = result_of(issue_order(store, "e1"), stub_http.flush)
    store_app.faults.delay = 2.0
    slow = handler.order(Order("model", "v1", first))
    stub_http.flush()
    store_app.faults.delay = 0.0
    second = result_of(issue_order(store, "e1"), stub_http.flush)
    newer = handler.order(Order("model", "v2", second))
    stub_http.flush()
    clock.advance(2.0)
    stub_http.flush()
    slow.addErrback(lambda failure: failure.trap(StaleOrder))
    result_of(newer, stub_http.flush)
    assert engine.loaded_by_kind == {"model": "v2"}
