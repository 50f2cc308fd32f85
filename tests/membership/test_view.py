"""Membership as a gateway sees it: leases judged by its own clock, draining endpoints left out."""

from guavacleat.membership import MembershipView
from guavacleat.membership.lease import LEASE_SECONDS


def record(name, draining=False, beat=1):
    return {
        "name": name,
        "service": "keur-llm",
        "data_centre": "hal-a",
        "address": f"127.0.0.1:{beat}",
        "draining": draining,
        "beat": beat,
    }


def test_unrenewed_endpoint_drops_out_after_one_lease(clock):
    """
    Symptom: a dead or paused sidecar keeps receiving new work.
    Sequence: the sidecar renews once, then stops renewing.
    Cause: liveness must lapse by the reader's clock one lease after the last renewal seen.
    """
    view = MembershipView(clock)
    view.observe(record("keur-llm-1"))
    clock.advance(LEASE_SECONDS)
    assert [r.name for r in view.live("keur-llm")] == ["keur-llm-1"]
    clock.advance(0.01)
    assert view.live("keur-llm") == []


def test_draining_endpoint_gets_no_new_work(clock):
    view = MembershipView(clock)
    view.observe(record("keur-llm-1"))
    view.observe(record("keur-llm-2"))
    view.observe(record("keur-llm-1", draining=True, beat=2))
    assert [r.name for r in view.live("keur-llm")] == ["keur-llm-2"]
