"""Fuzzing: any input is decoded to a valid value or raises a documented exception."""

import copy
import json

import pytest
from hypothesis import example, given
from hypothesis import strategies as st
from twisted.internet import defer
from twisted.internet.task import Clock

from guavacleat.errors import SettingsError
from guavacleat.membership.registry import EndpointRegistry
from guavacleat.platform.decode import decode_configuration, decode_endpoint
from guavacleat.platform.objects import PlatformDialect
from guavacleat.platform.settings import parse_process_settings
from guavacleat.routes.holder import RouteHolder
from guavacleat.store import StoreClient, StoreUnavailableError
from guavacleat.store.watch import WatchLoop
from tests.platform.store_standin import Reply, StoreStandin
from tests.platform.test_decode import CONFIGURATION
from tests.platform.test_settings import SETTINGS_TEXT

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=8,
)
ENDPOINT = {"service": "a", "address": "10.0.0.1:80", "zone": "z", "slots": 6, "state": "ready"}
# Exceptions that a decoder may raise for an invalid spec; the watch loop logs them.
DECODE_ERRORS = (KeyError, ValueError, TypeError, AttributeError, IndexError)


def paths(value, path=()):
    """Yield the path of each value nested in a JSON value."""
    items = value.items() if isinstance(value, dict) else enumerate(value)
    for key, inner in items:
        yield (*path, key)
        if isinstance(inner, (dict, list)):
            yield from paths(inner, (*path, key))


@st.composite
def corrupted(draw, value):
    """``value`` with one nested value replaced or removed."""
    value = copy.deepcopy(value)
    *parents, last = draw(st.sampled_from(list(paths(value))))
    container = value
    for key in parents:
        container = container[key]
    if draw(st.booleans()):
        container[last] = draw(JSON)
    else:
        del container[last]
    return value


@given(corrupted(CONFIGURATION) | JSON)
def test_any_configuration_is_decoded_or_rejected(spec):
    try:
        table = decode_configuration(spec)
    except DECODE_ERRORS:
        return
    table.match("ficu95.example", "/lohu930/x")


@given(corrupted(ENDPOINT) | JSON)
def test_any_endpoint_entry_is_decoded_or_rejected(spec):
    try:
        entry = decode_endpoint("e1", spec, 1)
    except DECODE_ERRORS:
        return
    assert entry.id == "e1" and len(entry.address) == 2


@example([{**CONFIGURATION, "version": None}])
@example([{**CONFIGURATION, "version": "8"}])
# A version written as a float with an integral value is accepted.
@example([{**CONFIGURATION, "version": 1099511627777.0}])
@given(st.lists(corrupted(CONFIGURATION) | JSON, max_size=5))
def test_valid_configuration_is_applied_after_invalid_ones(specs):
    """Guards against a watch that ends at an invalid object and keeps an old configuration."""
    clock, standin, holder = Clock(), StoreStandin(), RouteHolder()
    client = StoreClient("http://store", http=standin, dialect=PlatformDialect())
    offer = lambda stored: holder.offer(decode_configuration(stored.value))  # noqa: E731
    WatchLoop(clock, client, "config", offer).start()
    for spec in specs:
        standin.write("config", "main", spec)
        clock.advance(1)
    good = holder.table.version + 1 if holder.table else 1
    standin.write("config", "main", {**CONFIGURATION, "version": good})
    clock.advance(1)
    assert holder.table.version == good


@given(st.lists(corrupted(ENDPOINT) | JSON, max_size=5))
def test_valid_endpoint_entry_is_used_after_invalid_ones(specs):
    clock, standin = Clock(), StoreStandin()
    registry = EndpointRegistry(clock)
    client = StoreClient("http://store", http=standin, dialect=PlatformDialect())

    def observe(stored):
        registry.observe(decode_endpoint(stored.name, stored.value, stored.revision))

    WatchLoop(clock, client, "servers", observe).start()
    for spec in [*specs, ENDPOINT]:
        standin.write("servers", "e1", spec)
        clock.advance(1)
    assert [entry.id for entry in registry.ready("a")] == ["e1"]


@given(st.binary(max_size=60) | JSON.map(lambda value: json.dumps(value).encode()))
def test_any_store_response_is_decoded_or_raises_a_known_error(body):
    for code in (200, 409, 410, 429, 500):
        standin = StoreStandin()
        standin.request = lambda *_, code=code, **__: defer.succeed(Reply(code, body))
        client = StoreClient("http://store", http=standin, dialect=PlatformDialect())
        for call in (client.list_objects("servers"), client.get("servers", "e1")):
            call.addErrback(lambda failure: failure.trap(*DECODE_ERRORS, StoreUnavailableError))
            call.addErrback(lambda failure: pytest.fail(repr(failure.value)))


@given(st.text(max_size=200) | st.lists(st.sampled_from(SETTINGS_TEXT.splitlines())).map("\n".join))
def test_any_settings_file_is_parsed_or_rejected_with_a_remedy(text):
    try:
        settings = parse_process_settings(text)
    except SettingsError as error:
        assert "Remedy" in str(error) or "add" in str(error) or "correct" in str(error)
        return
    assert settings.instance
