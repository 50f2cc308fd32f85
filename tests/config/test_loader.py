"""Loading of deployment settings: valid files load, each invalid field is reported."""

from pathlib import Path

import json5
import pytest

import guavacleat
from guavacleat.config import load_settings, parse_settings
from guavacleat.errors import SettingsError

EXAMPLES = Path(guavacleat.__file__).parent / "examples"


@pytest.fixture
def nile_raw():
    return json5.loads((EXAMPLES / "nile.json5").read_text())


@pytest.mark.parametrize("name", ["nile.json5", "keurplan.json5"])
def test_examples_load(name):
    deployment = load_settings(EXAMPLES / name)
    assert len(deployment.client_accounts_by_name) == 10
    assert all(
        e.service in deployment.services_by_name for e in deployment.endpoints_by_name.values()
    )


BAD_FIELDS = [
    # (change to the Nile file, field the error must name)
    (lambda raw: raw.pop("deployment"), "deployment"),
    (lambda raw: raw["client_accounts"][0].update(weight=0), "client_accounts[0].weight"),
    (lambda raw: raw["endpoints"][0].update(service="nope"), "endpoints[0].service"),
    (lambda raw: raw["endpoints"][1].update(data_centre="mars"), "endpoints[1].data_centre"),
    (lambda raw: raw["services"][0].update(kind="gpu"), "services[0].kind"),
    (lambda raw: raw["priority_classes"][0].update(priority=-1), "priority_classes[0].priority"),
    (lambda raw: raw["client_accounts"].append(raw["client_accounts"][0]), "client_accounts"),
    (lambda raw: raw.update(limits={"queue": 3}), "limits.queue"),
    (lambda raw: raw.update(endpoints=[]), "endpoints"),
]


@pytest.mark.parametrize("change,field", BAD_FIELDS)
def test_invalid_field_is_reported_with_remedy(nile_raw, change, field):
    """A file with one invalid field must be refused as a whole, not applied in part."""
    change(nile_raw)
    with pytest.raises(SettingsError) as caught:
        parse_settings(json5.dumps(nile_raw))
    assert f"{field}:" in str(caught.value)
    assert "Remedy:" in str(caught.value)


def test_syntax_error_is_refused():
    with pytest.raises(SettingsError, match="not valid JSON"):
        parse_settings("{ deployment: ")


def test_missing_file_is_reported(tmp_path):
    with pytest.raises(SettingsError, match="cannot read"):
        load_settings(tmp_path / "absent.json5")
