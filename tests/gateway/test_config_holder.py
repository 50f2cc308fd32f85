"""The configuration in force is only replaced by newer, valid versions."""

import json
from pathlib import Path

import json5
import pytest

import guavacleat
from guavacleat.config.holder import ConfigHolder
from guavacleat.store import StoredObject

NILE = json5.loads((Path(guavacleat.__file__).parent / "examples" / "nile.json5").read_text())


def stored(version, settings=None):
    value = {"settings": json.loads(json.dumps(settings or NILE))}
    return StoredObject("config", "nile-directory-exchange", version, version, value)


@pytest.mark.parametrize(
    "offered,in_force",
    [
        ([1, 2, 3], 3),
        ([3, 1, 2], 3),
        ([2, 2, 1], 2),
    ],
)
def test_older_versions_never_replace_newer_ones(offered, in_force):
    """An older version replayed by a watch must not revert an applied change."""
    holder = ConfigHolder()
    for version in offered:
        holder.offer(stored(version))
    assert holder.version == in_force


def test_invalid_version_is_refused():
    holder = ConfigHolder()
    holder.offer(stored(1))
    broken = dict(NILE, client_accounts=[])
    assert not holder.offer(stored(2, broken))
    assert holder.version == 1 and holder.counts_by_outcome["refused"] == 1


def test_stored_configuration_is_validated_without_json5(monkeypatch):
    """Parsing a large configuration with json5 would take a daemon tens of CPU seconds."""

    def refuse(*args, **kwargs):
        raise AssertionError("json5 used on an already parsed configuration")

    monkeypatch.setattr(json5, "loads", refuse)
    assert ConfigHolder().offer(stored(1))
