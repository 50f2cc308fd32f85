"""The queue of a contended service at one gateway, with reports of its peers."""

import types

import pytest

from guavacleat.admission.backlog import Backlog, WaitingGeneration, rank_of
from guavacleat.admission.fleet_queue import POLL_SECONDS, REPEAT_SECONDS, TURN_BATCH_SECONDS
from guavacleat.admission.generations import MAX_WAIT_SHARE, GenerationQueue
from guavacleat.admission.head_watch import SEEN_ROOM_SECONDS
from guavacleat.forwarding.refusals import RefusalError, RefusalReason
from guavacleat.membership.entries import EndpointState
from guavacleat.peers import PeerTable
from guavacleat.peers.report import GatewayReport
from guavacleat.peers.table import HEAD_SECONDS, SUMMARY_HEAD_SECONDS
from guavacleat.placement import Run
from guavacleat.routes import Account, RequestKind
from guavacleat.routes.contention import Contention
from tests.forwarding.harness import ENGINE, ForwardingHarness

TIMEOUT = 39.0
LONG = 4.0


class ContendedHarness(ForwardingHarness):
    """One gateway with a contended service and a table of its peers."""

    def __init__(self, clock, names=("e1",)):
        super().__init__(clock, names)
        self.sequence = 0
        self.peers = self.load.peers = PeerTable(clock)
        self.queue = GenerationQueue(clock, self.context.placement, seed=1, peers=self.peers)
        self.load.listeners[:] = [self.queue.schedule_dispatch]
        self.peers.on_report = self.queue.schedule_dispatch
        self.asked = {}

    def ask(self, name, priority=0, output=500, prompt=1000, tried=(), time_left=None):
        """Ask for an engine; results are collected in ``asked`` by name."""
        request, _ = self.request(
            kind=RequestKind.STREAM, timeout=TIMEOUT, prompt_tokens=prompt, max_output_tokens=output
        )
        request.metadata.id, request.metadata.caller_timeout = name, time_left
        request.forecast = types.SimpleNamespace(expected_length=lambda emitted, told: output)
        request.traits.contention = Contention(frozenset({"long"}))
        request.route.name = "long" if priority else "short"
        request.route.latency_goal = LONG if priority else 1.5
        request.account = Account("a", priority)
        results = self.asked[name] = []

        def begin(engine):
            results.append(engine and engine.id)
            if engine is not None:
                run = Run(name, request.expected_tokens(), request.prompt_tokens)
                self.load.begin(engine.id, run)

        deferred = self.queue.acquire(request, set(tried))
        deferred.addCallbacks(begin, lambda failure: results.append(failure.value))
        return deferred

    def occupy(self, free=0, name="e1"):
        run = Run(f"full-{name}", ENGINE.memory_tokens - free)
        self.load.begin(name, run)
        return run

    def turn(self):
        self.clock.advance(TURN_BATCH_SECONDS)

    def report(self, *heads, summary=False):
        """Receive a peer's report with ``heads``."""
        self.sequence += 1
        backlogs = {"svc": Backlog(1, len(heads), 0, {}, heads)}
        place = dict(data_centre="far", gateway_count=3) if summary else {}
        report = GatewayReport("g2", 1, self.sequence, {}, backlogs_by_service=backlogs, **place)
        self.peers.observe(report)


def head(priority=0, slack=0.5, tokens=1500, prompt=1000, key=7):
    deferrable = priority > 0
    rank = rank_of(priority, deferrable)
    return WaitingGeneration(key, rank, slack, tokens, prompt, deferrable)


@pytest.fixture
def harness(clock):
    return ContendedHarness(clock)


def test_all_own_requests_with_room_start_in_one_turn(harness):
    """Guards against random delays between the dispatches of a gateway."""
    run = harness.occupy()
    for number in range(2):
        harness.ask(f"r{number}")
    harness.load.end("e1", run)
    harness.turn()
    assert harness.asked == {"r0": ["e1"], "r1": ["e1"]}


def test_assigned_request_counts_once(harness):
    """Guards against counting a request both as assigned and as a run."""
    run = harness.occupy()
    for number in range(20):
        harness.ask(f"r{number}", output=ENGINE.memory_tokens // 20 - 10, prompt=10)
    harness.load.end("e1", run)
    harness.turn()
    assert all(results == ["e1"] for results in harness.asked.values())


def test_request_that_arrives_during_a_turn_leaves_room_for_assigned_ones(harness):
    """Guards against a retry in a callback that takes the room of the request dispatched next."""
    run = harness.occupy()
    first = harness.ask("first", output=15_000, prompt=0)
    harness.ask("second", output=14_000, prompt=0)
    first.addCallback(lambda _: harness.ask("retry", output=14_000, prompt=0))
    harness.load.end("e1", run)
    harness.turn()
    assert harness.asked == {"first": ["e1"], "second": ["e1"], "retry": []}


def test_room_is_left_to_a_peers_request_until_its_report_is_old(harness):
    """Guards against a silent peer that blocks others, and against passing what is ahead."""
    run = harness.occupy()
    harness.ask("own")
    harness.load.end("e1", run)
    harness.occupy(free=1500)
    harness.report(head())
    harness.turn()
    assert harness.asked["own"] == []
    harness.clock.advance(HEAD_SECONDS)
    harness.clock.advance(POLL_SECONDS)
    assert harness.asked["own"] == ["e1"]


def test_peer_that_does_not_take_the_room_is_passed(harness):
    harness.occupy(free=1500)
    harness.report(head())
    harness.ask("own")
    for _ in range(60):
        harness.report(head())
        harness.clock.advance(0.01)
    assert harness.asked["own"] == ["e1"]
    assert harness.queue.fleet_queues.skipped_heads() == 1
    assert SEEN_ROOM_SECONDS < 0.6


def test_arrival_does_not_pass_what_waits_elsewhere(harness):
    """Guards against new arrivals that take the room of requests queued at other gateways."""
    harness.occupy(free=1500)
    harness.report(head(priority=0))
    harness.ask("less", priority=2)
    harness.report(head(priority=2, slack=3.0))
    harness.ask("more", priority=0)
    assert harness.asked == {"less": [], "more": ["e1"]}


def test_heads_of_a_summary_count_longer_and_lose_slack(harness):
    """A summary of another data centre arrives less often than a neighbour's report."""
    harness.report(head(slack=0.5), summary=True)
    harness.clock.advance(SUMMARY_HEAD_SECONDS - 0.1)
    [(found, age)] = harness.peers.fresh_heads("svc")
    assert (found.slack, age) == (pytest.approx(-0.1), pytest.approx(0.6))
    harness.clock.advance(0.2)
    assert harness.peers.fresh_heads("svc") == []


def test_engine_that_appears_is_used_without_a_notification(harness):
    harness.occupy()
    harness.ask("own")
    harness.set_endpoint("e2")
    harness.clock.advance(POLL_SECONDS)
    assert harness.asked["own"] == ["e2"]


def test_request_that_can_not_use_the_free_engine_does_not_block_others(harness):
    """Guards against idle engines behind a request that has tried them."""
    harness.set_endpoint("e2")
    harness.occupy()
    harness.ask("tried", tried=("e2",))
    harness.ask("other", priority=2)
    assert harness.asked == {"tried": [], "other": ["e2"]}


def test_wait_ends_by_its_deadline_a_stop_or_the_caller(harness):
    harness.occupy()
    gone = harness.ask("gone")
    harness.ask("stopped", priority=2)
    harness.ask("expires")
    gone.cancel()
    refusal = RefusalError(RefusalReason.STOPPING)
    harness.queue.refuse_where(lambda request: refusal if request.priority == 2 else None)
    assert harness.queue.waiting("svc") == 1
    harness.clock.pump([0.1] * round(TIMEOUT * MAX_WAIT_SHARE * 10 + 1))
    assert harness.asked["gone"] == [None]
    assert harness.asked["stopped"] == [refusal]
    assert harness.asked["expires"][0].reason is RefusalReason.NO_ROOM
    assert harness.clock.getDelayedCalls() == []


def test_request_that_returns_keeps_its_place(harness):
    """Guards against callers that wait as told and then start again at the end of the queue."""
    run = harness.occupy()
    harness.ask("new")
    harness.clock.advance(0.2)
    harness.ask("returned", time_left=TIMEOUT - 1.0)
    harness.load.end("e1", run)
    harness.occupy(free=1500)
    harness.turn()
    assert harness.asked == {"new": [], "returned": ["e1"]}


def test_reports_are_repeated_while_something_waits(harness, clock):
    """Guards against heads that get too old for the peers although they still wait."""
    reported_at = []
    harness.queue.listeners.append(lambda: reported_at.append(clock.seconds()))
    harness.occupy()
    harness.ask("own")
    clock.pump([0.01] * 200)
    gaps = [later - earlier for earlier, later in zip(reported_at, reported_at[1:], strict=False)]
    assert REPEAT_SECONDS <= max(gaps) <= 0.24
    assert len(reported_at) < 30


def test_backlog_has_ranks_and_first_heads(harness):
    harness.ask("started")
    harness.load.forget("e1")
    harness.occupy()
    for number in range(12):
        harness.ask(f"r{number}", priority=2 * (number % 2))
    backlog = harness.queue.backlogs_by_service()["svc"]
    assert (backlog.gateways, backlog.waiting, backlog.dispatched) == (1, 12, 1)
    assert {p: rank.waiting for p, rank in backlog.backlogs_by_rank.items()} == {0: 6, 6: 6}
    assert backlog.backlogs_by_rank[0].dispatched_tokens == 1500
    assert [item.rank for item in backlog.heads] == [0] * 6 + [6] * 2


def test_engine_that_leaves_gets_no_waiting_request(harness):
    run = harness.occupy()
    harness.ask("own")
    harness.set_endpoint("e1", state=EndpointState.DRAINING)
    harness.load.end("e1", run)
    harness.turn()
    assert harness.asked["own"] == []


def test_peer_that_reports_a_request_of_this_gateway_is_ignored(harness):
    """Guards against a turn that takes a peer's request for one of its own."""
    run = harness.occupy()
    harness.ask("own")
    [own] = harness.queue.backlogs_by_service()["svc"].heads
    harness.report(head(key=own.key))
    harness.load.end("e1", run)
    harness.turn()
    assert harness.asked["own"] == ["e1"]
