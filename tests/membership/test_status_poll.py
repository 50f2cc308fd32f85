"""Polling of endpoints' status while the store is unreachable and engines leave.

Engines leave 1.5 s after their notice; a watch detects a store that accepts calls without
answering after 2.8 s.
"""

import gc

import pytest
from twisted.internet import defer

from guavacleat.forwarding.messages import EndpointStatus
from guavacleat.http1.calls import CallBrokenError
from guavacleat.membership.entries import EndpointState
from guavacleat.membership.registry import EndpointRegistry
from guavacleat.membership.status_poll import (
    POLL_INTERVAL_SECONDS,
    STORE_SILENCE_ALONE_SECONDS,
    STORE_SILENCE_SECONDS,
    EndpointStatusPoller,
)
from guavacleat.peers import PeerTable
from guavacleat.peers.report import GatewayReport
from guavacleat.placement import EndpointLoad, LoadTracker, Run
from tests.forwarding.harness import make_entry

NOTICE_SECONDS = 1.5
# Enough that rendezvous hashing assigns some to each of two gateways.
ENGINES = tuple(f"e{number}" for number in range(1, 7))


class Status:
    """Fake codec: the body of an answer states whether the endpoint is leaving."""

    def encode_status_request(self):
        return b"GET", b"/status"

    def decode_status(self, status, body):
        return EndpointStatus(body == b"leaving")


class Answer:
    code = 200

    def __init__(self, body):
        self.body = body


class Fleet:
    """A gateway ``g1`` and ``ENGINES`` that run generations.

    ``leaving`` and ``silent`` hold the engines that report that they leave, or do not answer.
    """

    def __init__(self, clock, monkeypatch):
        self.clock = clock
        self.polled = []
        self.leaving = set()
        self.silent = set()
        self.left = []
        monkeypatch.setattr("guavacleat.membership.status_poll.call", self._call)
        self.registry = EndpointRegistry(clock, lambda entry: self.left.append(entry.id))
        self.load = LoadTracker(clock)
        self.peers = PeerTable(clock)
        self.load.peers = self.peers
        for id in ENGINES:
            self.registry.observe(make_entry(id, revision=3))
            self.load.begin(id, Run("r" + id, 3000))
        self.registry.observe(make_entry("idle", revision=3))
        self.registry.record_store_health(True)
        self.poller = EndpointStatusPoller(
            clock, None, Status(), self.registry, self.load, self.peers, "g1"
        )
        self.poller.start()

    async def _call(self, clock, pool, address, method, target, headers, body, timeout):
        self.polled.append(address[0])
        if address[0] in self.silent:
            raise CallBrokenError("silent")
        return Answer(b"leaving" if address[0] in self.leaving else b"staying")

    def receive_report(self, sequence, store_failing, silence=0.0, loads=()):
        self.peers.observe(
            GatewayReport(
                "g2",
                1,
                sequence,
                {id: EndpointLoad(1, 3000) for id in loads},
                store_failing=store_failing,
                store_silence=silence,
            )
        )


@pytest.fixture
def fleet(clock, monkeypatch):
    fleet = Fleet(clock, monkeypatch)
    yield fleet
    fleet.poller.stop()


def pass_time(fleet, seconds, step=0.1):
    for _ in range(round(seconds / step)):
        fleet.clock.advance(step)


def test_no_engine_is_polled_while_the_store_answers(fleet):
    for _ in range(30):
        fleet.registry.record_store_health(True)
        fleet.clock.advance(0.2)
    assert fleet.polled == []


def test_an_engine_that_leaves_in_an_outage_is_detected_within_its_notice(fleet):
    """Guards against streams that break without a migration attempt during a store outage."""
    fleet.registry.record_store_health(False)
    pass_time(fleet, 1)
    fleet.leaving.add("e1")
    pass_time(fleet, NOTICE_SECONDS / 3)
    assert fleet.left == ["e1"]
    assert [entry.id for entry in fleet.registry.ready("svc")] == [*ENGINES[1:], "idle"]


def test_only_engines_that_run_generations_are_polled(fleet):
    """Guards against billed polls of idle engines."""
    fleet.registry.record_store_health(False)
    pass_time(fleet, 3 * POLL_INTERVAL_SECONDS)
    assert set(fleet.polled) == set(ENGINES)


def test_a_store_without_answers_is_detected_by_the_gateways_combined_silence(fleet):
    """Guards against waiting for the watch's timeout, which is longer than an engine's notice."""
    fleet.receive_report(1, store_failing=False, silence=0.5)
    pass_time(fleet, STORE_SILENCE_SECONDS - 0.2)
    assert fleet.polled == []
    fleet.receive_report(2, store_failing=False, silence=1.3)
    pass_time(fleet, 0.2 + POLL_INTERVAL_SECONDS)
    assert fleet.polled


def test_an_answer_to_any_store_call_counts(fleet):
    """Guards against polls while only the endpoint watches wait and other calls are answered."""
    fleet.receive_report(1, store_failing=False, silence=5.0)
    for _ in range(30):
        fleet.registry.record_store_call(True)
        fleet.clock.advance(0.2)
    assert fleet.polled == []


def test_a_gateway_without_a_store_polls_no_engine(fleet):
    """Guards against polls, with logged errors, by a gateway that serves a routes file.

    A store that never answered must not count as an outage.
    """
    fleet.registry.store_answered_at = EndpointRegistry(fleet.clock).store_answered_at
    pass_time(fleet, 2 * STORE_SILENCE_ALONE_SECONDS)
    assert fleet.polled == []


def test_a_gateway_without_peers_waits_for_its_own_watches(fleet):
    pass_time(fleet, STORE_SILENCE_ALONE_SECONDS - 0.3)
    assert fleet.polled == []
    pass_time(fleet, 0.3 + POLL_INTERVAL_SECONDS)
    assert fleet.polled


def test_no_engine_is_polled_while_a_peer_reaches_the_store(fleet):
    fleet.registry.record_store_health(False)
    for sequence in range(1, 20):
        fleet.receive_report(sequence, store_failing=False)
        pass_time(fleet, 0.2)
    assert fleet.polled == []


def test_each_engine_is_polled_by_one_gateway(fleet):
    fleet.registry.record_store_health(False)
    fleet.receive_report(1, store_failing=True, loads=ENGINES)
    pass_time(fleet, 2 * POLL_INTERVAL_SECONDS)
    polled_by_g1 = set(fleet.polled)
    fleet.poller.instance = "g2"
    fleet.receive_report(2, store_failing=True)
    fleet.peers.peers_by_instance["g1"] = fleet.peers.peers_by_instance.pop("g2")
    fleet.peers.peers_by_instance["g1"].report.instance = "g1"
    fleet.polled.clear()
    pass_time(fleet, 2 * POLL_INTERVAL_SECONDS)
    assert polled_by_g1.isdisjoint(fleet.polled)
    assert polled_by_g1 | set(fleet.polled) == set(ENGINES)


def test_an_engine_that_does_not_answer_is_not_marked_as_leaving(fleet):
    fleet.silent = set(ENGINES)
    fleet.registry.record_store_health(False)
    pass_time(fleet, 3)
    assert fleet.left == []


def test_a_polled_status_is_gossiped_and_superseded_by_the_next_store_change(fleet):
    """Guards against an engine without requests after an outage although the store has it ready."""
    fleet.registry.observe_leaving(fleet.registry.entries_by_id["e1"])
    reported = {change.id: change for change in fleet.registry.recent_changes()}
    assert reported["e1"].entry.state is EndpointState.DRAINING
    fleet.registry.observe(make_entry("e1", revision=4))
    assert "e1" in [endpoint.id for endpoint in fleet.registry.ready("svc")]


def test_an_engine_with_a_poll_in_progress_is_not_polled_again(fleet, monkeypatch):
    calls, pending_answers = [], []

    async def call_without_answer(clock, pool, address, *args):
        calls.append(address[0])
        # Referenced, as by a real call's connection: garbage collection would end the poll.
        pending_answers.append(defer.Deferred())
        await pending_answers[-1]

    monkeypatch.setattr("guavacleat.membership.status_poll.call", call_without_answer)
    fleet.registry.record_store_health(False)
    pass_time(fleet, 2 * POLL_INTERVAL_SECONDS)
    gc.collect()
    pass_time(fleet, 2 * POLL_INTERVAL_SECONDS)
    assert sorted(calls) == list(ENGINES)
