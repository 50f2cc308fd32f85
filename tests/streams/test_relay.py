"""The stream relay against fake sidecars that fail in the ways listed in the tables."""

import pytest
from twisted.internet import defer

from guavacleat.admission.dispatcher import Dispatcher
from guavacleat.config.model import Limits
from guavacleat.errors import NotRunError
from guavacleat.membership import MembershipView
from guavacleat.metrics import StreamMetrics
from guavacleat.protocol.gen.sidecar.ttypes import NotRun, StartReply, TokenBatch, UnknownStream
from guavacleat.routing import get_router_by_name
from guavacleat.streams import CompletionRequest, Relay, StreamMismatchError
from guavacleat.streams.endpoint_stream import SIDECAR_CALL_TIMEOUT_SECONDS
from guavacleat.streams.messages import ResumePoint, StreamBrokenError
from tests.conftest import result_of

LIMITS = Limits(queue_per_account=4, in_flight_per_endpoint=2, retry_after=1.5)


class FakeSidecar:
    """Replies to ``start`` with ``start_outcome``, to ``pull`` from a list of batches or errors."""

    def __init__(self, name, batches, start_outcome=None):
        self.name = name
        self.batches = list(batches)
        self.start_outcome = start_outcome
        self.started = 0

    def start(self, request):
        self.started += 1
        if isinstance(self.start_outcome, Exception):
            return defer.fail(self.start_outcome)
        return defer.succeed(StartReply(stream_id=f"s-{self.name}", generation=f"g-{self.name}"))

    def pull(self, stream_id, cursor, wait_ms):
        item = self.batches.pop(0)
        return defer.fail(item) if isinstance(item, Exception) else defer.succeed(item)


class FakePool:
    def __init__(self, sidecars_by_address):
        self.sidecars_by_address = sidecars_by_address

    def client(self, address):
        return defer.succeed(self.sidecars_by_address[address])

    def discard(self, address):
        pass


class ListSink:
    disconnected = False

    def __init__(self):
        self.tokens = []
        self.reason = None

    def token(self, index, text):
        self.tokens.append((index, text))

    def end(self, reason):
        self.reason = reason

    def set_handle(self, handle):
        self.handle = handle


def batch(generation, first, tokens, finished=False):
    return TokenBatch(generation, first, tokens, finished, "stop" if finished else "", 0)


def announce(view, sidecars, beat=1):
    """Let the sidecars write to the store that they are alive."""
    for sidecar in sidecars:
        view.observe(
            {
                "name": sidecar.name,
                "service": "enquiry-lm",
                "data_centre": "nasr-a",
                "address": sidecar.name,
                "draining": False,
                "beat": beat,
            }
        )


def make_relay(clock, sidecars):
    view = MembershipView(clock)
    announce(view, sidecars)
    pool = FakePool({sidecar.name: sidecar for sidecar in sidecars})
    dispatcher = Dispatcher(clock, view, get_router_by_name("least-loaded", clock))
    return Relay(clock, view, dispatcher, pool, StreamMetrics())


def request(clock, repeatable=True, resume=None):
    return CompletionRequest(
        "r1", "enquiry-lm", "acc", "interactive", 0, "p", 10, None, 0.0, repeatable, resume
    )


def test_tokens_delivered_once_in_order_across_batches(clock):
    sidecar = FakeSidecar("a", [batch("g-a", 0, ["x", "y"]), batch("g-a", 2, ["z"], True)])
    sink = ListSink()
    result_of(make_relay(clock, [sidecar]).run(request(clock), LIMITS, sink))
    assert sink.tokens == [(0, "x"), (1, "y"), (2, "z")] and sink.reason == "stop"


PULL_FAULTS = [
    # (replies to pulls, error the relay must raise, tokens sent before it)
    ([batch("g-other", 0, ["x"])], StreamMismatchError, 0),
    ([batch("g-a", 0, ["x"]), batch("g-a", 0, ["x"])], StreamMismatchError, 1),
    ([batch("g-a", 0, ["x"]), batch("g-a", 3, ["w"])], StreamMismatchError, 1),
    ([batch("g-a", 0, ["x"]), ConnectionResetError()], StreamBrokenError, 1),
]


@pytest.mark.parametrize("batches,error,sent", PULL_FAULTS)
def test_pull_fault_fails_the_stream_before_a_wrong_token(clock, batches, error, sent):
    """Guards against delivering repeated, skipped or another request's tokens."""
    sink = ListSink()
    relay = make_relay(clock, [FakeSidecar("a", batches)])
    with pytest.raises(error):
        result_of(relay.run(request(clock), LIMITS, sink))
    assert len(sink.tokens) == sent


def test_refused_start_is_retried_on_another_endpoint(clock):
    refusing = FakeSidecar("a", [], start_outcome=NotRun("draining", 200))
    healthy = FakeSidecar("b", [batch("g-b", 0, ["x"], True)])
    sink = ListSink()
    result_of(make_relay(clock, [refusing, healthy]).run(request(clock), LIMITS, sink))
    assert sink.tokens == [(0, "x")] and refusing.started + healthy.started == 2


def test_all_endpoints_refusing_is_not_run_with_retry_after(clock):
    """Guards against a caller that waits although every endpoint has refused the request."""
    refusing = [FakeSidecar(n, [], start_outcome=NotRun("draining", 200)) for n in "ab"]
    with pytest.raises(NotRunError) as caught:
        result_of(make_relay(clock, refusing).run(request(clock), LIMITS, ListSink()))
    assert caught.value.retry_after == LIMITS.retry_after


class ResumingSidecar(FakeSidecar):
    """Records the resume tokens of the last start."""

    def __init__(self, name, batches, expected_resume):
        super().__init__(name, batches)
        self.expected_resume = expected_resume
        self.received_resume_tokens = None

    def start(self, request):
        self.received_resume_tokens = list(request.resume_tokens or [])
        return super().start(request)


def test_failed_stream_is_resumed_on_another_endpoint(clock):
    """Guards against failing a stream that another endpoint could resume."""
    failing = FakeSidecar("a", [batch("g-a", 0, ["x", "y"]), ConnectionResetError()])
    replacement = ResumingSidecar("b", [batch("g-b", 2, ["z", "w"], True)], ["x", "y"])
    sink = ListSink()
    result_of(make_relay(clock, [failing, replacement]).run(request(clock), LIMITS, sink))
    assert sink.tokens == [(0, "x"), (1, "y"), (2, "z"), (3, "w")]
    assert replacement.received_resume_tokens == ["x", "y"] and sink.reason == "stop"


UNKNOWN_OUTCOMES = [
    # (outcome of the start, replies to pulls); in each case the call may have run.
    (None, [ConnectionResetError(), ConnectionResetError()]),
    (None, [batch("g-a", 0, ["x"]), ConnectionResetError(), ConnectionResetError()]),
    (ConnectionResetError(), []),
]


@pytest.mark.parametrize("start_outcome,pulls", UNKNOWN_OUTCOMES)
def test_non_repeatable_call_never_starts_on_a_second_endpoint(clock, start_outcome, pulls):
    """Guards against running a non-repeatable call twice after a lost reply."""
    first = FakeSidecar("a", pulls, start_outcome=start_outcome)
    second = FakeSidecar("b", pulls, start_outcome=start_outcome)
    relay = make_relay(clock, [first, second])
    with pytest.raises(StreamBrokenError):
        result_of(relay.run(request(clock, repeatable=False), LIMITS, ListSink()))
    assert first.started + second.started == 1


def test_lost_start_reply_is_not_reported_as_not_run(clock):
    """Guards against a NotRunError for a request that an endpoint may have started."""
    sidecars = [FakeSidecar(n, [], start_outcome=ConnectionResetError()) for n in "ab"]
    with pytest.raises(StreamBrokenError):
        result_of(make_relay(clock, sidecars).run(request(clock), LIMITS, ListSink()))
    assert [sidecar.started for sidecar in sidecars] == [1, 1]


def test_failed_pull_is_retried_on_the_same_endpoint(clock):
    """Guards against a needless prefill on another engine after a single connection reset."""
    pulls = [batch("g-a", 0, ["x", "y"]), ConnectionResetError(), batch("g-a", 2, ["z"], True)]
    recovering, spare = FakeSidecar("a", pulls), FakeSidecar("b", [])
    sink = ListSink()
    relay = make_relay(clock, [recovering, spare])
    relay.router.begin("b")
    result_of(relay.run(request(clock), LIMITS, sink))
    assert [text for _, text in sink.tokens] == ["x", "y", "z"]
    assert (recovering.started, spare.started) == (1, 0)


def test_start_timeout_is_followed_by_another_endpoint(clock):
    """Guards against waiting without limit for a sidecar that does not reply to a start."""
    unresponsive = FakeSidecar("a", [])
    unresponsive.start = lambda request: defer.Deferred()
    healthy = FakeSidecar("b", [batch("g-b", 0, ["x"], True)])
    sink = ListSink()
    relay = make_relay(clock, [unresponsive, healthy])
    relay.router.begin("b")
    running = relay.run(request(clock), LIMITS, sink)
    clock.advance(SIDECAR_CALL_TIMEOUT_SECONDS)
    result_of(running)
    assert sink.tokens == [(0, "x")]


def test_repeatable_stream_is_not_pulled_after_a_disconnect(clock):
    """Guards against generating tokens for a caller that has disconnected."""
    sidecar = FakeSidecar("a", [batch("g-a", 0, ["x"]), batch("g-a", 1, ["y"], True)])
    sink = ListSink()
    sink.token = lambda index, text: setattr(sink, "disconnected", True)
    progress = result_of(make_relay(clock, [sidecar]).run(request(clock), LIMITS, sink))
    assert progress.finish_reason == "caller_left" and len(sidecar.batches) == 1


RECONNECTS = [
    # (the old endpoint's replies to pulls, endpoint that must serve the rest)
    ([batch("g-a", 2, []), batch("g-a", 2, ["z"], True)], "a"),
    ([UnknownStream("s-a")], "b"),
    ([ConnectionResetError()], "b"),
    ([batch("g-of-another-caller", 2, ["secret"])], "b"),
]


@pytest.mark.parametrize("old_answers,served_by", RECONNECTS)
def test_reconnecting_caller_resumes_after_its_last_token(clock, old_answers, served_by):
    """Guards against repeated tokens, or another caller's tokens, after a reconnect."""
    old = FakeSidecar("a", old_answers)
    spare = ResumingSidecar("b", [batch("g-b", 2, ["z"], True)], ["x", "y"])
    relay = make_relay(clock, [old, spare])
    relay.router.begin("a")
    point = ResumePoint.from_handle(ResumePoint("a", "s-a", "g-a").handle(), ["x", "y"])
    sink = ListSink()
    result_of(relay.run(request(clock, resume=point), LIMITS, sink))
    assert sink.tokens == [(2, "z")] and sink.reason == "stop"
    assert (spare.received_resume_tokens == ["x", "y"]) is (served_by == "b")
    assert ResumePoint.from_handle(sink.handle, []).endpoint == served_by
