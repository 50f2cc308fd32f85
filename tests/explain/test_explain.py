"""A request's story and cause, from lines as the processes write them."""

import io
import json

import pytest

from guavacleat.commands import explain
from guavacleat.explain import LogIndex, find_cause, read_lines, tell


def line(at, type, instance="gw1", **fields):
    """A line with a time and an instance before it."""
    return f"  {at:.4f} {instance} " + json.dumps({**fields, "message_type": type}) + "\n"


def ended(at, outcome, request="r1", seconds=1.0, **fields):
    return line(at, "request:end", request=request, outcome=outcome, seconds=seconds, **fields)


def story(*texts, request="r1"):
    return tell(request, LogIndex(read_lines(texts, "file")))


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
        "Requests for the same had crashed what ran them: 3 endpoints ended under it. It has not"
        " run and may come back in 3.0 s.",
    ),
    "cut as endpoints ended under it before": (
        [
            line(4.5, "stream:not-resumed", request="r1", endpoint="e2"),
            line(4.5, "stream:broken", request="r1", endpoint="e1", last_event=9),
            ended(4.5, "CUT", status=200, seconds=3.0),
        ],
        "Engine e1 broke off without notice, and it does not go on from its copy, as endpoints"
        " ended under such requests before.",
    ),
    "refused under load": (
        [ended(5.0, "NO_ROOM", detail="expected to wait 4.74 s", status=503)],
        "There was no room: expected to wait 4.74 s. It has not run.",
    ),
    "refused by engines": (
        [
            line(4.5, "stream:refused", request="r1", endpoint="e1", end="not run"),
            line(4.7, "stream:refused", request="r1", endpoint="e2", end="not run"),
            ended(5.0, "NO_ROOM", detail="", status=503),
        ],
        "There was no room: 2 endpoints would not run it. It has not run.",
    ),
    "cut when an engine left": (
        [
            line(3.0, "endpoint:changed", endpoint="e1", state="draining"),
            line(4.5, "move:copied", request="r1", source="e1", target="e2", status=0),
            line(4.5, "stream:broken", request="r1", endpoint="e1", last_event=9),
            ended(4.5, "CUT", status=200, seconds=3.0),
        ],
        "Engine e1 was gone 1.50 s after its notice, and the copy of the stream was not through"
        " by then.",
    ),
    "cut by a crash": (
        [
            line(4.5, "stream:broken", request="r1", endpoint="e1", last_event=9),
            ended(4.5, "CUT", status=200),
        ],
        "Engine e1 broke off without notice, and the stream had no copy elsewhere and none was"
        " tried.",
    ),
    "lost before its first event": (
        [
            line(4.5, "stream:broken", request="r1", endpoint="e1", last_event=None),
            ended(4.5, "BROKEN", status=502),
        ],
        "Engine e1 broke off without notice, and it had sent nothing yet, so that the request may"
        " have run and cannot run elsewhere.",
    ),
    "key not known yet": (
        [
            line(4.0, "store:lost"),
            ended(5.0, "UNKNOWN_KEY", config=7, status=401),
            line(5.5, "config:accepted", version=8),
        ],
        "Version 7 of the configuration has no such key; version 8 came 0.50 s after it ended;"
        " its gateway could not reach the store meanwhile.",
    ),
    "route not known yet, for no whole answer came": (
        [
            line(4.0, "watch:failed", kind="config", failures=8),
            ended(5.0, "UNKNOWN_ROUTE", config=7, status=404),
        ],
        "Version 7 of the configuration has no such route; its gateway's watch of config got no"
        " whole answer, 8 times in a row.",
    ),
    "not allowed by an older version": (
        [ended(5.0, "BEHIND", config=7, status=503)],
        "Its gateway had an older configuration than another one, which may allow it."
        " It has not run.",
    ),
    "key taken away": (
        [
            line(3.0, "config:accepted", version=7),
            ended(5.0, "UNKNOWN_KEY", config=7, status=401),
        ],
        "Version 7 of the configuration has no such key.",
    ),
    "gateway killed": (
        [line(4.5, "stream:placed", request="r1", endpoint="e1")],
        "Its gateway gw1 was gone before it ended: no line tells its outcome.",
    ),
    "an endpoint's own failure": (
        [ended(5.0, "ANSWERED", status=500)],
        "The endpoint itself answered 500; its answer was passed on unchanged.",
    ),
    "time up": (
        [
            line(4.9, "request:attempt", request="r1", endpoint="e1", end="timed out"),
            ended(5.0, "EXPIRED", status=504),
        ],
        "Its time was up (e1: timed out).",
    ),
    "late for want of room": (
        [
            line(4.0, "stream:waits", request="r1", waiting=3),
            line(5.5, "stream:placed", request="r1", endpoint="e1"),
            line(7.0, "stream:late", request="r1", first=2.1, gap=0.03, moves=0),
            ended(7.0, "ANSWERED", status=200),
        ],
        "Late: it waited 1.50 s in its gateway until an engine had room.",
    ),
    "caller left": ([ended(5.0, "GONE", seconds=0.7)], "Its caller left after 0.70 s."),
    "served": (
        [ended(5.0, "ANSWERED", status=200, seconds=0.03)],
        "It was answered with 200 in 0.03 s.",
    ),
}


@pytest.mark.parametrize("texts, cause", CASES.values(), ids=CASES)
def test_the_cause_is_named(texts, cause):
    assert find_cause(story(*texts)) == cause


def test_only_what_concerns_the_request_is_told():
    texts = [
        line(4.0, "endpoint:changed", endpoint="e1", state="draining"),
        line(4.0, "endpoint:changed", instance="gw2", endpoint="e1", state="draining"),
        line(4.0, "endpoint:changed", endpoint="e9", state="gone"),
        line(4.4, "stream:placed", request="r2", endpoint="e1"),
        line(4.5, "stream:placed", request="r1", endpoint="e1"),
        ended(5.0, "ANSWERED", status=200),
        line(60.0, "store:lost"),
    ]
    told = story(*texts).in_order()
    assert [found.type for found in told] == ["endpoint:changed", "stream:placed", "request:end"]


def test_the_story_tells_what_became_of_requests_alike():
    told = story(
        line(3.5, "quarantine:began", fingerprint="ab12", crashes=3.0),
        line(3.6, "quarantine:began", fingerprint="cd34", crashes=3.0),
        ended(4.0, "QUARANTINED", fingerprint="ab12"),
    )
    assert [found.get("fingerprint") for found in told.around] == ["ab12"]


def test_without_a_prefix_the_file_and_the_time_of_day_are_taken():
    text = json.dumps({"message_type": "request:end", "timestamp": 12.5, "request": "r1"})
    [found] = read_lines([text, "not a line", "{half", '{"other": 1}'], "gw3")
    assert (found.at, found.instance, found.fields) == (12.5, "gw3", {"request": "r1"})


def test_the_command_tells_the_story_across_files(tmp_path, capsys):
    first, second = tmp_path / "a.log", tmp_path / "b.log"
    first.write_text(line(4.0, "stream:waits", request="r1", waiting=1))
    second.write_text(ended(5.0, "NO_CONFIGURATION", status=503))
    explain.main(["explain", "r1", str(first), str(second)])
    out = capsys.readouterr().out
    assert out.index("stream:waits") < out.index("request:end")
    assert out.endswith("Its gateway had no configuration yet. It has not run.\n")


def test_the_command_reads_standard_input(monkeypatch, capsys):
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
