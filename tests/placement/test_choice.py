"""Where requests go: room, prompts still to read, failures, peers' runs, backups' memory."""

import pytest

from guavacleat.membership.registry import EndpointState
from guavacleat.peers import PeerTable
from guavacleat.peers.report import GatewayReport
from guavacleat.placement import EndpointLoad, Run
from guavacleat.placement.choice import (
    BACKUP_MEMORY,
    BACKUP_QUIET_SECONDS,
    FAILURE_MEMORY_SECONDS,
)
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
        harness.load.begin(found, Run(f"r{number}", peak_tokens=1000, unread_tokens=900))
    assert [harness.load.local(id).runs for id in ("e1", "e2")] == [2, 2]


def test_a_new_prompt_goes_where_fewer_wait_to_be_read(harness):
    """
    Symptom: first tokens come two seconds late while another engine reads nothing.
    Sequence: two prompts wait on one engine; the other runs as much, all of it read.
    Cause: an engine reads prompts one after the other, between the tokens of the others.
    """
    for number in range(3):
        harness.load.begin("e1", Run(f"a{number}", peak_tokens=3000, unread_tokens=2900))
        harness.load.begin("e2", Run(f"b{number}", peak_tokens=3000, unread_tokens=0))
    assert place(harness) == "e2"


def test_an_engine_without_memory_is_the_last_choice(harness):
    harness.load.begin("e1", Run("a", peak_tokens=ENGINE.memory_tokens))
    for number in range(6):
        harness.load.begin("e2", Run(f"b{number}", peak_tokens=2000, unread_tokens=300))
    assert place(harness) == "e2"


def test_peers_runs_count(harness, clock):
    """
    Symptom: every gateway sends to the same engine.
    Sequence: a peer runs much on one engine; this gateway runs nothing.
    Cause: an engine's load is that of all gateways.
    """
    harness.load.peers = PeerTable(clock)
    harness.load.peers.observe(GatewayReport("g2", 1, 1, {"e1": EndpointLoad(5, 15000, 6000)}))
    assert place(harness) == "e2"


def test_a_failing_endpoint_is_avoided_and_then_tried_again(harness, clock):
    for _ in range(3):
        harness.load.record_failure("e1")
    calls = [harness.context.placement.choose_for_call("svc", set()).id for _ in range(20)]
    assert set(calls) == {"e2"}
    clock.advance(FAILURE_MEMORY_SECONDS)
    calls = [harness.context.placement.choose_for_call("svc", set()).id for _ in range(20)]
    assert set(calls) == {"e1", "e2"}


def test_backups_go_only_where_memory_is_free(harness):
    source = harness.registry.entries_by_id["e1"]
    room = int(ENGINE.memory_tokens * BACKUP_MEMORY)
    harness.load.begin("e2", Run("b", peak_tokens=room - 1000))
    assert harness.context.placement.choose_backup_target(source, 1000, ENGINE).id == "e2"
    assert harness.context.placement.choose_backup_target(source, 1001, ENGINE) is None


def test_no_backups_while_engines_are_taken_away(harness, clock):
    """
    Symptom: half of the streams on an engine that leaves are cut, though its link could carry them.
    Sequence: engines leave one after the other; streams that begin meanwhile get backups.
    Cause: a backup begins by copying the whole prompt, over the links that the copies off the
    leaving engine need.
    """
    source = harness.registry.entries_by_id["e1"]
    harness.set_endpoint("e3")
    harness.set_endpoint("e3", state=EndpointState.DRAINING)
    assert harness.context.placement.choose_backup_target(source, 1000, ENGINE) is None
    clock.advance(BACKUP_QUIET_SECONDS)
    assert harness.context.placement.choose_backup_target(source, 1000, ENGINE).id == "e2"


def test_a_move_stays_in_its_data_centre_if_there_is_room(harness):
    source = harness.registry.entries_by_id["e1"]
    harness.set_endpoint("far", data_centre="other")
    harness.load.begin("e2", Run("b", peak_tokens=ENGINE.memory_tokens // 2))
    assert harness.context.placement.choose_move_target(source, 1000, ENGINE, set()).id == "e2"
    harness.load.begin("e2", Run("c", peak_tokens=ENGINE.memory_tokens // 2))
    assert harness.context.placement.choose_move_target(source, 1000, ENGINE, set()).id == "far"
