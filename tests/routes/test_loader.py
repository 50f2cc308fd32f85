"""Loading of routes files: the example loads, each invalid field is reported."""

from pathlib import Path

import json5
import pytest

import guavacleat
from guavacleat.errors import SettingsError
from guavacleat.routes import RequestKind
from guavacleat.routes.loader import load_routes, parse_routes

EXAMPLE = Path(guavacleat.__file__).parent / "examples" / "routes.json5"


@pytest.fixture
def raw():
    return json5.loads(EXAMPLE.read_text())


def test_example_loads():
    found = load_routes(EXAMPLE)
    listing = found.table.match("enquiry.example", "/listing/x")
    assert (listing.kind, listing.timeout, listing.gap_goal) == (RequestKind.STREAM, 39, 0.18)
    assert found.table.accounts_by_key["key-misr-mobile"].priority == 1
    assert found.table.services_by_name["enquiry-lm"].engine.memory_tokens == 34000
    assert [entry.address for entry in found.endpoints][0] == ("127.0.0.1", 8001)


BAD_FIELDS = [
    # (change to the example, field the error must name)
    (lambda raw: raw["routes"][0].pop("timeout"), "routes[0].timeout"),
    (lambda raw: raw["routes"][0].update(kind="sometimes"), "routes[0].kind"),
    (lambda raw: raw["routes"][0].update(path_prefix="readout"), "routes[0].path_prefix"),
    (lambda raw: raw["routes"][0].update(backends=[]), "routes[0].backends"),
    (lambda raw: raw["routes"][0].update(backends=[{"service": "x"}]), "unknown service 'x'"),
    (lambda raw: raw["routes"].append(raw["routes"][0]), "routes: names 'readout' 2 times"),
    (lambda raw: raw["endpoints"][0].update(address="here"), "endpoints[0].address"),
    (lambda raw: raw["endpoints"].clear(), "endpoints: is empty"),
    (lambda raw: raw["limits"].update(max_size=1), "limits.max_size"),
    (lambda raw: raw["limits"].update(idle_timeout=0), "limits.idle_timeout"),
    (lambda raw: raw["client_accounts"][0].update(keys=[]), "keys"),
    (
        lambda raw: raw["client_accounts"][1].update(keys=["key-misr-mobile"]),
        "client_accounts[1].keys",
    ),
    (lambda raw: raw["services"][1]["engine"].pop("slots"), "services[1].engine.slots"),
]


@pytest.mark.parametrize("change,named", BAD_FIELDS)
def test_invalid_field_is_reported_with_remedy(raw, change, named):
    change(raw)
    with pytest.raises(SettingsError) as caught:
        parse_routes(json5.dumps(raw))
    assert named in str(caught.value)
    assert "Remedy" in str(caught.value)


@pytest.mark.parametrize("text", ["{", "[]", "3"])
def test_text_that_is_not_an_object_is_refused(text):
    with pytest.raises(SettingsError, match="file:"):
        parse_routes(text)
