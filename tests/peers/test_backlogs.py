"""Tests of waiting generations, use of accounts and loads in reports."""

import pytest

from guavacleat.admission.backlog import MAX_RANKS, Backlog, RankBacklog, WaitingGeneration
from guavacleat.peers import PeerTable
from guavacleat.peers.backlogs import MAX_TOKENS
from guavacleat.peers.report import GatewayReport, decode_report, encode_report
from guavacleat.placement import EndpointLoad


def head(**changes):
    fields = dict(
        key=7, rank=2, slack=1.25, expected_tokens=3800, prompt_tokens=3000, deferrable=True
    )
    return WaitingGeneration(**{**fields, **changes})


def exchange(loads=None, **fields):
    return decode_report(encode_report(GatewayReport("g1", 1, 1, loads or {}, **fields)))


def fields_of(item):
    return {slot: getattr(item, slot) for slot in item.__slots__}


def test_report_carries_what_waits_by_rank_and_the_first_in_order():
    backlog = Backlog(1, 2, 3, {2: RankBacklog(2, 7600, 3, 9000)}, (head(),))
    received = exchange(backlogs_by_service={"s": backlog}).backlogs_by_service["s"]
    assert fields_of(received.backlogs_by_rank[2]) == fields_of(RankBacklog(2, 7600, 3, 9000))
    assert [fields_of(item) for item in received.heads] == [fields_of(head())]


def test_report_carries_loads_and_use_of_accounts():
    load = EndpointLoad(1, 3000, 0, 2500, 3000, 64, 640_000)
    report = exchange({"e1": load}, tokens_by_account={"a": 12})
    assert fields_of(report.loads_by_endpoint["e1"]) == fields_of(load)
    assert report.tokens_by_account == {"a": 12}


@pytest.mark.parametrize(
    "changes",
    [{"expected_tokens": 0}, {"prompt_tokens": -1}, {"rank": -1}, {"rank": MAX_RANKS}],
    ids=str,
)
def test_absurd_heads_of_a_peer_are_dropped_and_the_rest_is_used(changes):
    """One absurd element must not stop the other elements of a peer's report from being used."""
    backlog = Backlog(1, 1, 1, {0: RankBacklog(-1, 0, 0, 0)}, (head(**changes), head(key=8)))
    received = exchange(backlogs_by_service={"s": backlog}).backlogs_by_service["s"]
    assert [item.key for item in received.heads] == [8]
    assert received.backlogs_by_rank == {}


@pytest.mark.parametrize("rank", [-1, MAX_RANKS])
def test_backlog_of_an_absurd_rank_is_dropped(rank):
    """A rank before all others would make every gateway expect a wait for it."""
    backlog = Backlog(1, 1, 1, {rank: RankBacklog(1, 100, 0, 0), 2: RankBacklog(2, 200, 0, 0)})
    received = exchange(backlogs_by_service={"s": backlog}).backlogs_by_service["s"]
    assert list(received.backlogs_by_rank) == [2]


def test_absurd_tokens_of_a_peer_are_dropped():
    """A peer with a fault must not make an account or an engine look infinitely used."""
    loads = {"e1": EndpointLoad(1, 3000, 0, MAX_TOKENS + 1)}
    report = exchange(loads, tokens_by_account={"a": MAX_TOKENS + 1, "b": -5, "c": 1})
    assert report.loads_by_endpoint["e1"].held_tokens == 0
    assert report.tokens_by_account == {"c": 1}


def test_summary_contains_only_fresh_heads_with_their_present_slack(clock):
    """A summary must not present as fresh what a silent neighbour reported a second ago."""
    table = PeerTable(clock)
    backlogs = {"s": Backlog(1, 1, 0, {}, (head(slack=1.0),))}
    table.observe(GatewayReport("g1", 1, 1, {}, backlogs_by_service=backlogs))
    clock.advance(0.2)
    [found] = table.neighbour_backlogs()
    assert [item.slack for item in found["s"].heads] == [pytest.approx(0.8)]
    clock.advance(0.2)
    [found] = table.neighbour_backlogs()
    assert (found["s"].waiting, found["s"].heads) == (1, ())
