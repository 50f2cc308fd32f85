"""Orders with fencing numbers: a delayed order never reaches an engine after a newer one."""

import pytest
from twisted.internet import defer
from twisted.internet.error import ConnectError

from guavacleat.orders import issue_fencing_number
from guavacleat.orders.send import (
    ORDER_TIMEOUT_SECONDS,
    OrderLostError,
    OrderRefusedError,
    send_order,
)
from guavacleat.protocol.gen.sidecar.ttypes import NotRun, Order, StaleOrder
from guavacleat.sidecar.handler import SidecarHandler
from guavacleat.standin.engine import Engine
from guavacleat.standin.sequences import EngineSettings
from tests.conftest import result_of


class SingleHandlerPool:
    """A connection pool that returns one sidecar's handler instead of a thrift client."""

    def __init__(self, handler):
        self.handler = handler

    def client(self, address):
        return defer.succeed(self.handler)


class EngineAdapter:
    """An engine client that calls a stand-in Engine directly."""

    def __init__(self, engine):
        self.engine = engine

    def order(self, kind, target, fencing):
        return defer.succeed(self.engine.order(kind, target, fencing))


@pytest.mark.parametrize("mode", ["refuse", "ignore"])
def test_delayed_order_is_refused_after_a_newer_one(clock, store, stub_http, mode):
    """Guards against an older order that is applied after a newer one.

    Some engines ignore fencing numbers, so the sidecar must refuse the order itself.
    """
    engine = Engine(clock, EngineSettings(fencing=mode))
    handler = SidecarHandler("e1", EngineAdapter(engine), store, clock)
    older = result_of(issue_fencing_number(store, "e1"), stub_http.flush)
    newer = result_of(issue_fencing_number(store, "e1"), stub_http.flush)
    result_of(handler.order(Order("model", "v2", newer)), stub_http.flush)
    with pytest.raises(StaleOrder):
        result_of(handler.order(Order("model", "v1", older)), stub_http.flush)
    assert engine.loaded_by_kind == {"model": "v2"}


def test_store_unreachable_refuses_order_as_not_run(clock, store, store_app, stub_http):
    engine = Engine(clock, EngineSettings(fencing="ignore"))
    handler = SidecarHandler("e1", EngineAdapter(engine), store, clock)
    fencing = result_of(issue_fencing_number(store, "e1"), stub_http.flush)
    store_app.faults.outage = True
    with pytest.raises(NotRun):
        result_of(handler.order(Order("model", "v1", fencing)), stub_http.flush)
    assert engine.loaded_by_kind == {}


def test_order_checked_slowly_does_not_overtake_a_newer_one(clock, store, store_app, stub_http):
    """Guards against a sidecar that checks and forwards orders concurrently.

    An order whose check is answered late must not overtake a newer one.
    """
    engine = Engine(clock, EngineSettings(fencing="ignore"))
    handler = SidecarHandler("e1", EngineAdapter(engine), store, clock)
    first = result_of(issue_fencing_number(store, "e1"), stub_http.flush)
    store_app.faults.delay = 2.0
    slow = handler.order(Order("model", "v1", first))
    stub_http.flush()
    store_app.faults.delay = 0.0
    second = result_of(issue_fencing_number(store, "e1"), stub_http.flush)
    newer = handler.order(Order("model", "v2", second))
    stub_http.flush()
    clock.advance(2.0)
    stub_http.flush()
    slow.addErrback(lambda failure: failure.trap(StaleOrder))
    result_of(newer, stub_http.flush)
    assert engine.loaded_by_kind == {"model": "v2"}


def _never_answers(order):
    return defer.Deferred()


SEND_FAULTS = [
    # (endpoint, kind, what replaces the sidecar's order call, error)
    ("e1", "weights", None, OrderRefusedError),
    ("e9", "model", None, OrderRefusedError),
    ("e1", "model", lambda order: defer.fail(StaleOrder(fencing=1, newest=2)), OrderRefusedError),
    ("e1", "model", lambda order: defer.fail(ConnectError()), OrderRefusedError),
    ("e1", "model", lambda order: defer.fail(ConnectionResetError()), OrderLostError),
    ("e1", "model", _never_answers, OrderLostError),
]


@pytest.mark.parametrize("endpoint,kind,call,error", SEND_FAULTS)
def test_error_of_an_order_says_whether_it_was_applied(
    clock, store, stub_http, endpoint, kind, call, error
):
    """Guards against an error that does not say whether the order may have been applied."""
    handler = SidecarHandler("e1", EngineAdapter(Engine(clock, EngineSettings())), store, clock)
    if call is not None:
        handler.order = call
    result_of(store.put("endpoints", "e1", {"address": "a"}, 0), stub_http.flush)
    sending = send_order(clock, store, SingleHandlerPool(handler), endpoint, kind, "v1")
    for _ in range(4):
        stub_http.flush()
    clock.advance(ORDER_TIMEOUT_SECONDS)
    with pytest.raises(error):
        result_of(sending, stub_http.flush)


def test_order_reaches_the_engine(clock, store, stub_http):
    engine = Engine(clock, EngineSettings())
    handler = SidecarHandler("e1", EngineAdapter(engine), store, clock)
    result_of(store.put("endpoints", "e1", {"address": "a"}, 0), stub_http.flush)
    sending = send_order(clock, store, SingleHandlerPool(handler), "e1", "adapter", "nl-legal")
    for _ in range(5):
        stub_http.flush()
    assert result_of(sending, stub_http.flush) == 1
    assert engine.loaded_by_kind == {"adapter": "nl-legal"}
