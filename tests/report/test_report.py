"""The report of lost requests, from log lines as the gateways write them."""

import pytest
from absl import flags

from guavacleat.commands import report
from guavacleat.explain import CauseKind, LogIndex, read_lines
from guavacleat.report import Result, Worth, engine_histories, make_ledger
from guavacleat.report.phases import phases_by_span, stream_phases
from guavacleat.report.ranks import rank_stays
from guavacleat.report.tables import engine_table, loss_table, phase_table, rank_table, route_table
from tests.explain.test_explain import ended, line

TERMINATED = [
    line(1.0, "endpoint:changed", endpoint="e1", state="ready", data_centre="a"),
    line(2.0, "stream:placed", request="r1", endpoint="e1", runs=7, expected=28000, unread=0),
    line(3.0, "endpoint:changed", endpoint="e1", state="draining", data_centre="a"),
    line(
        3.4,
        "move:copied",
        request="r2",
        source="e1",
        target="e2",
        status=200,
        tokens=4000,
        seconds=0.4,
    ),
    line(
        3.9,
        "move:copied",
        request="r3",
        source="e1",
        target="e2",
        status=200,
        tokens=3000,
        seconds=0.7,
    ),
    line(
        4.5,
        "move:copied",
        request="r1",
        source="e1",
        target="e2",
        status=0,
        tokens=3500,
        seconds=0.6,
    ),
    line(4.5, "stream:broken", request="r1", endpoint="e1", last_event=9, end="broken"),
    ended(4.5, "CUT", route="long", status=200, seconds=2.5),
]
MIGRATED = [
    line(6.0, "stream:late", request="r2", first=0.4, gap=0.2, gap_event=30, moves=1, paused=True),
    ended(6.0, "ANSWERED", request="r2", route="long", status=200, seconds=5.0),
]
OTHERS = [
    line(5.0, "stream:placed", request="r3", endpoint="e2", runs=1, expected=3000),
    ended(5.0, "ANSWERED", request="p1", route="plain", status=200, seconds=0.1, late=False),
    ended(5.0, "ANSWERED", request="p2", route="plain", status=200, seconds=0.9, late=True),
    ended(5.0, "ANSWERED", request="p3", route="plain", status=500, seconds=0.1, late=False),
    ended(5.0, "UNKNOWN_KEY", request="p4", route="plain", status=401, config=3, seconds=0.0),
    ended(5.0, "GONE", request="p5", route="plain", seconds=0.5),
]


@pytest.fixture
def index():
    return LogIndex(read_lines([*TERMINATED, *MIGRATED, *OTHERS], "gw1"))


@pytest.fixture
def ledger(index):
    return make_ledger(index, {"long": Worth(160.0, 24.0)})


def test_each_request_has_a_result_and_a_cause(ledger):
    found = {outcome.request: (outcome.result, outcome.kind) for outcome in ledger.outcomes}
    assert found == {
        "r1": (Result.LOST, CauseKind.ENGINE_TERMINATED),
        "r2": (Result.LATE, CauseKind.LATE_MIGRATION),
        "r3": (Result.LOST, CauseKind.GATEWAY_DIED),
        "p1": (Result.ON_TIME, CauseKind.ON_TIME),
        "p2": (Result.LATE, CauseKind.LATE_ANSWER),
        "p3": (Result.LOST, CauseKind.ENDPOINT_FAILED),
        "p4": (Result.EXCLUDED, CauseKind.NOT_ALLOWED),
        "p5": (Result.EXCLUDED, CauseKind.CALLER_DISCONNECTED),
    }


def test_lost_and_earned_worth_add_up_to_the_total(ledger):
    earned = 24.0 + 1.0
    lost_worth = sum(loss.worth for loss in ledger.losses().values())
    assert ledger.total_worth == 160 + 160 + 1 + 3
    assert lost_worth + earned == ledger.total_worth
    assert f"{earned / ledger.total_worth:.4f}" in loss_table(ledger).splitlines()[-1]


def test_losses_are_grouped_by_arrival_time(ledger):
    lost_worth = ledger.lost_worth_by_span(2.0)
    assert lost_worth[CauseKind.ENGINE_TERMINATED] == {2.0: 160.0}
    assert lost_worth[CauseKind.LATE_MIGRATION] == {0.0: 136.0}


def test_engine_history_has_notice_copies_and_broken_streams(index):
    [first, second] = engine_histories(index)
    assert (first.id, first.data_centre, first.ready_at) == ("e1", "a", 1.0)
    assert first.notice_seconds == pytest.approx(1.5)
    assert first.expected_tokens_at_notice() == 28000
    assert first.copied_tokens == 7000
    assert first.link_busy_seconds() == pytest.approx(1.5), "overlapping copies count once"
    assert (first.broken, second.id, second.notice_seconds) == (1, "e2", None)


def test_tables_name_routes_causes_and_engines(index, ledger):
    assert "long" in route_table(ledger)
    assert "engine left" in loss_table(ledger)
    assert "e1" in engine_table(engine_histories(index))


def test_stream_cut_by_its_gateways_stop_is_not_classified_as_an_engine_crash():
    """Guards against counting a stream cut at the end of a gateway's grace period as a crash."""
    texts = [
        line(1.0, "stream:placed", request="r1", endpoint="e1"),
        line(2.0, "process:stopping"),
        line(9.5, "stream:broken", request="r1", endpoint="e1", last_event=200, end="broken"),
        ended(9.5, "CUT", route="long", status=200, seconds=8.5),
    ]
    [outcome] = make_ledger(LogIndex(read_lines(texts, "gw1")), {}).outcomes
    assert outcome.kind is CauseKind.GATEWAY_STOPPED


@pytest.fixture
def parsed_flags():
    flags.FLAGS.mark_as_parsed()
    saved = flags.FLAGS.worth, flags.FLAGS.plot
    yield flags.FLAGS
    flags.FLAGS.worth, flags.FLAGS.plot = saved


def test_command_prints_the_tables_and_saves_the_plot(tmp_path, capsys, parsed_flags):
    log, picture = tmp_path / "a.log", tmp_path / "plot.png"
    log.write_text("".join([*TERMINATED, *MIGRATED, *OTHERS]))
    parsed_flags.worth, parsed_flags.plot = ["long=160:24"], str(picture)
    report.main(["report", str(log)])
    assert "pause of a move" in capsys.readouterr().out
    assert picture.read_bytes().startswith(b"\x89PNG")


@pytest.mark.parametrize(
    "worth, text, remedy",
    [([], "", "give the logs"), (["long=much"], TERMINATED[-1], "ROUTE=ON_TIME")],
)
def test_command_errors_name_the_remedy(tmp_path, parsed_flags, worth, text, remedy):
    log = tmp_path / "a.log"
    log.write_text(text)
    parsed_flags.worth = worth
    with pytest.raises(SystemExit, match=remedy):
        report.main(["report", str(log)])


def test_phases_show_where_the_seconds_of_streams_go():
    """A slide shows as longer waits and first events, span by span."""
    lines = [
        line(1.2, "stream:placed", request="r1", endpoint="e1"),
        line(2.0, "stream:on-time", request="r1", first=0.5, gap=0.1),
        ended(2.0, "ANSWERED", "r1"),
        line(5.5, "stream:unfinished", request="r2", first=None, gap=0.0),
        ended(5.5, "NO_ROOM", "r2"),
    ]
    spans = phases_by_span(stream_phases(LogIndex(read_lines(lines, "file"))), 4.0)
    assert [(span.start, span.on_time, span.never_dispatched) for span in spans] == [
        (0.0, 1, 0),
        (4.0, 0, 1),
    ]
    assert spans[0].median("queued") == pytest.approx(0.2)
    assert spans[0].median("first_event") == pytest.approx(0.3)
    assert spans[1].median("queued") is None
    assert "first event s" in phase_table(spans)


def test_ranks_show_who_waits_and_who_is_refused():
    """Guards against refusals of urgent generations that a sum over all ranks would hide."""
    lines = [
        line(1.0, "stream:waits", request="r1", rank=0, expected=0.1, ahead=0, penalty=0.0),
        line(1.2, "stream:dispatched", request="r1", waited=0.2, rank=0, left_room=2),
        ended(2.0, "ANSWERED", "r1", status=200),
        ended(
            3.0,
            "NO_ROOM",
            "r2",
            detail="expected to wait 2.00 s for room at rank 1",
            retry_after=2.5,
        ),
    ]
    urgent, deferrable = rank_stays(LogIndex(read_lines(lines, "file")))
    assert (urgent.rank, urgent.refused, urgent.left_room, urgent.median("waited")) == (
        0,
        0,
        2,
        0.2,
    )
    assert (deferrable.rank, deferrable.refused, deferrable.median("expected")) == (1, 1, 2.0)
    assert deferrable.median("retry_after") == 2.5
    assert "2.50" in rank_table([urgent, deferrable])


def test_requests_without_a_route_share_a_row():
    lines = [
        ended(1.0, "UNKNOWN_KEY", "r1", route="/a/b"),
        ended(2.0, "UNKNOWN_ROUTE", "r2", route="/c/d"),
    ]
    counts = make_ledger(LogIndex(read_lines(lines, "file")), {}).counts()
    assert list(counts) == ["(unknown)"]
