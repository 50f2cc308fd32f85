"""The outage pattern: engines are taken away while no gateway hears the store.

Grounds for the figures: engines go 1.5 s after their notice, one every 3.3 s; outages of the store
last 4 to 9 s; a store that takes calls and says nothing shows to a watch after 2.8 s.
"""

import gc

import pytest
from twisted.internet import defer

from guavacleat.forwarding.messages import EndpointStatus
from guavacleat.http1.calls import CallBrokenError
from guavacleat.membership.registry import EndpointRegistry, EndpointState
from guavacleat.membership.status_poll import (
    ASK_SECONDS,
    STORE_SILENCE_ALONE_SECONDS,
    STORE_SILENCE_SECONDS,
    EndpointStatusPoller,
)
from guavacleat.peers import PeerTable
from guavacleat.peers.report import GatewayReport
from guavacleat.placement import EndpointLoad, LoadTracker, Run
from tests.forwarding.harness import make_entry

NOTICE_SECONDS = 1.5
# So many that two gateways surely share them.
ENGINES = tuple(f"e{number}" for number in range(1, 7))


class Status:
    """Stands in for the wire: an answer's body says whether the endpoint leaves."""

    def encode_status_request(self):
        return b"GET", b"/status"

    def decode_status(self, status, body):
        return EndpointStatus(body == b"leaving")


class Answer:
    code = 200

    def __init__(self, body):
        self.body = body


class Fleet:
    """One gateway ``g1``, with ``ENGINES`` that run generations; ``leaving`` is what they say."""

    def __init__(self, clock, monkeypatch):
        self.clock = clock
        self.asked = []
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
        self.inquiry = EndpointStatusPoller(
            clock, None, Status(), self.registry, self.load, self.peers, "g1"
        )
        self.inquiry.start()

    async def _call(self, clock, pool, address, method, target, headers, body, timeout):
        self.asked.append(address[0])
        if address[0] in self.silent:
            raise CallBrokenError("silent")
        return Answer(b"leaving" if address[0] in self.leaving else b"staying")

    def hear_peer(self, sequence, store_away, silence=0.0, loads=()):
        self.peers.observe(
            GatewayReport(
                "g2",
                1,
                sequence,
                {id: EndpointLoad(1, 3000) for id in loads},
                store_away=store_away,
                store_silence=silence,
            )
        )


@pytest.fixture
def fleet(clock, monkeypatch):
    fleet = Fleet(clock, monkeypatch)
    yield fleet
    fleet.inquiry.stop()


def pass_time(fleet, seconds, step=0.1):
    for _ in range(round(seconds / step)):
        fleet.clock.advance(step)


def test_nobody_is_asked_while_the_store_answers(fleet):
    for _ in range(30):
        fleet.registry.record_store_health(True)
        fleet.clock.advance(0.2)
    assert fleet.asked == []


def test_an_engine_that_leaves_in_an_outage_is_heard_of_well_before_it_goes(fleet):
    """
    Symptom: all streams on an engine are cut, and none was tried to be copied.
    Sequence: the store refuses every call; an engine that runs streams is taken away.
    Cause: its notice is in the store, which nobody reaches.
    """
    fleet.registry.record_store_health(False)
    pass_time(fleet, 1)
    fleet.leaving.add("e1")
    pass_time(fleet, NOTICE_SECONDS / 3)
    assert fleet.left == ["e1"]
    assert [found.id for found in fleet.registry.ready("svc")] == [*ENGINES[1:], "idle"]


def test_only_engines_that_run_generations_are_asked(fleet):
    """Each question is paid for, and an idle engine has nothing to lose."""
    fleet.registry.record_store_health(False)
    pass_time(fleet, 3 * ASK_SECONDS)
    assert set(fleet.asked) == set(ENGINES)


def test_a_store_that_only_falls_silent_is_noticed_by_all_gateways_together(fleet):
    """
    Symptom: streams are cut in the first seconds of an outage.
    Sequence: the store takes calls and answers none; an engine leaves in the same second.
    Cause: each gateway waits for its own watch to run out, longer than a notice.
    """
    fleet.hear_peer(1, store_away=False, silence=0.5)
    pass_time(fleet, STORE_SILENCE_SECONDS - 0.2)
    assert fleet.asked == []
    fleet.hear_peer(2, store_away=False, silence=1.3)
    pass_time(fleet, 0.2 + ASK_SECONDS)
    assert fleet.asked


def test_any_answer_of_the_store_counts(fleet):
    """
    Symptom: engines are asked, at a price, while the store is well.
    Sequence: an endpoint changes, which wakes the endpoint watches of all gateways in step; they
    are silent for over a second. The watches of the configuration come back meanwhile.
    Cause: only the watch of endpoints counted as hearing the store.
    """
    fleet.hear_peer(1, store_away=False, silence=5.0)
    for _ in range(30):
        fleet.registry.record_store_call(True)
        fleet.clock.advance(0.2)
    assert fleet.asked == []


def test_a_gateway_without_a_store_asks_nobody(fleet):
    """
    Symptom: a gateway that serves a routes file logs an error every 0.4 s while a stream runs.
    Sequence: it has no store, so it never hears one; after some seconds it asks its endpoints in a
    form that they do not speak.
    Cause: a store that was never heard was taken for one that fell silent.
    """
    fleet.registry.store_heard_at = EndpointRegistry(fleet.clock).store_heard_at
    pass_time(fleet, 2 * STORE_SILENCE_ALONE_SECONDS)
    assert fleet.asked == []


def test_a_gateway_alone_waits_for_its_own_watches(fleet):
    pass_time(fleet, STORE_SILENCE_ALONE_SECONDS - 0.3)
    assert fleet.asked == []
    pass_time(fleet, 0.3 + ASK_SECONDS)
    assert fleet.asked


def test_a_peer_that_hears_the_store_is_left_to_tell(fleet):
    fleet.registry.record_store_health(False)
    for sequence in range(1, 20):
        fleet.hear_peer(sequence, store_away=False)
        pass_time(fleet, 0.2)
    assert fleet.asked == []


def test_each_engine_is_asked_by_one_gateway(fleet):
    fleet.registry.record_store_health(False)
    fleet.hear_peer(1, store_away=True, loads=ENGINES)
    pass_time(fleet, 2 * ASK_SECONDS)
    mine = set(fleet.asked)
    fleet.inquiry.instance = "g2"
    fleet.hear_peer(2, store_away=True)
    fleet.peers.peers_by_instance["g1"] = fleet.peers.peers_by_instance.pop("g2")
    fleet.peers.peers_by_instance["g1"].report.instance = "g1"
    fleet.asked.clear()
    pass_time(fleet, 2 * ASK_SECONDS)
    assert mine.isdisjoint(fleet.asked)
    assert mine | set(fleet.asked) == set(ENGINES)


def test_an_engine_that_does_not_answer_is_not_taken_for_leaving(fleet):
    fleet.silent = set(ENGINES)
    fleet.registry.record_store_health(False)
    pass_time(fleet, 3)
    assert fleet.left == []


def test_what_an_endpoint_said_goes_to_peers_and_yields_to_the_stores_next_word(fleet):
    """
    Symptom: an engine gets no work after an outage although the store holds it as ready.
    Sequence: it said that it leaves; it started again; the store, back, tells of the new process.
    Cause: what it said must not count for more than any later change in the store.
    """
    fleet.registry.observe_leaving(fleet.registry.entries_by_id["e1"])
    told = {change.id: change for change in fleet.registry.recent_changes()}
    assert told["e1"].entry.state is EndpointState.DRAINING
    fleet.registry.observe(make_entry("e1", revision=4))
    assert "e1" in [found.id for found in fleet.registry.ready("svc")]


def test_the_question_under_way_is_not_asked_twice(fleet, monkeypatch):
    waiting, held = [], []

    async def never(clock, pool, address, *args):
        waiting.append(address[0])
        # Held, as a real call is by its connection: left to the garbage collector, the question
        # would end by itself.
        held.append(defer.Deferred())
        await held[-1]

    monkeypatch.setattr("guavacleat.membership.status_poll.call", never)
    fleet.registry.record_store_health(False)
    pass_time(fleet, 2 * ASK_SECONDS)
    gc.collect()
    pass_time(fleet, 2 * ASK_SECONDS)
    assert sorted(waiting) == list(ENGINES)
