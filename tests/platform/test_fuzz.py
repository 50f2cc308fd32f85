"""Whatever operators, engines, the store or the platform write: a typed value or a known error."""

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
# What a decoder may raise of a spec that is not as described; the watch loop tells it in a line.
BAD_SPEC = (KeyError, ValueError, TypeError, AttributeError, IndexError)


def paths(value, path=()):
    """Where each value inside a JSON value stands."""
    items = value.items() if isinstance(value, dict) else enumerate(value)
    for key, inner in items:
        yield (*path, key)
        if isinstance(inner, (dict, list)):
            yield from paths(inner, (*path, key))


@st.composite
def spoilt(draw, value):
    """``value`` with one part of it replaced or left out."""
    value = copy.deepcopy(value)
    *way, last = draw(st.sampled_from(list(paths(value))))
    place = value
    for key in way:
        place = place[key]
    if draw(st.booleans()):
        place[last] = draw(JSON)
    else:
        del place[last]
    return value


@given(spoilt(CONFIGURATION) | JSON)
def test_any_configuration_is_decoded_or_refused(spec):
    try:
        table = decode_configuration(spec)
    except BAD_SPEC:
        return
    table.match("ficu95.example", "/lohu930/x")


@given(spoilt(ENDPOINT) | JSON)
def test_any_endpoint_entry_is_decoded_or_refused(spec):
    try:
        entry = decode_endpoint("e1", spec, 1)
    except BAD_SPEC:
        return
    assert entry.id == "e1" and len(entry.address) == 2


@example([{**CONFIGURATION, "version": None}])
@example([{**CONFIGURATION, "version": "8"}])
# A whole number written as a float is that number, here above the one that follows.
@example([{**CONFIGURATION, "version": 1099511627777.0}])
@given(st.lists(spoilt(CONFIGURATION) | JSON, max_size=5))
def test_after_any_configurations_a_good_one_comes_into_force(specs):
    """
    Symptom: a gateway stays with an old configuration for good.
    Sequence: versions that cannot be read are written, then a good one, newer than all that came
    into force.
    Cause: an object that nobody can read must not end the watch.
    """
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


@given(st.lists(spoilt(ENDPOINT) | JSON, max_size=5))
def test_after_any_entries_a_good_endpoint_is_known(specs):
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
def test_any_answer_of_the_store_is_an_answer_or_none(body):
    for code in (200, 409, 410, 429, 500):
        standin = StoreStandin()
        standin.request = lambda *_, code=code, **__: defer.succeed(Reply(code, body))
        client = StoreClient("http://store", http=standin, dialect=PlatformDialect())
        for call in (client.list_objects("servers"), client.get("servers", "e1")):
            call.addErrback(lambda failure: failure.trap(*BAD_SPEC, StoreUnavailableError))
            call.addErrback(lambda failure: pytest.fail(repr(failure.value)))


@given(st.text(max_size=200) | st.lists(st.sampled_from(SETTINGS_TEXT.splitlines())).map("\n".join))
def test_any_settings_file_is_read_or_refused_with_a_remedy(text):
    try:
        settings = parse_process_settings(text)
    except SettingsError as error:
        assert "Remedy" in str(error) or "add" in str(error) or "correct" in str(error)
        return
    assert settings.instance
