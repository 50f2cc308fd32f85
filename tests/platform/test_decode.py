"""Decoding of configurations, endpoint entries, headers and engine calls, also invalid ones."""

import contextlib
import json
import math
from email.utils import format_datetime

import pytest
from hypothesis import given
from hypothesis import strategies as st

from guavacleat.evacuations import EvacuationChange
from guavacleat.forwarding.messages import ForwardingMetadata, ResumePoint
from guavacleat.forwarding.statements import MAX_PAUSE_SECONDS
from guavacleat.lengths import LengthForecast
from guavacleat.membership.entries import EndpointChange, EndpointState
from guavacleat.peers.report import GatewayReport, decode_report, encode_report
from guavacleat.placement import EndpointLoad
from guavacleat.platform.decode import decode_configuration, decode_endpoint
from guavacleat.platform.engines import decode_move, decode_status, encode_move
from guavacleat.platform.headers import (
    endpoint_headers,
    parse_request_metadata,
    parse_response_metadata,
    refusal_headers,
)
from guavacleat.routes import RequestKind

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "Ficu95.example",
            "pathPrefix": "/lohu930/",
            "kind": "stream",
            "timeoutMs": 39000,
            "latencyGoalMs": 1800,
            "priority": 0,
            "backends": [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}],
            "maxAttempts": 1,
            "public": False,
            "gapGoalMs": 180,
        },
        {
            "name": "r2",
            "host": "ficu95.example",
            "pathPrefix": "/lohu930/pufi/",
            "kind": "idempotent",
            "timeoutMs": 800,
            "service": "b",
            "maxAttempts": 2,
            "public": True,
        },
    ],
    "services": [
        {
            "name": "a",
            "maxConns": 252,
            "engine": {"slots": 24, "kvCapacity": 34239, "stride": 4, "moves": True},
        },
        {"name": "b", "maxConns": 110},
    ],
    "limits": {"maxHeaderBytes": 16384, "idleTimeoutMs": 15000},
    "tenants": [{"name": "t1", "apiKeys": ["k1", "k2"], "priority": 1}],
}


def test_float_version_must_be_exact():
    """A float above 2**53 - 1 may have been rounded up, which would block later versions."""
    for version in (7.0, float(2**53 - 1), 2**53 + 1):
        assert decode_configuration({**CONFIGURATION, "version": version}).version == version
    for version in (float(2**53), 1e300, 7.5, math.inf, True, "7", None):
        with pytest.raises(ValueError):
            decode_configuration({**CONFIGURATION, "version": version})


def test_configuration_is_decoded():
    table = decode_configuration(CONFIGURATION)
    stream = table.match("ficu95.example", "/lohu930/2f")
    plain = table.match("ficu95.example", "/lohu930/pufi/x")
    assert (stream.kind, stream.timeout, stream.latency_goal) == (RequestKind.STREAM, 39.0, 1.8)
    assert (stream.gap_goal, stream.max_attempts, stream.priority) == (0.18, 1, 0)
    assert [(backend.service, backend.weight) for backend in stream.backends] == [
        ("a", 90),
        ("b", 10),
    ]
    assert (plain.kind, plain.public, plain.max_attempts) == (RequestKind.IDEMPOTENT, True, 2)
    assert table.match("ficu95.example", "/other/") is None
    assert table.accounts_by_key["k2"].name == "t1"
    assert table.accounts_by_key["k2"].priority == 1
    assert table.services_by_name["a"].engine.memory_tokens == 34239
    assert table.services_by_name["b"].engine is None
    assert (table.limits.idle_timeout, table.limits.header_timeout) == (15.0, 3.0)


def test_unknown_kind_is_not_idempotent():
    route = {**CONFIGURATION["routes"][1], "kind": "something-new"}
    table = decode_configuration({**CONFIGURATION, "routes": [route]})
    assert table.match("ficu95.example", "/lohu930/pufi/").kind is RequestKind.NON_IDEMPOTENT


def test_key_is_required_only_with_accounts():
    spec = {key: value for key, value in CONFIGURATION.items() if key != "tenants"}
    assert not decode_configuration(spec).requires_key
    assert decode_configuration(CONFIGURATION).requires_key


def test_endpoint_state_is_decoded():
    spec = {"service": "a", "address": "10.1.2.3:80", "zone": "z", "slots": 24, "state": "ready"}
    assert decode_endpoint("i-1", spec, 1).state is EndpointState.READY
    assert decode_endpoint("i-1", spec, 1).address == ("10.1.2.3", 80)
    assert decode_endpoint("i-1", {**spec, "state": "draining"}, 1).state is EndpointState.DRAINING
    # Not draining: an invalid state must not cause streams to be moved.
    assert decode_endpoint("i-1", {**spec, "state": "odd"}, 1).state is EndpointState.UNUSABLE


READY_SPEC = {"service": "a", "address": "10.1.2.3:80", "zone": "z", "slots": 24, "state": "ready"}
MISSING = object()
INVALID_FIELDS = [
    ("service", MISSING),
    ("service", 7),
    ("address", MISSING),
    ("address", None),
    ("address", "10.1.2.3"),
    ("address", "10.1.2.3:none"),
    ("address", "10.1.2.3:0"),
    ("address", "10.1.2.3:70000"),
    ("address", "somewhere.example:80"),
    ("address", ["10.1.2.3", 80]),
    ("zone", 3),
    ("slots", "many"),
    ("slots", True),
    ("state", MISSING),
    ("state", None),
    ("state", ["ready"]),
    ("born", "yesterday"),
    ("born", 12.5),
]


@pytest.mark.parametrize("field,value", INVALID_FIELDS)
def test_invalid_entry_is_rejected(field, value):
    """Guards against exceptions while requests are routed, and against DNS lookups."""
    spec = {**READY_SPEC, field: value}
    if value is MISSING:
        del spec[field]
    with pytest.raises((KeyError, ValueError, TypeError, AttributeError)):
        decode_endpoint("i-1", spec, 1)


@pytest.mark.parametrize("spec", [None, "bytes", 5, [], [READY_SPEC]])
def test_entry_that_is_not_an_object_is_rejected(spec):
    with pytest.raises((KeyError, ValueError, TypeError, AttributeError)):
        decode_endpoint("i-1", spec, 1)


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=5,
)


@given(st.dictionaries(st.sampled_from([*READY_SPEC, "born"]), JSON_VALUES))
def test_any_entry_is_decoded_or_rejected(changed):
    with contextlib.suppress(KeyError, ValueError, TypeError, AttributeError):
        found = decode_endpoint("i-1", {**READY_SPEC, **changed}, 1)
        assert found.started_ms is None or isinstance(found.started_ms, int)


def test_start_time_of_an_endpoint_is_decoded():
    assert decode_endpoint("i-1", READY_SPEC, 1).started_ms is None
    assert decode_endpoint("i-1", {**READY_SPEC, "born": 1778085760007}, 1).started_ms == (
        1778085760007
    )


RESERVED_HEADERS = [
    (b"hold", b"1"),
    (b"pin-ms", b"4000"),
    (b"kv-backup", b"10.0.0.1:1"),
    (b"kv-from", b"10.0.0.1:1/x"),
    (b"kv-fetch", b"10.0.0.1:1"),
    (b"kv-anything", b"1"),
    (b"expect-instance", b"i-9"),
    (b"expect-version", b"3"),
    (b"tenant", b"someone"),
    (b"request-priority", b"0"),
    (b"key", b"secret"),
    (b"deadline-ms", b"999999"),
]


@pytest.mark.parametrize("name,value", RESERVED_HEADERS)
def test_reserved_headers_of_callers_are_dropped(name, value):
    """Guards against callers that control engines, such as by pinning memory."""
    metadata = ForwardingMetadata("i-1", 1.5, account="t1")
    headers = endpoint_headers([(name, value), (b"x-own", b"kept")], metadata)
    assert (name, value) not in headers
    assert (b"x-own", b"kept") in headers
    values = dict(headers)
    assert values[b"expect-instance"] == b"i-1"
    assert values[b"tenant"] == b"t1"
    assert values[b"deadline-ms"] == b"1500"


def test_resumed_request_has_its_copy_and_last_event():
    metadata = ForwardingMetadata("i-1", 1.5, resume=ResumePoint(("10.0.0.1", 80), "h7", 42))
    values = dict(endpoint_headers([(b"last-event-id", b"1")], metadata))
    assert values[b"kv-from"] == b"10.0.0.1:80/h7"
    assert values[b"last-event-id"] == b"42"


def test_request_metadata_is_decoded():
    metadata = parse_request_metadata(
        [
            (b"attempt-id", b"r1"),
            (b"key", b"k1"),
            (b"deadline-ms", b"1500"),
            (b"token-usage", b"1460,80"),
            (b"length-hint", b"60"),
            (b"prompt-prefix", b"5c1e07a2:800,91bd3f06:410"),
        ]
    )
    assert (metadata.id, metadata.key, metadata.caller_timeout) == ("r1", "k1", 1.5)
    assert (metadata.prompt_tokens, metadata.max_output_tokens) == (1460, 80)
    assert metadata.expected_output_tokens == 60.0
    assert [(part.id, part.tokens) for part in metadata.prompt_parts] == [
        ("5c1e07a2", 800),
        ("91bd3f06", 410),
    ]


def test_response_metadata_is_decoded():
    metadata = parse_response_metadata(200, [(b"attempt-id", b"r1"), (b"response-seal", b"s")])
    assert (metadata.request_id, metadata.signed, metadata.not_run) == ("r1", True, False)
    assert parse_response_metadata(503, [(b"not-executed", b"1")]).not_run
    assert parse_response_metadata(200, [(b"content-encoding", b"gzip")]).encoded


def test_refusal_has_the_request_id_and_retry_after():
    assert dict(refusal_headers("r1", 0.5)) == {b"attempt-id": b"r1", b"retry-after": b"0.500"}
    assert refusal_headers("", None) == []


def test_moves_are_encoded_and_decoded():
    method, _, _, body = encode_move("r1", ("10.0.0.2", 81))
    assert method == b"POST"
    assert json.loads(body) == {"id": "r1", "target": "10.0.0.2:81", "last": False}
    _, _, _, body = encode_move("r1", ("10.0.0.2", 81), stop=True)
    assert json.loads(body)["last"] is True
    assert decode_move(200, b'{"handle": "h1", "createdAt": 3}').handle == "h1"
    assert decode_move(503, b"").handle is None


@given(st.integers(100, 599), st.binary(max_size=60))
def test_any_move_response_decodes(status, body):
    decode_move(status, body)


EXTREME_NUMBERS = [b"inf", b"-inf", b"nan", b"1e400", b"9" * 40, b"-7", b"", b"x", b"1e30"]


@pytest.mark.parametrize("number", EXTREME_NUMBERS)
@pytest.mark.parametrize("name", [b"token-usage", b"length-hint", b"deadline-ms", b"prompt-prefix"])
def test_extreme_numbers_of_callers_do_not_break_peer_reports(name, number):
    """Guards against load totals that overflow the fields of a report and stop all reports."""
    value = number + b"," + number if name == b"token-usage" else number
    metadata = parse_request_metadata(
        [(name, b"ab:" + number if name == b"prompt-prefix" else value)]
    )
    expected_output = LengthForecast(metadata.max_output_tokens or 1).expected_length(
        0, metadata.expected_output_tokens
    )
    load = EndpointLoad(1, metadata.prompt_tokens + expected_output, metadata.prompt_tokens)
    decoded = decode_report(encode_report(GatewayReport("g", 1, 1, {"e": load})))
    assert (
        decoded.loads_by_endpoint["e"].peak_tokens == metadata.prompt_tokens + expected_output >= 0
    )
    assert metadata.caller_timeout is None or 0 <= metadata.caller_timeout < float("inf")


@given(
    st.lists(
        st.tuples(
            st.sampled_from(
                [b"attempt-id", b"deadline-ms", b"token-usage", b"prompt-prefix", b"length-hint"]
            ),
            st.binary(max_size=30),
        )
    )
)
def test_any_header_values_decode(headers):
    """Invalid values are treated as missing."""
    metadata = parse_request_metadata(headers)
    assert metadata.caller_timeout is None or metadata.caller_timeout >= 0
    parse_response_metadata(200, headers)


def test_what_an_endpoint_says_of_itself_is_decoded():
    headers = [(b"server-limit", b"2.5"), (b"server-leaving", b"1"), (b"retry-after", b"1.5")]
    statements = parse_response_metadata(503, headers).statements
    assert (statements.rate_limit, statements.leaving, statements.pause) == (2.5, True, 1.5)
    assert parse_response_metadata(200, headers).statements.pause is None


def test_retry_after_may_be_a_date():
    headers = [
        (b"date", b"Thu, 03 Dec 2026 15:00:00 GMT"),
        (b"retry-after", b"Thu, 03 Dec 2026 15:00:04 GMT"),
    ]
    assert parse_response_metadata(503, headers).statements.pause == 4.0
    assert parse_response_metadata(503, headers[1:]).statements.unreadable == ("pause",)


STATEMENT_VALUES = st.one_of(
    st.binary(max_size=30),
    st.sampled_from(EXTREME_NUMBERS),
    st.datetimes().map(lambda time: format_datetime(time).encode()),
)


@given(
    st.lists(
        st.tuples(
            st.sampled_from([b"server-limit", b"server-leaving", b"retry-after", b"date"]),
            STATEMENT_VALUES,
        )
    )
)
def test_any_statement_of_an_endpoint_decodes(headers):
    """Guards against an error towards the caller by what an endpoint says of itself."""
    statements = parse_response_metadata(503, headers).statements
    assert statements.rate_limit is None or 0 <= statements.rate_limit < float("inf")
    assert statements.pause is None or 0 <= statements.pause <= MAX_PAUSE_SECONDS


def test_null_and_float_values_are_accepted():
    """Nulls, missing values and integers written as floats must not invalidate a configuration."""
    route = {**CONFIGURATION["routes"][1], "maxAttempts": 2.0, "priority": None}
    limits = {"maxBodyBytes": 4096.0, "idleTimeoutMs": None}
    table = decode_configuration({**CONFIGURATION, "routes": [route], "limits": limits})
    found = table.match("ficu95.example", "/lohu930/pufi/x")
    assert (found.max_attempts, found.priority) == (2, 5)
    assert table.limits.max_body_bytes == 4096


REPORTS = [
    (200, b'{"state":"ready","running":7}', False, None),
    (200, b'{"state":"draining","leaves_ms":1432}', True, 1.432),
    (200, b'{"state":"draining"}', True, None),
    (200, b'{"leaves_ms":900}', True, 0.9),
    (200, b'{"state":["draining"],"leaves_ms":true}', False, None),
    (200, b"[]", False, None),
    (200, b"<html>", False, None),
    (503, b'{"state":"draining"}', False, None),
]


@pytest.mark.parametrize("status, body, leaving, leaves_in", REPORTS)
def test_engine_status_is_decoded(status, body, leaving, leaves_in):
    found = decode_status(status, body)
    assert (found.leaving, found.leaves_in) == (leaving, leaves_in)


def test_cold_endpoints_and_regions_are_decoded():
    spec = {"service": "a", "address": "10.0.0.1:80", "state": "ready", "coldRemainingMs": 700}
    assert decode_endpoint("e1", spec, 1).cold_for == pytest.approx(0.7)
    configuration = {
        "version": 1,
        "routes": [{**CONFIGURATION["routes"][1], "allowedRegions": ["north"]}],
        "services": [{"name": "b", "coldStartS": 1.5, "coldPerS": 36.0}],
        "tenants": [{"name": "t", "apiKeys": ["k"], "allowedRegions": ["north", "south"]}],
    }
    table = decode_configuration(configuration)
    traits = table.services_by_name["b"]
    assert (traits.cold_start, traits.cold_rate) == (1.5, 36.0)
    assert table.match("ficu95.example", "/lohu930/pufi/x").regions == {"north"}
    assert table.accounts_by_key["k"].regions == {"north", "south"}


def test_reports_carry_evacuations_and_cold_endpoints():
    entry = decode_endpoint(
        "e1",
        {"service": "a", "address": "10.0.0.1:80", "state": "ready", "coldRemainingMs": 700},
        9,
    )
    report = GatewayReport(
        "g1",
        1,
        1,
        {},
        [EndpointChange("e1", 9, entry)],
        endpoints_revision=9,
        evacuations=(EvacuationChange("north", 7, True), EvacuationChange("south", 8, False)),
    )
    decoded = decode_report(encode_report(report))
    assert decoded.changes[0].entry.cold_for == pytest.approx(0.7)
    assert [
        (change.data_centre, change.revision, change.evacuated) for change in decoded.evacuations
    ] == [
        ("north", 7, True),
        ("south", 8, False),
    ]
    unaware = GatewayReport("g1", 1, 1, {}, evacuations=None)
    assert decode_report(encode_report(unaware)).evacuations is None
