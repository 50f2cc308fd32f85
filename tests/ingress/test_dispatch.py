"""Responses of the dispatch: refusals, stop, internal errors, and its log lines."""

import pytest
from eliot import add_destinations, remove_destination

from guavacleat.http1.exchange import CallerExchange
from guavacleat.http1.messages import RequestHead
from guavacleat.ingress.dispatch import STOP_ACCEPT_STREAMS_SECONDS, Dispatch
from guavacleat.ingress.metrics import IngressMetrics
from guavacleat.peers import PeerTable
from guavacleat.peers.report import GatewayReport
from guavacleat.peers.table import GATEWAY_RESTART_SECONDS
from guavacleat.routes import (
    Account,
    Backend,
    CallerLimits,
    RequestKind,
    Route,
    RouteTable,
    ServiceTraits,
)
from guavacleat.routes.holder import RouteHolder
from tests.forwarding.harness import ENGINE, FakeCaller, FakeWire, ForwardingHarness, encode_event


class KeyedWire(FakeWire):
    def parse_request_metadata(self, headers):
        metadata = super().parse_request_metadata(headers)
        metadata.key = dict(headers).get(b"key", b"").decode()
        return metadata


def table(version=1):
    def route(name, public, kind=RequestKind.IDEMPOTENT, timeout=1.0):
        return Route(
            name, "h", f"/{name}/", (Backend("svc", 1),), kind, timeout, 0.1, public=public
        )

    accounts = {"k1": Account("a1")}
    stream = route("stream", True, RequestKind.STREAM, 39.0)
    routes = [route("open", True), route("keyed", False), stream]
    return RouteTable(version, routes, {}, accounts, CallerLimits(), requires_key=True)


@pytest.fixture
def harness(clock):
    harness = ForwardingHarness(clock, engine=None)
    harness.context.wire = KeyedWire()
    return harness


@pytest.fixture
def dispatch(harness):
    holder = RouteHolder()
    holder.offer(table())
    return Dispatch(holder, harness.context, IngressMetrics(), PeerTable(harness.clock))


def send_request(dispatch, path="/keyed/x", key=b"k1", host=b"h:80", body=b""):
    caller = FakeCaller()
    headers = [(b"host", host), (b"id", b"r1"), (b"key", key)]
    dispatch.handle(CallerExchange(caller, RequestHead(b"GET", path.encode(), headers), body))
    return caller


@pytest.mark.parametrize("path,key", [("/added/x", b"k1"), ("/keyed/x", b"added")])
def test_unknown_route_or_key_is_retryable_if_a_peer_is_newer(dispatch, clock, path, key):
    """A gateway with an outdated configuration must not refuse a new route or key for good."""
    dispatch.peers.observe(GatewayReport("g2", 1, 1, {}, configuration_version=2))
    caller = send_request(dispatch, path, key)
    assert caller.head[0] == 503
    dispatch.holder.offer(table(version=2))
    assert send_request(dispatch, path, key).head[0] in (404, 401)
    dispatch.peers.observe(GatewayReport("g2", 1, 2, {}, configuration_version=3))
    clock.advance(60)
    assert send_request(dispatch, path, key).head[0] in (404, 401), "expired peer"


def test_request_with_a_known_key_is_forwarded(dispatch, harness):
    caller = send_request(dispatch)
    harness.pool.connections[0].answer(body=b"ok")
    assert (caller.head[0], caller.data) == (200, b"ok")


ANSWERS = [
    ({"path": "/nowhere/"}, 404),
    ({"host": b"unknown"}, 404),
    ({"key": b"k9"}, 401),
    ({"key": b""}, 401),
]


@pytest.mark.parametrize("request_changes,status", ANSWERS)
def test_unknown_route_or_key_is_refused(dispatch, harness, request_changes, status):
    caller = send_request(dispatch, **request_changes)
    assert caller.head[0] == status and caller.complete
    assert harness.pool.connections == []


def test_public_route_needs_no_key(dispatch, harness):
    send_request(dispatch, path="/open/x", key=b"k9")
    assert len(harness.pool.connections) == 1


def test_request_without_a_configuration_is_retryable(harness):
    """A gateway that starts while the store is unreachable must not deny that a route exists."""
    dispatch = Dispatch(RouteHolder(), harness.context, IngressMetrics(), PeerTable(harness.clock))
    caller = send_request(dispatch)
    assert caller.head[0] == 503
    assert float(caller.head[1][b"retry-after"]) > 0


def test_stopping_gateway_refuses_what_it_cannot_finish(dispatch, harness):
    """A request that cannot finish before the process ends must be refused as not run."""
    dispatch.begin_stop(harness.clock.seconds() + 7.5)
    harness.clock.advance(STOP_ACCEPT_STREAMS_SECONDS + 0.1)
    caller = send_request(dispatch, path="/stream/x")
    assert caller.head[0] == 503
    assert float(caller.head[1][b"retry-after"]) > 0
    send_request(dispatch)
    harness.pool.connections[0].answer(body=b"ok")
    harness.clock.advance(7.5 - STOP_ACCEPT_STREAMS_SECONDS - 0.6)
    assert send_request(dispatch).head[0] == 503


def test_stopping_gateway_accepts_a_short_stream_at_first(dispatch, harness):
    dispatch.begin_stop(harness.clock.seconds() + 7.5)
    send_request(dispatch, path="/stream/x")
    assert len(harness.pool.connections) == 1


def test_stopping_gateway_refuses_a_long_stream_at_once(dispatch, harness, monkeypatch):
    dispatch.begin_stop(harness.clock.seconds() + 7.5)
    parse = harness.context.wire.parse_request_metadata

    def long(headers):
        found = parse(headers)
        found.max_output_tokens = 5000
        return found

    monkeypatch.setattr(harness.context.wire, "parse_request_metadata", long)
    assert send_request(dispatch, path="/stream/x").head[0] == 503


def test_internal_error_is_answered_with_502(dispatch, monkeypatch):
    """The request may have run, so the response must not say that it has not."""

    async def fail(request):
        raise RuntimeError("defect")

    monkeypatch.setattr(dispatch.plain, "forward", fail)
    caller = send_request(dispatch)
    assert caller.head[0] == 502
    assert dispatch.in_flight == 0


def test_requests_are_counted_by_outcome(dispatch, harness):
    send_request(dispatch, key=b"k9")
    send_request(dispatch)
    harness.pool.connections[0].answer(body=b"ok")
    text = dispatch.metrics.exposition().decode()
    assert 'outcome="UNKNOWN_KEY"' in text
    assert 'outcome="ANSWERED"' in text


@pytest.fixture
def end_lines():
    """The ``request:end`` lines logged during the test."""
    lines = []

    def keep(message):
        if message.get("message_type") == "request:end":
            lines.append(message)

    add_destinations(keep)
    # eliot delivers messages buffered earlier to the first destination.
    lines.clear()
    yield lines
    remove_destination(keep)


def test_refused_request_is_logged_with_its_id(dispatch, end_lines):
    """A request without a matching route or account must be found in the logs by its id."""
    send_request(dispatch, key=b"k9")
    [line] = end_lines
    assert (line["request"], line["outcome"]) == ("r1", "UNKNOWN_KEY")


def test_stream_cut_by_its_endpoint_is_not_logged_as_a_disconnect(dispatch, harness, end_lines):
    """The gateway closes the caller's connection when the endpoint fails in mid-stream."""
    send_request(dispatch, path="/stream/x")
    connection = harness.pool.connections[0]
    connection.begin()
    connection.send_body(encode_event(1))
    connection.break_connection()
    assert [line["outcome"] for line in end_lines] == ["CUT"]


def test_disconnect_after_the_whole_response_counts_as_answered(dispatch, harness, end_lines):
    caller = send_request(dispatch)
    caller.send_end = lambda: setattr(caller, "open", False)
    harness.pool.connections[0].answer(body=b"ok")
    assert [line["outcome"] for line in end_lines] == ["ANSWERED"]


STOPS = [
    # (seconds until each peer's process ends, None: it is not stopping; expected retry_after)
    ([], 7.5 + GATEWAY_RESTART_SECONDS),
    ([None], 0.1),
    ([2.0, None], 0.1),
    ([2.0, 5.0], 2.0 + GATEWAY_RESTART_SECONDS),
    ([20.0], 7.5 + GATEWAY_RESTART_SECONDS),
]


@pytest.mark.parametrize("stops, retry_after", STOPS)
def test_retry_after_covers_a_rolling_stop(dispatch, harness, monkeypatch, stops, retry_after):
    """While all gateways are stopping, an immediate retry would be refused again."""
    for number, stops_in in enumerate(stops):
        dispatch.peers.observe(GatewayReport(f"g{number}", 1, 1, {}, stops_in=stops_in))
    dispatch.begin_stop(harness.clock.seconds() + 7.5)
    monkeypatch.setattr(dispatch.generation_speed, "seconds_per_token", 60.0)
    dispatch.holder.table.services_by_name["svc"] = ServiceTraits("svc", 10, ENGINE)
    caller = send_request(dispatch, path="/stream/x")
    assert caller.head[0] == 503
    assert float(caller.head[1][b"retry-after"]) == pytest.approx(retry_after)


@pytest.mark.parametrize("path, late", [("/open/x", True), ("/stream/x", False)])
def test_plain_response_is_late_over_its_goal_and_a_stream_is_not(
    dispatch, harness, end_lines, path, late
):
    """A stream's latency goal applies to its first event, not to its end."""
    send_request(dispatch, path)
    connection = harness.pool.connections[0]
    connection.begin()
    connection.send_body(encode_event(1))
    harness.clock.advance(0.5)
    connection.end()
    assert [line["late"] for line in end_lines] == [late]
