"""Tests of endpoint selection: load, failures, peers' reports, backups and moves."""

import pytest

from guavacleat.membership.entries import EndpointState
from guavacleat.peers import PeerTable
from guavacleat.peers.report import GatewayReport
from guavacleat.placement import EndpointLoad, Run
from guavacleat.placement.choice import (
    BACKUP_HOLDOFF_SECONDS,
    BACKUP_MEMORY_SHARE,
    FAILURE_WINDOW_SECONDS,
)
from guavacleat.placement.engine_choice import GenerationDemand
from guavacleat.placement.turn_loads import TurnLoads
from guavacleat.routes import RequestKind
from tests.forwarding.harness import ENGINE, ForwardingHarness


@pytest.fixture
def harness(clock):
    return ForwardingHarness(clock, names=("e1", "e2"))


def place(harness, tokens=1000):
    request, _ = harness.request(kind=RequestKind.STREAM, prompt_tokens=tokens)
    return harness.context.placement.choose_for_generation(request, set()).id


def test_generations_spread_over_engines(harness):
    for number in range(4):
        found = place(harness)
        harness.load.begin(found, Run(f"r{number}", peak_tokens=1000, pending_prefill_tokens=900))
    assert [harness.load.local(id).runs for id in ("e1", "e2")] == [2, 2]


def test_request_goes_to_the_engine_with_less_pending_prefill(harness):
    """First tokens must not wait for prefills while another engine has none pending."""
    for number in range(3):
        harness.load.begin("e1", Run(f"a{number}", peak_tokens=3000, pending_prefill_tokens=2900))
        harness.load.begin("e2", Run(f"b{number}", peak_tokens=3000, pending_prefill_tokens=0))
    assert place(harness) == "e2"


def test_engine_without_memory_is_avoided(harness):
    harness.load.begin("e1", Run("a", peak_tokens=ENGINE.memory_tokens))
    for number in range(6):
        harness.load.begin("e2", Run(f"b{number}", peak_tokens=2000, pending_prefill_tokens=300))
    assert place(harness) == "e2"


def test_runs_reported_by_peers_count(harness, clock):
    """Gateways that counted only their own runs would all choose the same engine."""
    harness.load.peers = PeerTable(clock)
    harness.load.peers.observe(GatewayReport("g2", 1, 1, {"e1": EndpointLoad(5, 15000, 6000)}))
    assert place(harness) == "e2"


def test_failing_endpoint_is_avoided_for_the_failure_window(harness, clock):
    request, _ = harness.request()
    for _ in range(3):
        harness.load.record_failure("e1")
    choose = harness.context.placement.choose_for_plain_request
    assert {choose(request, set()).id for _ in range(20)} == {"e2"}
    clock.advance(FAILURE_WINDOW_SECONDS)
    assert {choose(request, set()).id for _ in range(20)} == {"e1", "e2"}


def test_backups_need_free_memory(harness):
    request, _ = harness.request(kind=RequestKind.STREAM)
    source = harness.registry.entries_by_id["e1"]
    room = int(ENGINE.memory_tokens * BACKUP_MEMORY_SHARE)
    harness.load.begin("e2", Run("b", peak_tokens=room - 1000))
    assert harness.context.placement.choose_backup_target(request, source, 1000).id == "e2"
    assert harness.context.placement.choose_backup_target(request, source, 1001) is None


def test_no_backups_shortly_after_an_engine_left(harness, clock):
    """The initial copies of backups must not delay the moves off a leaving engine."""
    request, _ = harness.request(kind=RequestKind.STREAM)
    source = harness.registry.entries_by_id["e1"]
    harness.set_endpoint("e3")
    harness.set_endpoint("e3", state=EndpointState.DRAINING)
    assert harness.context.placement.choose_backup_target(request, source, 1000) is None
    clock.advance(BACKUP_HOLDOFF_SECONDS)
    assert harness.context.placement.choose_backup_target(request, source, 1000).id == "e2"


def test_move_prefers_the_data_centre_of_the_source(harness):
    request, _ = harness.request(kind=RequestKind.STREAM)
    source = harness.registry.entries_by_id["e1"]
    harness.set_endpoint("far", data_centre="other")
    harness.load.begin("e2", Run("b", peak_tokens=ENGINE.memory_tokens // 2))
    assert harness.context.placement.choose_move_target(request, source, 1000, set()).id == "e2"
    harness.load.begin("e2", Run("c", peak_tokens=ENGINE.memory_tokens // 2))
    assert harness.context.placement.choose_move_target(request, source, 1000, set()).id == "far"


def test_assigned_generations_count_before_they_are_in_the_tracker(harness):
    """Guards against several waiting generations that are assigned the same room in one turn."""
    placement, loads = harness.context.placement, TurnLoads(harness.load)
    demand = GenerationDemand(ENGINE, ENGINE.memory_tokens - 1000, 500, True, False)
    ready = placement.ready_for_peers("svc")
    found = []
    while (engine := placement.choose_for_waiting(ready, demand, loads)) is not None:
        loads.add(engine.id, demand)
        found.append(engine.id)
    assert found == ["e1", "e2"]
    assert harness.load.total("e1").runs == 0
    request, _ = harness.request(kind=RequestKind.STREAM, prompt_tokens=2000)
    assert placement.choose_for_generation(request, set(), loads) is None
    assert placement.choose_for_generation(request, set()) is not None
