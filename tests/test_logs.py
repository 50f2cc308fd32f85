"""Log lines on a pipe whose reader is slow, gone, or flooded."""

import json
import os

import pytest

from guavacleat.logs import BoundedLog

FILL = {"message_type": "stream:broken", "text": "x" * 5000}


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    for descriptor in (reader, writer):
        try:
            os.close(descriptor)
        except OSError:
            continue


def raw(reader):
    """All bytes that can be read now."""
    os.set_blocking(reader, False)
    data = b""
    while True:
        try:
            piece = os.read(reader, 1 << 20)
        except BlockingIOError:
            break
        if not piece:
            break
        data += piece
    return data


def lines(data):
    return [json.loads(line) for line in data.splitlines()]


def test_a_stalled_reader_never_blocks_and_gets_whole_lines_later(pipe, clock):
    """
    Symptom: callers wait because nobody reads the log.
    Sequence: the reader stalls; the pipe fills in the middle of a line; the reader goes on.
    Cause: a write must never wait; the rest of a cut line has to come before the next.
    """
    reader, writer = pipe
    log = BoundedLog(writer, clock.seconds)
    for _ in range(100):
        log(FILL)
    assert log.left_out > 0
    first = raw(reader)
    assert not first.endswith(b"\n"), "a line was cut"
    clock.advance(1)
    log({"message_type": "process:stopped"})
    kinds = [line["message_type"] for line in lines(first + raw(reader))]
    assert kinds[-2:] == ["log:left-out", "process:stopped"]


def test_volume_is_bounded_and_failures_have_room_left(pipe, clock):
    reader, writer = pipe
    log = BoundedLog(writer, clock.seconds, lines_per_second=5)
    for _ in range(20):
        log({"message_type": "request:end", "outcome": "ANSWERED"})
    log({"message_type": "request:end", "outcome": "BROKEN"})
    found = lines(raw(reader))
    assert [line.get("outcome") for line in found].count("ANSWERED") == 5
    assert found[-1]["outcome"] == "BROKEN"
    assert {"message_type": "log:left-out", "lines": 15} in found


def test_a_reader_that_is_gone_is_no_error(pipe, clock):
    reader, writer = pipe
    log = BoundedLog(writer, clock.seconds)
    os.close(reader)
    log(FILL)
