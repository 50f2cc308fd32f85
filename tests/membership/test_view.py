"""The gateway's membership view: lease expiry by its own clock, drains, subsets."""

from collections import Counter

from guavacleat.evacuations import EvacuationChange, EvacuationRegister
from guavacleat.membership import MembershipView
from guavacleat.membership.instances import InstancePoller
from guavacleat.membership.lease import LEASE_SECONDS
from guavacleat.membership.view import SUBSET_SIZE
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


def test_endpoint_without_renewal_expires_after_one_lease(clock):
    """Guards against new requests to a crashed or paused sidecar."""
    view = MembershipView(clock)
    view.observe(record("keur-llm-1"))
    clock.advance(LEASE_SECONDS)
    assert [r.name for r in view.live("keur-llm")] == ["keur-llm-1"]
    clock.advance(0.01)
    assert view.live("keur-llm") == []


def test_draining_endpoint_gets_no_new_requests(clock):
    view = MembershipView(clock)
    view.observe(record("keur-llm-1"))
    view.observe(record("keur-llm-2"))
    view.observe(record("keur-llm-1", draining=True, beat=2))
    assert [r.name for r in view.live("keur-llm")] == ["keur-llm-2"]


def test_store_outage_keeps_last_known_endpoints(clock, store, store_app, stub_http):
    """Guards against expiry of all leases in a store outage, when no renewal can be received."""
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
    assert view.live("keur-llm") == [], "a lease not renewed after the outage must expire"


def test_instance_listed_as_leaving_gets_no_new_requests_but_its_replacement_does(
    clock, store, store_app, stub_http
):
    """Guards against new requests to a reclaimed instance, and none to its replacement.

    The list lags: it still names instance i-1 after i-2 has taken the endpoint over.
    """
    view = MembershipView(clock)
    poll = InstancePoller(clock, store, view.set_leaving_instances)
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


def test_large_service_is_split_evenly_and_a_lost_endpoint_is_replaced(clock):
    """Guards against routing over all endpoints, and against equal subsets in all gateways."""
    names = [f"e{number}" for number in range(400)]
    uses = Counter()
    for gateway in range(40):
        view = MembershipView(clock, owner=f"g{gateway}")
        for name in names:
            view.observe(record(name))
        uses.update(r.name for r in view.live("keur-llm"))
    assert sum(uses.values()) == 40 * SUBSET_SIZE and set(uses) == set(names)
    assert max(uses.values()) <= 3 * 40 * SUBSET_SIZE / 400
    before = [r.name for r in view.live("keur-llm")]
    view.observe(record(before[0], draining=True))
    after = [r.name for r in view.live("keur-llm")]
    assert len(after) == SUBSET_SIZE and set(before) - set(after) == {before[0]}


def test_endpoints_of_an_evacuated_data_centre_get_no_new_requests(clock):
    evacuations = EvacuationRegister(clock)
    evacuations.observe_listing((), 1)
    view = MembershipView(clock, evacuations=evacuations)
    view.observe(record("keur-llm-1"))
    evacuations.observe(EvacuationChange("hal-a", 2, True))
    assert view.live("keur-llm") == []
    evacuations.observe(EvacuationChange("hal-a", 3, False))
    assert [r.name for r in view.live("keur-llm")] == ["keur-llm-1"]
