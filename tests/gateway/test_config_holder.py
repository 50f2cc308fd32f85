"""The configuration in force only moves forward, and only to checked versions."""

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
def test_offers_in_any_order_never_revert(offered, in_force):
    """
    Symptom: an applied change reverts on one daemon.
    Sequence: a watch gap or restart replays an older version after a newer one.
    Cause: a holder that applied whatever arrived last would go back.
    """
    holder = ConfigHolder()
    for version in offered:
        holder.offer(stored(version))
    assert holder.version == in_force


def test_version_failing_checks_is_not_put_in_force():
    holder = ConfigHolder()
    holder.offer(stored(1))
    broken = dict(NILE, client_accounts=[])
    assert not holder.offer(stored(2, broken))
    assert holder.version == 1 and holder.counts_by_outcome["refused"] == 1


def test_offered_configuration_is_checked_without_json5(monkeypatch):
    """
    Symptom: a daemon spends 35 s of CPU accepting a configuration of 44,000 client accounts.
    Sequence: ctl stores the file as plain JSON; the holder dumped it and parsed it with json5.
    Cause: json5 is pure Python, about a thousand times slower than the checks themselves.
    """

    def refuse(*args, **kwargs):
        raise AssertionError("json5 used on an already parsed configuration")

    monkeypatch.setattr(json5, "loads", refuse)
    assert ConfigHolder().offer(stored(1))
