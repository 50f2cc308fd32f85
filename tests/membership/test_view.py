"""Membership as a gateway sees it: leases judged by its own clock, draining endpoints left out."""

from collections import Counter

from guavacleat.membership import MembershipView
from guavacleat.membership.instances import InstancePoller
from guavacleat.membership.lease import LEASE_SECONDS
from guavacleat.membership.view import SUBSET
from tests.conftest import result_of


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


def test_store_outage_keeps_last_known_endpoints(clock, store, store_app, stub_http):
    """
    Symptom: during a long store outage every request is refused as not run.
    Sequence: an endpoint renews; the store goes down for 60 s; no renewal can be seen.
    Cause: the view lapsed leases by silence, but the silence came from the store, not from the
    endpoint; liveness must stand still while the watch cannot reach the store.
    """
    from guavacleat.store.watch import WatchLoop

    result_of(store.put("endpoints", "keur-llm-1", record("keur-llm-1"), 0), stub_http.flush)
    view = MembershipView(clock)
    loop = WatchLoop(
        clock,
        store,
        "endpoints",
        lambda s: view.observe(s.value),
        wait=1,
        on_health=view.record_store_health,
    )
    loop.start()
    clock.advance(0)
    stub_http.flush()
    store_app.faults.outage = True
    for _ in range(60):
        clock.advance(1)
        stub_http.flush()
    assert [r.name for r in view.live("keur-llm")] == ["keur-llm-1"]
    store_app.faults.outage = False
    for _ in range(int(LEASE_SECONDS) + 6):
        clock.advance(1)
        stub_http.flush()
    assert view.live("keur-llm") == [], "a lease never renewed after the outage must lapse"


def test_instance_listed_as_leaving_gets_no_new_work_but_its_replacement_does(
    clock, store, store_app, stub_http
):
    """
    Symptom: an endpoint on a reclaimed instance keeps getting new work until it dies; or its
    replacement gets none while the list lags.
    Sequence: the platform lists instance i-1 as leaving; then i-2 takes the endpoint over while
    the list still shows i-1.
    Cause: the list was not read; and it names instances, not endpoints.
    """
    view = MembershipView(clock)
    poll = InstancePoller(clock, store, view.instances_leaving)
    view.observe(dict(record("keur-llm-1"), instance="i-1"))
    store_app.instances.change("i-1", "leaving")
    clock.advance(store_app.instances.lag)
    result_of(poll.poll(), stub_http.flush)
    assert view.live("keur-llm") == []
    store_app.faults.outage = True
    result_of(poll.poll(), stub_http.flush)
    assert view.live("keur-llm") == []
    view.observe(dict(record("keur-llm-1", beat=2), instance="i-2"))
    assert [r.instance for r in view.live("keur-llm")] == ["i-2"]


def test_large_service_is_split_evenly_and_a_dead_endpoint_is_replaced(clock):
    """
    Symptom: routing takes a third of a core, or a few engines get all gateways' requests.
    Sequence: 40 gateways see a service of 400 endpoints; one endpoint of a subset dies.
    Cause: each gateway looked at every endpoint, or all at the same few.
    """
    names = [f"e{number}" for number in range(400)]
    uses = Counter()
    for gateway in range(40):
        view = MembershipView(clock, owner=f"g{gateway}")
        for name in names:
            view.observe(record(name))
        uses.update(r.name for r in view.live("keur-llm"))
    assert sum(uses.values()) == 40 * SUBSET and set(uses) == set(names)
    assert max(uses.values()) <= 3 * 40 * SUBSET / 400
    before = [r.name for r in view.live("keur-llm")]
    view.observe(record(before[0], draining=True))
    after = [r.name for r in view.live("keur-llm")]
    assert len(after) == SUBSET and set(before) - set(after) == {before[0]}
