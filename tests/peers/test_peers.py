"""Gateways' reports: any datagram, late and lost ones, silent peers, registration."""

import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet import defer

from guavacleat.membership.registry import EndpointChange, EndpointRegistry, EndpointState
from guavacleat.peers import PeerExchange, PeerTable
from guavacleat.peers.directory import GatewayDirectory
from guavacleat.peers.exchange import NEWS_SECONDS, REPEAT_SECONDS, RETELL_SECONDS
from guavacleat.peers.report import BadReportError, GatewayReport, decode_report, encode_report
from guavacleat.peers.sync import ConfigurationSyncState, EndpointSyncState
from guavacleat.peers.table import PEER_TIMEOUT_SECONDS, RESTART_SECONDS
from guavacleat.placement import EndpointLoad, LoadTracker, Run
from guavacleat.quarantine import CrashTracker
from guavacleat.store import ConflictError, StoredObject, StoreUnavailableError, WatchBatch
from tests.forwarding.harness import make_entry

COUNTS = st.integers(0, 2**31 - 1)
LOADS = st.builds(EndpointLoad, COUNTS, COUNTS, COUNTS)

# A datagram of four packets: a few of them a second are within a gateway's 12 KB.
LARGEST_CRASH_REPORT_BYTES = 6000


@given(st.text(max_size=20), st.dictionaries(st.text(max_size=20), LOADS, max_size=5))
def test_reports_survive_the_wire(instance, loads):
    report = decode_report(encode_report(GatewayReport(instance, 7, 9, loads)))
    assert (report.instance, report.incarnation, report.sequence) == (instance, 7, 9)
    assert {
        id: [getattr(load, slot) for slot in EndpointLoad.__slots__]
        for id, load in report.loads_by_endpoint.items()
    } == {
        id: [getattr(load, slot) for slot in EndpointLoad.__slots__] for id, load in loads.items()
    }


@pytest.mark.parametrize("stops_in", [None, 0.0, 7.5])
def test_a_stop_survives_the_wire(stops_in):
    report = GatewayReport("g1", 1, 1, {}, stops_in=stops_in)
    assert decode_report(encode_report(report)).stops_in == stops_in


@pytest.mark.parametrize("away, silence", [(False, 0.2), (True, 4.5)])
def test_what_a_gateway_hears_of_the_store_survives_the_wire(away, silence):
    sent = GatewayReport("g1", 1, 1, {}, store_away=away, store_silence=silence)
    report = decode_report(encode_report(sent))
    assert (report.store_away, report.store_silence) == (away, silence)


@pytest.mark.parametrize("started_ms", [None, 1778085760007])
def test_the_start_of_an_endpoint_survives_the_wire(started_ms):
    change = EndpointChange("e1", 9, make_entry("e1", revision=9, started_ms=started_ms))
    report = decode_report(encode_report(GatewayReport("g1", 1, 1, {}, [change])))
    assert report.changes[0].entry.started_ms == started_ms


@given(st.binary(max_size=100))
def test_any_datagram_is_a_report_or_refused(data):
    with contextlib.suppress(BadReportError):
        decode_report(data)


def report(instance="g2", incarnation=1, sequence=1, expected=100):
    load = EndpointLoad(1, expected, 0)
    return GatewayReport(instance, incarnation, sequence, {"e1": load})


@pytest.fixture
def book(clock):
    return PeerTable(clock)


def test_a_late_report_does_not_replace_a_newer_one(book):
    book.observe(report(sequence=2, expected=200))
    book.observe(report(sequence=1, expected=100))
    assert book.total("e1").peak_tokens == 200


def test_a_restarted_peer_counts_from_one_again(book):
    """
    Symptom: the load of a restarted gateway is not seen.
    Sequence: a peer at sequence 9 is killed; its next start reports with sequence 1.
    Cause: sequences compare within one incarnation only.
    """
    book.observe(report(sequence=9, expected=900))
    book.observe(report(incarnation=2, sequence=1, expected=100))
    assert book.total("e1").peak_tokens == 100


def test_a_silent_peer_counts_no_more(book, clock):
    book.observe(report())
    clock.advance(PEER_TIMEOUT_SECONDS + 0.1)
    assert book.total("e1").peak_tokens == 0


class FakeStore:
    """Registers gateways; ``failures`` calls fail first, and the name may be taken."""

    def __init__(self, failures=0, taken=False):
        self.failures = failures
        self.taken = taken
        self.written = []

    def put(self, kind, name, value, expected_version):
        if self.failures:
            self.failures -= 1
            return defer.fail(StoreUnavailableError("down"))
        if self.taken and expected_version == 0:
            return defer.fail(ConflictError(kind, name, 0, 5))
        self.written.append((name, value, expected_version))
        return defer.succeed(None)

    def list_objects(self, kind):
        stored = StoredObject(kind, "g2", 1, 1, {"ip": "10.0.0.2", "port": 7200})
        return defer.succeed(WatchBatch(1, [stored]))


class Datagrams:
    def __init__(self):
        self.sent = []

    def write(self, data, address):
        self.sent.append((decode_report(data), address))


@pytest.mark.parametrize(
    "version,told", [(7, 7), (None, None), ((1 << 63) - 1, (1 << 63) - 1), (1 << 63, None)]
)
def test_a_report_tells_the_configuration_in_force_whatever_its_version(version, told):
    sent = GatewayReport("g1", 1, 1, {}, configuration=version)
    assert decode_report(encode_report(sent)).configuration == told


def exchange(clock, store):
    load = LoadTracker(clock)
    registry = EndpointRegistry(clock)
    found = PeerExchange(
        clock,
        GatewayDirectory(clock, store, "g1", ("10.0.0.1", 7200), "dc1"),
        PeerTable(clock),
        load,
        registry,
        ConfigurationSyncState(clock, lambda: None),
        EndpointSyncState(clock),
        CrashTracker(clock),
    )
    found.transport = Datagrams()
    found.startProtocol()
    return found, load


def test_a_gateway_registers_finds_the_others_and_reports_changes(clock):
    found, load = exchange(clock, FakeStore())
    load.begin("e1", Run("r1", peak_tokens=500, unread_tokens=300))
    clock.advance(0.02)
    last, address = found.transport.sent[-1]
    assert address == ("10.0.0.2", 7200)
    assert last.loads_by_endpoint["e1"].peak_tokens == 500
    assert found.gateway_count() == 2


def test_registration_goes_on_until_the_store_answers(clock):
    store = FakeStore(failures=2)
    exchange(clock, store)
    assert store.written == []
    clock.advance(1.1)
    clock.advance(1.1)
    assert [name for name, _, _ in store.written] == ["g1"]


def test_a_name_registered_by_an_earlier_start_is_taken_over(clock):
    store = FakeStore(taken=True)
    exchange(clock, store)
    assert [version for _, _, version in store.written] == [5]


class Registered(FakeStore):
    """Holds this gateway's address already, as an earlier start wrote it."""

    def list_objects(self, kind):
        value = {"ip": "10.0.0.1", "port": 7200, "data_centre": "dc1"}
        return defer.succeed(WatchBatch(5, [StoredObject(kind, "g1", 5, 5, value)]))


def test_an_address_that_is_registered_as_it_is_is_not_written_again(clock):
    store = Registered(taken=True)
    exchange(clock, store)
    assert store.written == []


def summary(instance, sequence=1, gateways=3, expected=100):
    load = EndpointLoad(1, expected, 0)
    return GatewayReport(instance, 1, sequence, {"e1": load}, data_centre="dc2", gateways=gateways)


def test_one_summary_of_a_data_centre_counts_the_fuller_one(book, clock):
    """
    Symptom: engines look twice as full as they are, or empty by turns.
    Sequence: both forwarders of a data centre send its sums; one of them hears half of it.
    Cause: summaries of one data centre must not be added, and the emptier one knows less.
    """
    book.observe(summary("f1", gateways=3, expected=100))
    book.observe(summary("f2", gateways=2, expected=60))
    assert book.total("e1").peak_tokens == 100
    clock.advance(PEER_TIMEOUT_SECONDS - 0.1)
    book.observe(summary("f2", sequence=2, gateways=2, expected=70))
    clock.advance(0.2)
    assert book.total("e1").peak_tokens == 70, "the first one is silent"


def test_a_neighbours_report_and_its_data_centres_summary_are_kept_apart(book):
    book.observe(report(expected=100))
    book.observe(summary("f1", expected=60))
    assert book.total("e1").peak_tokens == 160
    assert [near.instance for near in book.alive()] == ["g2"]


def test_whoever_sends_is_known_from_then_on(clock):
    """
    Symptom: a gateway never hears of one that started after it.
    Sequence: gateways list each other at their start only.
    Cause: the later one sends first, and its address is learnt from its datagram.
    """
    found, _ = exchange(clock, FakeStore())
    found.datagramReceived(encode_report(report("g9")), ("10.0.0.9", 7200))
    assert found.directory.near_by_instance["g9"] == ("10.0.0.9", 7200)


CHANGES = [
    EndpointChange("e1", 5, make_entry("e1")),
    EndpointChange("e1", 6, make_entry("e1", state=EndpointState.DRAINING)),
    EndpointChange("e1", 7, None),
]


@pytest.mark.parametrize("change", CHANGES)
def test_changes_of_endpoints_survive_the_wire(change):
    (found,) = decode_report(encode_report(GatewayReport("g2", 1, 1, {}, [change]))).changes
    assert (found.id, found.revision) == (change.id, change.revision)
    assert (found.entry is None) == (change.entry is None)
    if change.entry is not None:
        assert found.entry.address == change.entry.address
        assert found.entry.state is change.entry.state


def test_a_gateway_without_the_store_hears_of_endpoints_from_its_peers(clock):
    """
    Symptom: streams of one gateway are cut whenever an engine is taken away, others' are not.
    Sequence: the gateway is cut off from the store; an engine drains and another comes; a peer
    reports both.
    Cause: the store was the only way to learn of either.
    """
    found, _ = exchange(clock, FakeStore())
    left = []
    found.registry.on_leaving = left.append
    found.registry.observe(make_entry("e1", revision=1))
    changes = [
        EndpointChange("e1", 5, make_entry("e1", state=EndpointState.DRAINING, revision=5)),
        EndpointChange("e9", 6, make_entry("e9", revision=6)),
    ]
    data = encode_report(GatewayReport("g2", 1, 1, {}, changes))
    found.datagramReceived(data, ("10.0.0.2", 7200))
    assert [gone.id for gone in left] == ["e1"]
    assert [ready.id for ready in found.registry.ready("svc")] == ["e9"]


def test_what_was_learnt_is_told_to_peers(clock):
    found, _ = exchange(clock, FakeStore())
    found.registry.observe(make_entry("e1", revision=3))
    clock.advance(0.02)
    report_sent, _ = found.transport.sent[-1]
    assert [(change.id, change.revision) for change in report_sent.changes] == [("e1", 3)]


def test_plain_requests_cause_no_reports(clock):
    found, load = exchange(clock, FakeStore())
    sent = len(found.transport.sent)
    load.begin("e1", Run("r1"))
    clock.advance(0.1)
    assert len(found.transport.sent) == sent


def test_a_peer_that_is_being_stopped_is_expected_back_after_its_end(book, clock):
    assert book.seconds_until_ready() is None
    book.observe(GatewayReport("g2", 1, 1, {}, stops_in=4.0))
    clock.advance(3.0)
    assert book.seconds_until_ready() == 1.0 + RESTART_SECONDS
    clock.advance(1.0 + RESTART_SECONDS)
    assert book.seconds_until_ready() == 0.0
    clock.advance(PEER_TIMEOUT_SECONDS + 0.1)
    assert book.seconds_until_ready() is None, "it did not come back"
    book.observe(GatewayReport("g3", 1, 1, {}))
    assert book.seconds_until_ready() == 0.0


def test_a_change_is_told_as_news_and_then_now_and_then(clock):
    """
    Symptom: reports are most of what 28 gateways send between data centres.
    Sequence: engines come and go all the time; each report, at every change of load, repeats the
    changes of 15 s to each peer.
    Cause: what all have heard long ago made most of every report.
    """
    found, load = exchange(clock, FakeStore())
    found.registry.observe(make_entry("e1", revision=5))
    sent = []
    for number in range(80):
        found.transport.sent.clear()
        load.begin("e1", Run(f"r{number}", peak_tokens=500))
        clock.advance(0.1)
        sent.append(any(report.changes for report, _ in found.transport.sent))
    news = round(NEWS_SECONDS / 0.1)
    assert all(sent[:news])
    assert 2 <= sum(sent[news + 1 :]) <= 80 * 0.1 / RETELL_SECONDS + 1


# What one datagram can carry.
DATAGRAM_BYTES = 65_507


def test_a_summary_of_400_gateways_fits_a_datagram():
    """
    Pattern: 400 gateways in 7 data centres before 1,700 engines, all of them in use by each data
    centre, 100 of which changed lately.
    """
    ids = [f"i-{number:010x}" for number in range(1700)]
    loads = {id: EndpointLoad(24, 34_000, 3_000) for id in ids}
    changes = [EndpointChange(id, 10**6, make_entry(id, revision=10**6)) for id in ids[:100]]
    told = GatewayReport(
        "front-heliopolis-57",
        1 << 61,
        10**6,
        loads,
        changes,
        data_centre="heliopolis",
        gateways=57,
        endpoints_revision=10**6,
    )
    assert len(encode_report(told)) <= DATAGRAM_BYTES


def test_crashes_are_told_at_once_and_not_with_each_report_of_load(clock):
    """Guards against reports that repeat a rack's worth of crashes many times a second."""
    found, load = exchange(clock, FakeStore())
    book = found.crashes.book
    for number in range(100):
        book.confirm(book.request_interrupted(f"e{number}", number))
    clock.advance(0.02)
    told = [report.crashes for report, _ in found.transport.sent if report.crashes]
    assert sum(len(end.fingerprints) for end in told[-1].ends) == 100
    before = len(told)
    for number in range(100):
        load.begin("e1", Run(f"r{number}", peak_tokens=500))
        clock.advance(0.01)
    told = [report.crashes for report, _ in found.transport.sent if report.crashes]
    assert len(told) - before <= 1.0 / REPEAT_SECONDS + 1


def test_what_is_told_of_crashes_is_bounded(clock):
    found, _ = exchange(clock, FakeStore())
    book = found.crashes.book
    for endpoint in range(200):
        for request in range(40):
            end = book.request_interrupted(f"i-{endpoint:08}", 1000 * endpoint + request)
        book.confirm(end)
    report = found._message({}, found._news, True)
    assert len(encode_report(report)) <= LARGEST_CRASH_REPORT_BYTES
