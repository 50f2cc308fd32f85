"""A request's timeline and cause, from log lines as the processes write them."""

import io
import json

import pytest

from guavacleat.commands import explain
from guavacleat.explain import LogIndex, build_timeline, find_cause, read_lines


def line(at, type, instance="gw1", **fields):
    """A log line with the prefix of a time and an instance."""
    return f"  {at:.4f} {instance} " + json.dumps({**fields, "message_type": type}) + "\n"


def ended(at, outcome, request="r1", seconds=1.0, **fields):
    return line(at, "request:end", request=request, outcome=outcome, seconds=seconds, **fields)


def timeline(*texts, request="r1"):
    return build_timeline(request, LogIndex(read_lines(texts, "file")))


CASES = {
    "refused as endpoints ended under requests alike": (
        [
            line(2.0, "quarantine:began", fingerprint="ab12", crashes=3.0, seconds=5.0),
            ended(
                4.0,
                "QUARANTINED",
                detail="3 endpoints ended under it",
                retry_after=3.0,
                fingerprint="ab12",
                status=503,
            ),
        ],
        "Similar requests had crashed their endpoints: 3 endpoints ended under it. It has not"
        " run and may be retried after 3.0 s.",
    ),
    "cut as endpoints ended under it before": (
        [
            line(4.5, "stream:not-resumed", request="r1", endpoint="e2"),
            line(4.5, "stream:broken", request="r1", endpoint="e1", last_event=9),
            ended(4.5, "CUT", status=200, seconds=3.0),
        ],
        "Engine e1 failed without notice, and its copy was not resumed because similar requests"
        " had crashed endpoints.",
    ),
    "cut as the retry budget was exhausted": (
        [
            line(
                4.5,
                "stream:not-resumed",
                request="r1",
                endpoint="e2",
                cause="the retry budget was exhausted",
            ),
            line(4.5, "stream:broken", request="r1", endpoint="e1", last_event=9),
            ended(4.5, "CUT", status=200, seconds=3.0),
        ],
        "Engine e1 failed without notice, and its copy was not resumed because the retry budget"
        " was exhausted.",
    ),
    "cut as the engine with its copy was cold": (
        [
            line(4.5, "stream:copy-cold", request="r1", endpoint="e2"),
            line(4.5, "stream:broken", request="r1", endpoint="e1", last_event=9),
            ended(4.5, "CUT", status=200, seconds=3.0),
        ],
        "Engine e1 failed without notice, and the engine with its copy was cold and could take no"
        " more requests.",
    ),
    "cut as the engine with its copy limits its rate": (
        [
            line(4.5, "stream:copy-cold", request="r1", endpoint="e2", cause="limited its rate"),
            line(4.5, "stream:broken", request="r1", endpoint="e1", last_event=9),
            ended(4.5, "CUT", status=200, seconds=3.0),
        ],
        "Engine e1 failed without notice, and the engine with its copy limited its rate and could"
        " take no more requests.",
    ),
    "refused as the endpoints limit their rate": (
        [ended(4.0, "LIMITED", retry_after=0.7, status=503)],
        "Its service's endpoints limit their request rate, and its gateway's share of it was used"
        " up for 0.7 s. It has not run.",
    ),
    "refused as the endpoints asked for a pause": (
        [ended(4.0, "PAUSED", retry_after=2.5, status=503)],
        "The endpoints of its service had turned its gateway away and asked for a pause; it may be"
        " retried after 2.5 s. It has not run.",
    ),
    "refused as the data centres were evacuated": (
        [ended(4.0, "EVACUATED", retry_after=1.0, status=503)],
        "The data centres of its service's endpoints were evacuated. It has not run and may be"
        " retried after 1.0 s.",
    ),
    "refused under load": (
        [ended(5.0, "NO_ROOM", detail="expected to wait 4.74 s", status=503)],
        "No capacity: expected to wait 4.74 s. It has not run.",
    ),
    "refused for its rank": (
        [
            line(4.0, "stream:waits", request="r1", rank=2, expected=0.2, ahead=5, penalty=0.5),
            ended(5.0, "NO_ROOM", detail="late, expected to wait 1.50 s", retry_after=1.8427),
        ],
        "No capacity: late, expected to wait 1.50 s. It was queued for 1.00 s (rank 2, 5 ahead of"
        " it, expected to wait 1.50 s, put back by 0.50 s for its account's use). It has not run"
        " and may be retried after 1.84 s.",
    ),
    "late as peers went first": (
        [
            line(4.0, "stream:waits", request="r1", rank=2, expected=0.2, ahead=5, penalty=0.0),
            line(5.5, "stream:dispatched", request="r1", waited=1.5, rank=2, left_room=3),
            line(5.5, "stream:placed", request="r1", endpoint="e1"),
            line(7.0, "stream:late", request="r1", first=2.1, gap=0.03, moves=0),
            ended(7.0, "ANSWERED", status=200),
        ],
        "Late: it was queued 1.50 s in its gateway until an engine had capacity (rank 2, 5 ahead of"
        " it, expected to wait 0.20 s, room left for 3 requests of peers).",
    ),
    "refused by engines": (
        [
            line(4.5, "stream:refused", request="r1", endpoint="e1", end="not run"),
            line(4.7, "stream:refused", request="r1", endpoint="e2", end="not run"),
            ended(5.0, "NO_ROOM", detail="", status=503),
        ],
        "No capacity: 2 endpoints refused it. It has not run.",
    ),
    "cut when an engine left": (
        [
            line(3.0, "endpoint:changed", endpoint="e1", state="draining"),
            line(4.5, "move:copied", request="r1", source="e1", target="e2", status=0),
            line(4.5, "stream:broken", request="r1", endpoint="e1", last_event=9),
            ended(4.5, "CUT", status=200, seconds=3.0),
        ],
        "Engine e1 terminated 1.50 s after its notice, and the copy of the stream had not"
        " completed by then.",
    ),
    "cut by a crash": (
        [
            line(4.5, "stream:broken", request="r1", endpoint="e1", last_event=9),
            ended(4.5, "CUT", status=200),
        ],
        "Engine e1 failed without notice, and the stream had no copy elsewhere and none was"
        " attempted.",
    ),
    "lost before its first event": (
        [
            line(4.5, "stream:broken", request="r1", endpoint="e1", last_event=None),
            ended(4.5, "BROKEN", status=502),
        ],
        "Engine e1 failed without notice, and it had sent no event yet, so the request may have"
        " run and must not run elsewhere.",
    ),
    "key not known yet": (
        [
            line(4.0, "store:lost"),
            ended(5.0, "UNKNOWN_KEY", config=7, status=401),
            line(5.5, "config:accepted", version=8),
        ],
        "Configuration version 7 has no such key; version 8 came 0.50 s after the request ended;"
        " its gateway could not reach the store at the time.",
    ),
    "route not known yet, for no whole answer came": (
        [
            line(4.0, "watch:failed", kind="config", failures=8),
            ended(5.0, "UNKNOWN_ROUTE", config=7, status=404),
        ],
        "Configuration version 7 has no such route; its gateway's watch of config got no"
        " complete response, 8 times in a row.",
    ),
    "not allowed by an older version": (
        [ended(5.0, "BEHIND", config=7, status=503)],
        "Another gateway had a newer configuration, which may allow it." " It has not run.",
    ),
    "key taken away": (
        [
            line(3.0, "config:accepted", version=7),
            ended(5.0, "UNKNOWN_KEY", config=7, status=401),
        ],
        "Configuration version 7 has no such key.",
    ),
    "gateway killed": (
        [line(4.5, "stream:placed", request="r1", endpoint="e1")],
        "Gateway gw1 exited before the request ended: no log line has its outcome.",
    ),
    "an endpoint's own failure": (
        [ended(5.0, "ANSWERED", status=500)],
        "The endpoint itself returned 500; its response was forwarded unchanged.",
    ),
    "time up": (
        [
            line(4.9, "request:attempt", request="r1", endpoint="e1", end="timed out"),
            ended(5.0, "EXPIRED", status=504),
        ],
        "Its deadline passed (e1: timed out).",
    ),
    "late for want of room": (
        [
            line(4.0, "stream:waits", request="r1", waiting=3),
            line(5.5, "stream:placed", request="r1", endpoint="e1"),
            line(7.0, "stream:late", request="r1", first=2.1, gap=0.03, moves=0),
            ended(7.0, "ANSWERED", status=200),
        ],
        "Late: it was queued 1.50 s in its gateway until an engine had capacity.",
    ),
    "caller left": ([ended(5.0, "GONE", seconds=0.7)], "The client disconnected after 0.70 s."),
    "served": (
        [ended(5.0, "ANSWERED", status=200, seconds=0.03)],
        "It was answered with 200 in 0.03 s.",
    ),
}


@pytest.mark.parametrize("texts, cause", CASES.values(), ids=CASES)
def test_classifies_the_cause(texts, cause):
    assert find_cause(timeline(*texts)) == cause


def test_timeline_has_only_lines_that_concern_the_request():
    texts = [
        line(4.0, "endpoint:changed", endpoint="e1", state="draining"),
        line(4.0, "endpoint:changed", instance="gw2", endpoint="e1", state="draining"),
        line(4.0, "endpoint:changed", endpoint="e9", state="gone"),
        line(4.4, "stream:placed", request="r2", endpoint="e1"),
        line(4.5, "stream:placed", request="r1", endpoint="e1"),
        ended(5.0, "ANSWERED", status=200),
        line(60.0, "store:lost"),
    ]
    lines = timeline(*texts).sorted_lines()
    assert [found.type for found in lines] == ["endpoint:changed", "stream:placed", "request:end"]


def test_timeline_has_quarantine_lines_of_the_same_fingerprint():
    quarantined = timeline(
        line(3.5, "quarantine:began", fingerprint="ab12", crashes=3.0),
        line(3.6, "quarantine:began", fingerprint="cd34", crashes=3.0),
        ended(4.0, "QUARANTINED", fingerprint="ab12"),
    )
    assert [found.get("fingerprint") for found in quarantined.context] == ["ab12"]


def test_line_without_prefix_uses_the_file_name_and_the_timestamp():
    text = json.dumps({"message_type": "request:end", "timestamp": 12.5, "request": "r1"})
    [found] = read_lines([text, "not a line", "{half", '{"other": 1}'], "gw3")
    assert (found.at, found.instance, found.fields) == (12.5, "gw3", {"request": "r1"})


def test_command_merges_lines_of_several_files(tmp_path, capsys):
    first, second = tmp_path / "a.log", tmp_path / "b.log"
    first.write_text(line(4.0, "stream:waits", request="r1", waiting=1))
    second.write_text(ended(5.0, "NO_CONFIGURATION", status=503))
    explain.main(["explain", "r1", str(first), str(second)])
    out = capsys.readouterr().out
    assert out.index("stream:waits") < out.index("request:end")
    assert out.endswith("Its gateway had no configuration yet. It has not run.\n")


def test_command_reads_standard_input(monkeypatch, capsys):
    monkeypatch.setattr("sys.stdin", io.StringIO(ended(5.0, "ANSWERED", status=200)))
    explain.main(["explain", "r1"])
    assert "answered with 200" in capsys.readouterr().out


@pytest.mark.parametrize(
    "argv, remedy", [([], "usage"), (["r1", "/no/such"], "cannot read"), (["r1"], "give the logs")]
)
def test_errors_name_the_remedy(argv, remedy, monkeypatch):
    monkeypatch.setattr("sys.stdin", io.StringIO(""))
    with pytest.raises(SystemExit, match=remedy):
        explain.main(["explain", *argv])
