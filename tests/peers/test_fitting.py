"""Reports fit into a datagram, and what is left out of them leaves the rest true."""

from hypothesis import given
from hypothesis import strategies as st

from guavacleat.admission.backlog import Backlog, WaitingGeneration
from guavacleat.evacuations import EvacuationChange
from guavacleat.membership.entries import EndpointChange, EndpointState
from guavacleat.peers.fitting import MAX_REPORT_BYTES, fit_report
from guavacleat.peers.report import GatewayReport, decode_report, encode_report
from guavacleat.placement import EndpointLoad
from guavacleat.protocol.gen.peers import ttypes
from tests.forwarding.harness import make_entry
from tests.peers.test_peers import FakeStore, make_exchange

MANY = 3000
LISTED_AT = 9000
COUNTS = st.integers(0, 2**31 - 1)
NAMES = st.text(max_size=300)
STATES = st.sampled_from([*EndpointState, None])


def make_change(id, revision, state=EndpointState.READY):
    entry = None if state is None else make_entry(id, state=state, revision=revision)
    return EndpointChange(id, revision, entry)


def make_changes(number, first_revision=1):
    return [make_change(f"i-{n:010x}", first_revision + n) for n in range(number)]


def make_loads(number):
    return {f"i-{n:010x}": EndpointLoad(9, 1000 + n, 700) for n in range(number)}


def make_report(loads=(), changes=(), **fields):
    fields = {"endpoints_revision": LISTED_AT + 10, "changes_since": 0, **fields}
    return GatewayReport("front-nasr-a-35", 1 << 61, 77, dict(loads), changes, **fields)


def test_a_report_that_fits_is_sent_whole():
    report = make_report(make_loads(50), make_changes(50))
    fitted = fit_report(report)
    assert fitted.data == encode_report(report)
    assert not fitted.left_out


@given(
    st.lists(st.tuples(NAMES, COUNTS, STATES), max_size=300),
    st.dictionaries(NAMES, st.builds(EndpointLoad, COUNTS, COUNTS, COUNTS), max_size=300),
    st.lists(NAMES, max_size=40),
    st.integers(0, 300),
    st.one_of(st.none(), COUNTS),
)
def test_any_report_fits_and_tells_which_changes_it_contains(
    changes, loads, data_centres, limits, changes_since
):
    """Guards against reports that claim to be complete without the changes left out."""
    report = make_report(
        loads,
        [make_change(id, revision, state) for id, revision, state in changes],
        changes_since=changes_since,
        evacuations=[EvacuationChange(name, 1, True) for name in data_centres],
        limits=[ttypes.EndpointLimit(f"i-{number:010x}", 0.1, 5.0) for number in range(limits)],
        stops_in=4.5,
    )
    fitted = fit_report(report)
    assert len(fitted.data) <= MAX_REPORT_BYTES
    sent = decode_report(fitted.data)
    assert sent.stops_in == 4.5
    if sent.changes_since is None:
        assert changes_since is None
        return
    sent_changes = {(change.id, change.revision) for change in sent.changes}
    assert all(
        (change.id, change.revision) in sent_changes
        for change in report.changes
        if change.revision > sent.changes_since
    )


def test_endpoints_that_leave_and_the_latest_changes_are_kept():
    """Guards against a drain that peers learn only from the store, for entries that they know."""
    draining = [make_change(f"d{n}", n + 1, EndpointState.DRAINING) for n in range(20)]
    removed = [make_change(f"r{n}", n + 1, None) for n in range(20)]
    latest = make_change("latest", LISTED_AT + 9)
    report = make_report(changes=[*make_changes(MANY, 100), *draining, *removed, latest])
    sent = {change.id for change in decode_report(fit_report(report).data).changes}
    assert {change.id for change in [*draining, *removed, latest]} <= sent


def test_a_listing_is_not_repeated_to_peers_that_have_it():
    """Guards against reports full of what every peer has listed itself."""
    changes = [*make_changes(MANY), make_change("new", LISTED_AT + 1)]
    sent = decode_report(fit_report(make_report(changes=changes, changes_since=LISTED_AT)).data)
    assert [change.id for change in sent.changes] == ["new"]
    assert sent.changes_since == LISTED_AT


def test_loads_and_changes_share_the_room():
    """The largest loads are kept, and neither kind displaces the other."""
    sent = decode_report(fit_report(make_report(make_loads(MANY), make_changes(MANY))).data)
    smallest = min(load.peak_tokens for load in sent.loads_by_endpoint.values())
    assert smallest == 1000 + MANY - len(sent.loads_by_endpoint)
    assert len(sent.loads_by_endpoint) > 100
    assert len(sent.changes) > 50


def test_a_stop_is_announced_soon_after_many_endpoints_were_listed(clock, logged):
    """Guards against an announcement that fails because the report is longer than a datagram."""
    peer_exchange, _ = make_exchange(clock, FakeStore())
    for change in make_changes(MANY):
        peer_exchange.registry.observe(change.entry)
    clock.advance(2.1)
    peer_exchange.announce_stop(clock.seconds() + 7.5)
    last, _ = peer_exchange.transport.sent[-1]
    assert last.stops_in == 7.5
    shortened = [line for line in logged if line["message_type"] == "peer:report-shortened"]
    assert shortened[0]["reports"] == 1


def test_limits_and_crashes_that_do_not_fit_together_are_both_reported(clock, monkeypatch):
    """Guards against limits that give way to crashes in each report that contains them."""
    peer_exchange, _ = make_exchange(clock, FakeStore())
    tracker, register = peer_exchange.crash_gossip.tracker, peer_exchange.limit_gossip.register
    monkeypatch.setattr("guavacleat.peers.fitting.MAX_REPORT_BYTES", 3500)
    for number in range(100):
        register.observe(f"i-{number:010x}", 5.0, clock.seconds())
        for request in range(2):
            crash = tracker.request_interrupted(f"e{number}", 1 << 60 | number << 8 | request)
        tracker.confirm(crash)
    clock.advance(0.02)
    clock.advance(0.02)
    peer_exchange.report()
    parts = [
        (bool(report.crashes), bool(report.limits)) for report, _ in peer_exchange.transport.sent
    ]
    assert parts[-2:] == [(True, False), (False, True)]


def test_accounts_and_waiting_generations_are_left_out_before_loads():
    """Guards against gateways that don't know the loads of engines because something waits."""
    heads = tuple(WaitingGeneration(2**61 + n, 2, 1.0, 3800, 3000, True) for n in range(24))
    fields = dict(
        backlogs_by_service={"s": Backlog(9, 24, 5, {}, heads)},
        tokens_by_account={f"account-{n}": 10**6 + n for n in range(16)},
    )
    bare = len(encode_report(make_report()))
    per_load = (len(encode_report(make_report(make_loads(100)))) - bare) / 100
    full = make_loads(int((MAX_REPORT_BYTES - bare) / per_load) - 10)
    sent = decode_report(fit_report(make_report(full, **fields)).data)
    assert len(sent.loads_by_endpoint) == len(full)
    assert not sent.tokens_by_account and not sent.backlogs_by_service["s"].heads
    assert sent.backlogs_by_service["s"].waiting == 24
