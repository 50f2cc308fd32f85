"""Which answer when: no configuration, no route, no key, held bytes, errors of our own."""

import pytest
from eliot import add_destinations, remove_destination

from guavacleat.http1.messages import RequestHead
from guavacleat.http1.server import CallerExchange
from guavacleat.ingress.dispatch import LAST_STREAM_SECONDS, Dispatch
from guavacleat.ingress.metrics import IngressMetrics
from guavacleat.peers import PeerTable
from guavacleat.peers.report import GatewayReport
from guavacleat.peers.table import RESTART_SECONDS
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
    return Dispatch(holder, harness.context, IngressMetrics(), 100, PeerTable(harness.clock))


def ask(dispatch, path="/keyed/x", key=b"k1", host=b"h:80", body=b""):
    caller = FakeCaller()
    headers = [(b"host", host), (b"id", b"r1"), (b"key", key)]
    dispatch.handle(CallerExchange(caller, RequestHead(b"GET", path.encode(), headers), body))
    return caller


@pytest.mark.parametrize("path,key", [("/added/x", b"k1"), ("/keyed/x", b"added")])
def test_a_gateway_that_is_behind_turns_nobody_away_for_good(dispatch, clock, path, key):
    """
    Symptom: callers of a route or with a key that a confirmed version added get 404 or 401 now and
    then, which ends their request for good.
    Sequence: one gateway, on a thin link or cut off from the store, still has the version before;
    the balancer sends it a caller.
    Cause: it answered by its own version, although its peers had told a newer one.
    """
    dispatch.peers.observe(GatewayReport("g2", 1, 1, {}, configuration=2))
    caller = ask(dispatch, path, key)
    assert caller.head[0] == 503
    dispatch.holder.offer(table(version=2))
    assert ask(dispatch, path, key).head[0] in (404, 401)
    dispatch.peers.observe(GatewayReport("g2", 1, 2, {}, configuration=3))
    clock.advance(60)
    assert ask(dispatch, path, key).head[0] in (404, 401), "of a peer that is gone"


def test_a_known_key_reaches_an_endpoint(dispatch, harness):
    caller = ask(dispatch)
    harness.pool.connections[0].answer(body=b"ok")
    assert (caller.head[0], caller.data) == (200, b"ok")


ANSWERS = [
    ({"path": "/nowhere/"}, 404),
    ({"host": b"unknown"}, 404),
    ({"key": b"k9"}, 401),
    ({"key": b""}, 401),
]


@pytest.mark.parametrize("request_changes,status", ANSWERS)
def test_what_the_configuration_does_not_allow_is_refused(
    dispatch, harness, request_changes, status
):
    caller = ask(dispatch, **request_changes)
    assert caller.head[0] == status and caller.complete
    assert harness.pool.connections == []


def test_a_public_route_asks_for_no_key(dispatch, harness):
    ask(dispatch, path="/open/x", key=b"k9")
    assert len(harness.pool.connections) == 1


def test_without_configuration_nothing_is_denied(harness):
    """
    Symptom: callers are told that a route does not exist, right after a restart.
    Sequence: a gateway starts while the store is away; a request for a known route comes.
    Cause: a gateway that knows no configuration can only ask the caller to come back.
    """
    dispatch = Dispatch(
        RouteHolder(), harness.context, IngressMetrics(), 100, PeerTable(harness.clock)
    )
    caller = ask(dispatch)
    assert caller.head[0] == 503
    assert float(caller.head[1][b"retry-after"]) > 0


def test_bodies_beyond_the_bound_are_refused_as_not_run(dispatch):
    ask(dispatch, body=b"x" * 80)
    caller = ask(dispatch, body=b"x" * 80)
    assert caller.head[0] == 503
    assert dispatch.held_bytes == 80


def test_a_stopping_gateway_takes_only_what_it_can_finish(dispatch, harness):
    """
    Symptom: a request that came seconds after SIGTERM ends with a closed connection.
    Sequence: all gateways of a data centre are stopped in turn, so callers are sent to stopping
    ones too; a stream comes three seconds after SIGTERM and is cut when the process ends.
    Cause: what cannot be finished must be refused as not run, so that another gateway gets it.
    """
    dispatch.stop_at(harness.clock.seconds() + 7.5)
    harness.clock.advance(LAST_STREAM_SECONDS + 0.1)
    caller = ask(dispatch, path="/stream/x")
    assert caller.head[0] == 503
    assert float(caller.head[1][b"retry-after"]) > 0
    ask(dispatch)
    harness.pool.connections[0].answer(body=b"ok")
    harness.clock.advance(7.5 - LAST_STREAM_SECONDS - 0.6)
    assert ask(dispatch).head[0] == 503


def test_a_stopping_gateway_takes_a_short_stream_at_first(dispatch, harness):
    dispatch.stop_at(harness.clock.seconds() + 7.5)
    ask(dispatch, path="/stream/x")
    assert len(harness.pool.connections) == 1


def test_a_stopping_gateway_refuses_a_long_stream_at_once(dispatch, harness, monkeypatch):
    dispatch.stop_at(harness.clock.seconds() + 7.5)
    parse = harness.context.wire.parse_request_metadata

    def long(headers):
        found = parse(headers)
        found.max_output_tokens = 5000
        return found

    monkeypatch.setattr(harness.context.wire, "parse_request_metadata", long)
    assert ask(dispatch, path="/stream/x").head[0] == 503


def test_an_error_of_our_own_promises_nothing(dispatch, monkeypatch):
    """
    Symptom: a caller repeats a request that has run, after an answer that said it had not.
    Sequence: the gateway itself fails in the middle of a request.
    Cause: the request may have been sent; only 502 claims nothing.
    """

    async def fail(request):
        raise RuntimeError("defect")

    monkeypatch.setattr(dispatch.plain, "forward", fail)
    caller = ask(dispatch)
    assert caller.head[0] == 502
    assert dispatch.in_flight == 0


def test_requests_are_counted_by_outcome(dispatch, harness):
    ask(dispatch, key=b"k9")
    ask(dispatch)
    harness.pool.connections[0].answer(body=b"ok")
    text = dispatch.metrics.exposition().decode()
    assert 'outcome="UNKNOWN_KEY"' in text
    assert 'outcome="ANSWERED"' in text


@pytest.fixture
def ends():
    """The ``request:end`` lines written during the test."""
    lines = []

    def keep(message):
        if message.get("message_type") == "request:end":
            lines.append(message)

    add_destinations(keep)
    # The first destination is given what was logged before there was one.
    lines.clear()
    yield lines
    remove_destination(keep)


def test_a_refused_request_is_logged_with_its_id(dispatch, ends):
    """
    Symptom: nothing in the logs has the id of a request that a caller complains of.
    Sequence: its key or route is not known.
    Cause: the id was taken from the matched request, and none was matched.
    """
    ask(dispatch, key=b"k9")
    [line] = ends
    assert (line["request"], line["outcome"]) == ("r1", "UNKNOWN_KEY")


def test_a_cut_stream_is_not_logged_as_left_by_its_caller(dispatch, harness, ends):
    """
    Symptom: a cut stream is taken for one whose caller left.
    Sequence: its endpoint breaks off in the middle; the gateway closes the caller's connection.
    Cause: a closed connection was read as the caller's doing.
    """
    ask(dispatch, path="/stream/x")
    side = harness.pool.connections[0]
    side.begin()
    side.body_bytes(encode_event(1))
    side.break_off()
    assert [line["outcome"] for line in ends] == ["CUT"]


def test_a_caller_that_closes_after_its_whole_answer_was_answered(dispatch, harness, ends):
    caller = ask(dispatch)
    caller.send_end = lambda: setattr(caller, "open", False)
    harness.pool.connections[0].answer(body=b"ok")
    assert [line["outcome"] for line in ends] == ["ANSWERED"]


STOPS = [
    # (seconds until each peer's process ends, None: it is not being stopped; what is told)
    ([], 7.5 + RESTART_SECONDS),
    ([None], 0.1),
    ([2.0, None], 0.1),
    ([2.0, 5.0], 2.0 + RESTART_SECONDS),
    ([20.0], 7.5 + RESTART_SECONDS),
]


@pytest.mark.parametrize("stops, retry_after", STOPS)
def test_a_caller_is_told_when_a_gateway_is_back(
    dispatch, harness, monkeypatch, stops, retry_after
):
    """
    Symptom: callers are refused twice and give up while gateways are stopped in turn.
    Sequence: all gateways are being stopped; each refuses a long stream and sends it on at once.
    Cause: a stopping gateway did not know that the others were stopping too.
    """
    for number, stops_in in enumerate(stops):
        dispatch.peers.observe(GatewayReport(f"g{number}", 1, 1, {}, stops_in=stops_in))
    dispatch.stop_at(harness.clock.seconds() + 7.5)
    monkeypatch.setattr(dispatch.generation_speed, "seconds_per_token", 60.0)
    dispatch.holder.table.services_by_name["svc"] = ServiceTraits("svc", 10, ENGINE)
    caller = ask(dispatch, path="/stream/x")
    assert caller.head[0] == 503
    assert float(caller.head[1][b"retry-after"]) == pytest.approx(retry_after)


@pytest.mark.parametrize("path, late", [("/open/x", True), ("/stream/x", False)])
def test_an_answer_is_late_by_its_goal_and_a_stream_only_by_its_first_event(
    dispatch, harness, ends, path, late
):
    """
    Symptom: a report puts most streams down as late.
    Sequence: a stream's first event comes at once, its last one after the route's goal.
    Cause: the goal of a stream is for its first event.
    """
    ask(dispatch, path)
    side = harness.pool.connections[0]
    side.begin()
    side.body_bytes(encode_event(1))
    harness.clock.advance(0.5)
    side.end()
    assert [line["late"] for line in ends] == [late]
