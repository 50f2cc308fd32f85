"""Entries of other writers among those of the engines, as a gateway follows them in the store."""

import types

import pytest

from guavacleat.ingress.sources import StoreSource
from guavacleat.membership.registry import EndpointRegistry
from guavacleat.platform.adapter import PlatformAdapter
from guavacleat.platform.settings import parse_process_settings
from guavacleat.store import StoreClient
from guavacleat.store.watch import WatchLoop
from tests.platform.store_standin import StoreStandin
from tests.platform.test_settings import SETTINGS_TEXT

SERVICE = "a"


def entry_text(**fields):
    """The JSON text of an entry; the values of ``fields`` are JSON texts too."""
    fields = {
        "service": f'"{SERVICE}"',
        "address": '"10.0.0.9:80"',
        "zone": '"z"',
        "slots": "2",
        "state": '"ready"',
        **fields,
    }
    return "{" + ",".join(f'"{name}":{value}' for name, value in fields.items()) + "}"


DEEP_ARRAYS = "[" * 100_000 + "]" * 100_000
DEEP_OBJECTS = '{"a":' * 20_000 + "1" + "}" * 20_000
ODD_TEXTS = {
    "deep": DEEP_ARRAYS,
    "deep objects": DEEP_OBJECTS,
    "deep service": entry_text(service=DEEP_ARRAYS),
    "long number": entry_text(slots="9" * 5000),
    "number beyond floats": entry_text(coldRemainingMs="9" * 350),
    "slots beyond 32 bits": entry_text(slots=str(2**31)),
    "no slots": entry_text(slots="0"),
    "start beyond 64 bits": entry_text(born=str(2**63)),
    "start beyond floats": entry_text(born="9" * 350),
    "infinite": entry_text(slots="1e999"),
    "port out of range": entry_text(address='"10.0.0.9:70000"'),
    "long port": entry_text(address=f'"10.0.0.9:{"9" * 5000}"'),
    "no entry": "[]",
}


class Follower:
    """A gateway's registry that follows the engines' entries in ``store``."""

    def __init__(self, clock, store):
        self.registry = EndpointRegistry(clock)
        source = StoreSource(clock, parse_process_settings(SETTINGS_TEXT), PlatformAdapter())
        source.registry = self.registry
        source.evacuations = types.SimpleNamespace(endpoint_changed=lambda revision: None)
        client = StoreClient("http://store", http=store, dialect=PlatformAdapter().dialect)
        self.watch = WatchLoop(
            clock,
            client,
            "servers",
            source._endpoint_changed,
            on_listed=self.registry.observe_listing,
        )
        self.watch.start()

    def ready_ids(self):
        return {entry.id for entry in self.registry.ready(SERVICE)}


@pytest.fixture
def store(clock):
    return StoreStandin(clock)


def add(store, name):
    store.write_text("servers", name, entry_text())


@pytest.mark.parametrize("odd", ODD_TEXTS)
@pytest.mark.parametrize("listed", [True, False])
def test_an_odd_entry_costs_only_itself(clock, store, odd, listed):
    """Guards against a gateway that stops following the engines because of one entry.

    It is in the first listing, or written while the gateway watches.
    """
    add(store, "e1")
    if listed:
        store.write_text("servers", "odd", ODD_TEXTS[odd])
    follower = Follower(clock, store)
    clock.pump([0.5] * 4)
    if not listed:
        store.write_text("servers", "odd", ODD_TEXTS[odd])
    clock.pump([0.5] * 4)
    add(store, "e2")
    store.delete("servers", "e1")
    clock.pump([0.5] * 4)
    assert follower.ready_ids() == {"e2"}
    add(store, "odd")
    clock.pump([0.5] * 4)
    assert follower.ready_ids() == {"e2", "odd"}
    store.write_text("servers", "odd", ODD_TEXTS[odd])
    clock.pump([0.5] * 4)
    assert follower.ready_ids() == {"e2"}
    store.delete("servers", "odd")
    clock.pump([0.5] * 4)
    assert set(follower.registry.entries_by_id) == {"e2"}


@pytest.mark.parametrize("odd", ODD_TEXTS)
def test_an_odd_entry_is_named_in_the_log_once(clock, store, logged, odd):
    """Guards against a line at each listing for as long as the entry stands."""
    store.write_text("servers", "odd", ODD_TEXTS[odd])
    follower = Follower(clock, store)
    for _ in range(3):
        follower.watch.relist()
        store.compact_history()
        add(store, "e1")
        clock.pump([0.5] * 4)
    lines = [line for line in logged if line["message_type"] == "endpoint:unreadable"]
    assert [line["endpoint"] for line in lines] == ["odd"]


@pytest.mark.parametrize("name", ["odd\ufffd", "odd\r\nX: x", "ödd"])
def test_an_entry_whose_name_no_header_can_carry_is_not_used(clock, store, name):
    """Guards against requests that fail as long as such an entry stands."""
    add(store, name)
    add(store, "e1")
    follower = Follower(clock, store)
    clock.pump([0.5] * 4)
    assert follower.ready_ids() == {"e1"}


def test_a_listing_whose_page_ends_with_an_invalid_object_goes_on(clock, store):
    """Guards against a listing that fails at each page because of one object's metadata."""
    for number in range(4):
        add(store, f"e{number}")
    store.objects["servers", "e2"]["metadata"] = {"name": ["e2"], "revision": "x"}
    follower = Follower(clock, store)
    clock.pump([0.5] * 10)
    assert follower.ready_ids() == {"e0", "e1", "e3"}
