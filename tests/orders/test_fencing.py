"""Orders with fencing numbers: a paused issuer's old order never reaches any engine."""

import pytest
from twisted.internet import defer
from twisted.internet.error import ConnectError

from guavacleat.orders import issue_order
from guavacleat.orders.issue import (
    ORDER_TIMEOUT,
    OrderLostError,
    OrderRefusedError,
    send_order,
)
from guavacleat.protocol.gen.sidecar.ttypes import NotRun, Order, StaleOrder
from guavacleat.sidecar.handler import SidecarHandler
from guavacleat.standin.engine import Engine
from guavacleat.standin.sequences import EngineSettings
from tests.conftest import result_of


class OnePool:
    """Reaches one sidecar's handler in place of a thrift connection."""

    def __init__(self, handler):
        self.handler = handler

    def client(self, address):
        return defer.succeed(self.handler)


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


def _frozen(order):
    return defer.Deferred()


SEND_FAULTS = [
    # (endpoint, kind, what replaces the sidecar's order call, error)
    ("e1", "weights", None, OrderRefusedError),
    ("e9", "model", None, OrderRefusedError),
    ("e1", "model", lambda order: defer.fail(StaleOrder(fencing=1, newest=2)), OrderRefusedError),
    ("e1", "model", lambda order: defer.fail(ConnectError()), OrderRefusedError),
    ("e1", "model", lambda order: defer.fail(ConnectionResetError()), OrderLostError),
    ("e1", "model", _frozen, OrderLostError),
]


@pytest.mark.parametrize("endpoint,kind,call,error", SEND_FAULTS)
def test_order_that_fails_says_whether_it_applied(
    clock, store, stub_http, endpoint, kind, call, error
):
    """
    Symptom: an operator is left not knowing whether an engine took an order.
    Sequence: the order is malformed, names no endpoint, is overtaken, or its answer is lost.
    Cause: refused and unknown are different; each needs its own remedy.
    """
    handler = SidecarHandler("e1", EngineAdapter(Engine(clock, EngineSettings())), store, clock)
    if call is not None:
        handler.order = call
    result_of(store.put("endpoints", "e1", {"address": "a"}, 0), stub_http.flush)
    sending = send_order(clock, store, OnePool(handler), endpoint, kind, "v1")
    for _ in range(4):
        stub_http.flush()
    clock.advance(ORDER_TIMEOUT)
    with pytest.raises(error):
        result_of(sending, stub_http.flush)


def test_order_reaches_the_engine(clock, store, stub_http):
    engine = Engine(clock, EngineSettings())
    handler = SidecarHandler("e1", EngineAdapter(engine), store, clock)
    result_of(store.put("endpoints", "e1", {"address": "a"}, 0), stub_http.flush)
    sending = send_order(clock, store, OnePool(handler), "e1", "adapter", "nl-legal")
    for _ in range(5):
        stub_http.flush()
    assert result_of(sending, stub_http.flush) == 1
    assert engine.loaded_by_kind == {"adapter": "nl-legal"}
