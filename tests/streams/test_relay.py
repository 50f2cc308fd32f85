"""Contract of the relay against fake sidecars, with the sidecar's faults in a table."""

import pytest
from twisted.internet import defer

from guavacleat.admission.dispatcher import Dispatcher
from guavacleat.config.model import Limits
from guavacleat.errors import NotRunError
from guavacleat.membership import MembershipView
from guavacleat.metrics import StreamMetrics
from guavacleat.protocol.gen.sidecar.ttypes import NotRun, StartReply, TokenBatch, UnknownStream
from guavacleat.routing import get_router_by_name
from guavacleat.streams import CompletionRequest, Relay, StreamMixupError
from guavacleat.streams.messages import ResumePoint, StreamBrokenError
from guavacleat.streams.serving import START_TIMEOUT
from tests.conftest import result_of

LIMITS = Limits(queue_per_account=4, in_flight_per_endpoint=2, retry_after=1.5)


class FakeSidecar:
    """Answers ``start`` from ``start_outcome`` and ``pull`` from a list of batches or errors."""

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
    gone = False

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


def make_relay(clock, sidecars):
    view = MembershipView(clock)
    for sidecar in sidecars:
        view.observe(
            {
                "name": sidecar.name,
                "service": "enquiry-lm",
                "data_centre": "nasr-a",
                "address": sidecar.name,
                "draining": False,
                "beat": 1,
            }
        )
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
    # (batches the sidecar answers, error the relay must raise, tokens sent before it)
    ([batch("g-other", 0, ["x"])], StreamMixupError, 0),
    ([batch("g-a", 0, ["x"]), batch("g-a", 0, ["x"])], StreamMixupError, 1),
    ([batch("g-a", 0, ["x"]), batch("g-a", 3, ["w"])], StreamMixupError, 1),
    ([batch("g-a", 0, ["x"]), ConnectionResetError()], StreamBrokenError, 1),
]


@pytest.mark.parametrize("batches,error,sent", PULL_FAULTS)
def test_pull_fault_stops_before_a_wrong_token(clock, batches, error, sent):
    """
    Symptom: a caller could see a token twice, skipped, or from another request's generation.
    Sequence: the sidecar answers a pull with a crossed, replayed, skipping or failed batch.
    Cause: a relay that trusted batches blindly would forward them; it must check each.
    """
    sink = ListSink()
    relay = make_relay(clock, [FakeSidecar("a", batches)])
    with pytest.raises(error):
        result_of(relay.run(request(clock), LIMITS, sink))
    assert len(sink.tokens) == sent


def test_not_run_on_one_endpoint_moves_to_the_next(clock):
    refusing = FakeSidecar("a", [], start_outcome=NotRun("draining", 200))
    serving = FakeSidecar("b", [batch("g-b", 0, ["x"], True)])
    sink = ListSink()
    result_of(make_relay(clock, [refusing, serving]).run(request(clock), LIMITS, sink))
    assert sink.tokens == [(0, "x")] and refusing.started + serving.started == 2


def test_all_endpoints_refusing_is_not_run_with_retry_after(clock):
    """
    Symptom: a caller waits with no answer when every endpoint is leaving.
    Sequence: both endpoints refuse to start the request as not run.
    Cause: the refusal must reach the caller at once, with when to come back.
    """
    refusing = [FakeSidecar(n, [], start_outcome=NotRun("draining", 200)) for n in "ab"]
    with pytest.raises(NotRunError) as caught:
        result_of(make_relay(clock, refusing).run(request(clock), LIMITS, ListSink()))
    assert caught.value.retry_after == LIMITS.retry_after


class ResumingSidecar(FakeSidecar):
    """Serves a resumed generation: expects the tokens already sent, continues after them."""

    def __init__(self, name, batches, expected_resume):
        super().__init__(name, batches)
        self.expected_resume = expected_resume
        self.resume_seen = None

    def start(self, request):
        self.resume_seen = list(request.resume_tokens or [])
        return super().start(request)


def test_endpoint_dying_mid_stream_resumes_elsewhere_once_in_order(clock):
    """
    Symptom: a caller's summary stops halfway with an error when its engine dies.
    Sequence: endpoint a sends tokens 0-1, then its link resets; endpoint b is live.
    Cause: the relay gave up on the first link failure instead of re-prefilling elsewhere
    with the tokens already sent and continuing from the cursor.
    """
    dying = FakeSidecar("a", [batch("g-a", 0, ["x", "y"]), ConnectionResetError()])
    taking_over = ResumingSidecar("b", [batch("g-b", 2, ["z", "w"], True)], ["x", "y"])
    sink = ListSink()
    result_of(make_relay(clock, [dying, taking_over]).run(request(clock), LIMITS, sink))
    assert sink.tokens == [(0, "x"), (1, "y"), (2, "z"), (3, "w")]
    assert taking_over.resume_seen == ["x", "y"] and sink.reason == "stop"


RUNS_TWICE = [
    # (first sidecar's start outcome, its pulls): in each the call may have run there.
    (None, [ConnectionResetError(), ConnectionResetError()]),
    (None, [batch("g-a", 0, ["x"]), ConnectionResetError(), ConnectionResetError()]),
    (ConnectionResetError(), []),
]


@pytest.mark.parametrize("start_outcome,pulls", RUNS_TWICE)
def test_non_repeatable_call_never_starts_on_a_second_endpoint(clock, start_outcome, pulls):
    """
    Symptom: a connection record is written twice and a subscriber is charged twice.
    Sequence: the call reaches endpoint a; its start or pull is cut; endpoint b is live.
    Cause: the relay resumed every broken stream elsewhere, which runs the call again.
    """
    first = FakeSidecar("a", pulls, start_outcome=start_outcome)
    second = FakeSidecar("b", pulls, start_outcome=start_outcome)
    relay = make_relay(clock, [first, second])
    with pytest.raises(StreamBrokenError):
        result_of(relay.run(request(clock, repeatable=False), LIMITS, ListSink()))
    assert first.started + second.started == 1


def test_lost_start_answer_is_never_reported_as_not_run(clock):
    """
    Symptom: a lookup refused as "not run" shows up as run in the engine's log.
    Sequence: every endpoint takes the start and its answer is lost.
    Cause: the relay treated "nobody left to try" as not run although a start may have arrived.
    """
    cut = [FakeSidecar(n, [], start_outcome=ConnectionResetError()) for n in "ab"]
    with pytest.raises(StreamBrokenError):
        result_of(make_relay(clock, cut).run(request(clock), LIMITS, ListSink()))
    assert [sidecar.started for sidecar in cut] == [1, 1]


def test_link_cut_on_a_pull_is_read_again_from_the_same_endpoint(clock):
    """
    Symptom: a moment's link cut costs a whole prefill on another engine.
    Sequence: endpoint a sends tokens 0-1; its link resets once; a is well again at once.
    Cause: a pull by cursor is idempotent, so it can be repeated before giving a up.
    """
    pulls = [batch("g-a", 0, ["x", "y"]), ConnectionResetError(), batch("g-a", 2, ["z"], True)]
    serving, spare = FakeSidecar("a", pulls), FakeSidecar("b", [])
    sink = ListSink()
    relay = make_relay(clock, [serving, spare])
    relay.router.begin("b")
    result_of(relay.run(request(clock), LIMITS, sink))
    assert [text for _, text in sink.tokens] == ["x", "y", "z"]
    assert (serving.started, spare.started) == (1, 0)


def test_silent_start_moves_on_after_its_timeout(clock):
    """
    Symptom: a caller on hold hears silence until it hangs up.
    Sequence: the chosen sidecar is frozen and never answers the start; another one is well.
    Cause: the start had no timeout, so the relay waited on the frozen sidecar forever.
    """
    frozen = FakeSidecar("a", [])
    frozen.start = lambda request: defer.Deferred()
    serving = FakeSidecar("b", [batch("g-b", 0, ["x"], True)])
    sink = ListSink()
    relay = make_relay(clock, [frozen, serving])
    relay.router.begin("b")
    running = relay.run(request(clock), LIMITS, sink)
    clock.advance(START_TIMEOUT)
    result_of(running)
    assert sink.tokens == [(0, "x")]


def test_caller_gone_stops_pulling_a_repeatable_stream(clock):
    """
    Symptom: engines fill up with answers nobody reads after callers hang up.
    Sequence: the caller leaves after the first batch; the engine would go on for long.
    Cause: the relay pulled to the end whether or not anybody was listening.
    """
    sidecar = FakeSidecar("a", [batch("g-a", 0, ["x"]), batch("g-a", 1, ["y"], True)])
    sink = ListSink()
    sink.token = lambda index, text: setattr(sink, "gone", True)
    progress = result_of(make_relay(clock, [sidecar]).run(request(clock), LIMITS, sink))
    assert progress.finish_reason == "caller_left" and len(sidecar.batches) == 1


RECONNECTS = [
    # (the old endpoint's answer to the reconnecting pull, endpoint that must serve the rest)
    ([batch("g-a", 2, []), batch("g-a", 2, ["z"], True)], "a"),
    ([UnknownStream("s-a")], "b"),
    ([ConnectionResetError()], "b"),
    ([batch("g-of-another-caller", 2, ["secret"])], "b"),
]


@pytest.mark.parametrize("old_answers,served_by", RECONNECTS)
def test_reconnecting_caller_goes_on_from_its_last_token(clock, old_answers, served_by):
    """
    Symptom: an agent whose gateway died gets the summary again from the start, or another's.
    Sequence: the caller has tokens 0-1 and reconnects to a gateway that never saw the stream;
    the old endpoint still has it, has lost it, is gone, or gave the id to another caller.
    Cause: stream progress lived only in the memory of the gateway that died.
    """
    old = FakeSidecar("a", old_answers)
    spare = ResumingSidecar("b", [batch("g-b", 2, ["z"], True)], ["x", "y"])
    relay = make_relay(clock, [old, spare])
    relay.router.begin("a")
    point = ResumePoint.from_handle(ResumePoint("a", "s-a", "g-a").handle(), ["x", "y"])
    sink = ListSink()
    result_of(relay.run(request(clock, resume=point), LIMITS, sink))
    assert sink.tokens == [(2, "z")] and sink.reason == "stop"
    assert (spare.resume_seen == ["x", "y"]) is (served_by == "b")
    assert ResumePoint.from_handle(sink.handle, []).endpoint == served_by
