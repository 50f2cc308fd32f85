"""Tests of the use of accounts over all gateways."""

import pytest

from guavacleat.admission.account_usage import CACHE_SECONDS, MAX_ACCOUNTS, AccountUsage
from guavacleat.peers import PeerTable
from guavacleat.peers.backlogs import MAX_ACCOUNT_TOKENS
from guavacleat.peers.report import GatewayReport, decode_report, encode_report
from tests.peers.fleet import Fleet


@pytest.fixture
def usage(clock):
    return AccountUsage(clock, PeerTable(clock))


def observe(usage, tokens_by_account, name="g"):
    report = GatewayReport(name, 1, 1, {}, tokens_by_account=tokens_by_account)
    usage.peers.observe(decode_report(encode_report(report)))
    usage.clock.advance(CACHE_SECONDS)


def test_account_with_two_fifths_of_the_use_of_24_gateways_is_penalised(usage):
    """Through many gateways, an account must not get as many shares as there are gateways."""
    usage.record("a", 400)
    usage.record("local", 600)
    assert usage.penalty("a") == 0.0
    for number in range(23):
        observe(usage, {"a": 400, f"local-{number}": 600}, f"g{number}")
    assert usage.penalty("a") == 1.0 and usage.penalty("local") == usage.penalty(None) == 0.0
    assert usage.largest_share() == pytest.approx(0.4)


def test_idle_account_that_becomes_active_goes_before_the_largest(usage):
    """Capacity must not stay with the account that had it, nor its penalty after it stopped."""
    usage.record("old", 750)
    usage.record("new", 250)
    assert usage.penalty("new") == 0.0 and usage.penalty("old") == pytest.approx(0.5)
    usage.clock.advance(20)
    usage.record("new", 250)
    assert usage.penalty("old") == 0.0 and usage.largest() == {"new": 312, "old": 187}


def test_restarted_gateway_penalises_by_the_use_of_its_peers():
    """A restart must not reset the use of the account that fills the fleet."""
    fleet = Fleet(2, 1)
    fleet.pass_time(1.0)
    remote, restarted = (gateway.account_usage for gateway in fleet.gateways.values())
    remote.record("a", 9000)
    fleet.pass_time(1.0)
    assert restarted.penalty("a") == 1.0 and restarted.largest() == {}


def test_absurd_use_and_unknown_accounts_of_a_peer_are_dropped(usage):
    """A faulty peer must neither blame an account nor shrink the fair share by made-up names."""
    usage.is_known = {"a", "b"}.__contains__
    usage.record("b", 100)
    observe(usage, {"a": MAX_ACCOUNT_TOKENS + 1, "b": -9, "made up": 10**6})
    assert usage.penalty("a") == 0.0 and usage.largest_share() == 1.0


def test_many_small_requests_count_among_more_accounts_than_are_kept(usage):
    """Memory must stay bounded, and small requests must not hide a large use."""
    for number in range(2 * MAX_ACCOUNTS):
        usage.record(f"other-{number}", 1000)
        for _ in range(100):
            usage.record("small", 50)
    assert len(usage.use_by_account) == MAX_ACCOUNTS and len(usage.largest()) == 8
    assert usage.penalty("small") == 1.0
