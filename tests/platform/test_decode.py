"""Wire to types: configuration, endpoint entries, headers, moves; any input, never a crash."""

import contextlib
import json
import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from guavacleat.forwarding.messages import ForwardingMetadata, ResumePoint
from guavacleat.lengths import LengthForecast
from guavacleat.membership.registry import EndpointState
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


def test_a_version_may_be_a_float_where_floats_are_exact():
    """
    Symptom: every later configuration is ignored.
    Sequence: a version comes as a float that also stands for its neighbours, and is read too high.
    Cause: beyond 2**53 - 1 a float does not say which whole number was written.
    """
    for version in (7.0, float(2**53 - 1), 2**53 + 1):
        assert decode_configuration({**CONFIGURATION, "version": version}).version == version
    for version in (float(2**53), 1e300, 7.5, math.inf, True, "7", None):
        with pytest.raises(ValueError):
            decode_configuration({**CONFIGURATION, "version": version})


def test_configuration_in_seconds_and_types():
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


def test_an_unknown_kind_is_run_once_at_most():
    route = {**CONFIGURATION["routes"][1], "kind": "something-new"}
    table = decode_configuration({**CONFIGURATION, "routes": [route]})
    assert table.match("ficu95.example", "/lohu930/pufi/").kind is RequestKind.NON_IDEMPOTENT


def test_without_accounts_no_key_is_asked():
    spec = {key: value for key, value in CONFIGURATION.items() if key != "tenants"}
    assert not decode_configuration(spec).requires_key
    assert decode_configuration(CONFIGURATION).requires_key


def test_an_endpoint_in_any_state_but_ready_takes_no_new_work():
    spec = {"service": "a", "address": "10.1.2.3:80", "zone": "z", "slots": 24, "state": "ready"}
    assert decode_endpoint("i-1", spec, 1).state is EndpointState.READY
    assert decode_endpoint("i-1", spec, 1).address == ("10.1.2.3", 80)
    assert decode_endpoint("i-1", {**spec, "state": "draining"}, 1).state is EndpointState.DRAINING
    # Not leaving either: streams on it need not be moved because of what another writer wrote.
    assert decode_endpoint("i-1", {**spec, "state": "odd"}, 1).state is EndpointState.UNUSABLE


READY_SPEC = {"service": "a", "address": "10.1.2.3:80", "zone": "z", "slots": 24, "state": "ready"}
WITHOUT = object()
FOREIGN_FIELDS = [
    ("service", WITHOUT),
    ("service", 7),
    ("address", WITHOUT),
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
    ("state", WITHOUT),
    ("state", None),
    ("state", ["ready"]),
    ("born", "yesterday"),
    ("born", 12.5),
]


@pytest.mark.parametrize("field,value", FOREIGN_FIELDS)
def test_an_entry_of_another_writer_is_refused_whole(field, value):
    """
    Symptom: a gateway fails with every request, or looks up a host's name.
    Sequence: somebody else writes an entry with a field missing or of another type.
    Cause: what is let through here is used with every request.
    """
    spec = {**READY_SPEC, field: value}
    if value is WITHOUT:
        del spec[field]
    with pytest.raises((KeyError, ValueError, TypeError, AttributeError)):
        decode_endpoint("i-1", spec, 1)


@pytest.mark.parametrize("spec", [None, "bytes", 5, [], [READY_SPEC]])
def test_an_entry_that_is_no_map_is_refused(spec):
    with pytest.raises((KeyError, ValueError, TypeError, AttributeError)):
        decode_endpoint("i-1", spec, 1)


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=5,
)


@given(st.dictionaries(st.sampled_from([*READY_SPEC, "born"]), JSON_VALUES))
def test_any_entry_is_decoded_or_refused(changed):
    with contextlib.suppress(KeyError, ValueError, TypeError, AttributeError):
        found = decode_endpoint("i-1", {**READY_SPEC, **changed}, 1)
        assert found.started_ms is None or isinstance(found.started_ms, int)


def test_the_start_of_an_endpoint_is_read():
    assert decode_endpoint("i-1", READY_SPEC, 1).started_ms is None
    assert decode_endpoint("i-1", {**READY_SPEC, "born": 1778085760007}, 1).started_ms == (
        1778085760007
    )


FORGED = [
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


@pytest.mark.parametrize("name,value", FORGED)
def test_headers_that_the_system_owns_never_pass_from_a_caller(name, value):
    """
    Symptom: an engine's memory fills with pins that nobody in the system asked for.
    Sequence: a caller sends a header that is the system's to set.
    Cause: forwarding what callers send would obey it.
    """
    metadata = ForwardingMetadata("i-1", 1.5, account="t1")
    headers = endpoint_headers([(name, value), (b"x-own", b"kept")], metadata)
    assert (name, value) not in headers
    assert (b"x-own", b"kept") in headers
    values = dict(headers)
    assert values[b"expect-instance"] == b"i-1"
    assert values[b"tenant"] == b"t1"
    assert values[b"deadline-ms"] == b"1500"


def test_a_resumed_request_names_its_copy_and_last_event():
    metadata = ForwardingMetadata("i-1", 1.5, resume=ResumePoint(("10.0.0.1", 80), "h7", 42))
    values = dict(endpoint_headers([(b"last-event-id", b"1")], metadata))
    assert values[b"kv-from"] == b"10.0.0.1:80/h7"
    assert values[b"last-event-id"] == b"42"


def test_caller_facts_are_decoded():
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


def test_answer_facts_are_decoded():
    metadata = parse_response_metadata([(b"attempt-id", b"r1"), (b"response-seal", b"s")])
    assert (metadata.request_id, metadata.signed, metadata.not_run) == ("r1", True, False)
    assert parse_response_metadata([(b"not-executed", b"1")]).not_run
    assert parse_response_metadata([(b"content-encoding", b"gzip")]).encoded


def test_a_refusal_names_the_request_and_when_to_come_back():
    assert dict(refusal_headers("r1", 0.5)) == {b"attempt-id": b"r1", b"retry-after": b"0.500"}
    assert refusal_headers("", None) == []


def test_moves_are_encoded_and_decoded():
    method, _, _, body = encode_move("r1", ("10.0.0.2", 81))
    assert method == b"POST"
    assert json.loads(body) == {"id": "r1", "target": "10.0.0.2:81", "last": False}
    assert decode_move(200, b'{"handle": "h1", "createdAt": 3}').handle == "h1"
    assert decode_move(503, b"").handle is None


@given(st.integers(100, 599), st.binary(max_size=60))
def test_any_move_answer_decodes(status, body):
    decode_move(status, body)


ODD_NUMBERS = [b"inf", b"-inf", b"nan", b"1e400", b"9" * 40, b"-7", b"", b"x", b"1e30"]


@pytest.mark.parametrize("number", ODD_NUMBERS)
@pytest.mark.parametrize("name", [b"token-usage", b"length-hint", b"deadline-ms", b"prompt-prefix"])
def test_no_callers_number_breaks_what_gateways_tell_each_other(name, number):
    """
    Symptom: gateways no longer know of each other's load, after one caller's request.
    Sequence: a caller says that its prompt has 10^40 tokens.
    Cause: the sum went beyond what a report can carry, and writing reports ended with an error.
    """
    value = number + b"," + number if name == b"token-usage" else number
    metadata = parse_request_metadata(
        [(name, b"ab:" + number if name == b"prompt-prefix" else value)]
    )
    held = LengthForecast(metadata.max_output_tokens or 1).expected_length(
        0, metadata.expected_output_tokens
    )
    load = EndpointLoad(1, metadata.prompt_tokens + held, metadata.prompt_tokens)
    decoded = decode_report(encode_report(GatewayReport("g", 1, 1, {"e": load})))
    assert decoded.loads_by_endpoint["e"].peak_tokens == metadata.prompt_tokens + held >= 0
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
    """Callers may send anything: what cannot be read counts as not said."""
    metadata = parse_request_metadata(headers)
    assert metadata.caller_timeout is None or metadata.caller_timeout >= 0
    parse_response_metadata(headers)


def test_parts_that_are_null_or_written_as_floats_are_taken():
    """What is left out, null or written as 2.0 must not make a good configuration unreadable."""
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
def test_an_engines_report_says_whether_it_leaves(status, body, leaving, leaves_in):
    found = decode_status(status, body)
    assert (found.leaving, found.leaves_in) == (leaving, leaves_in)
