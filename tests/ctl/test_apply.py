"""``ctl apply`` with concurrent operators and lost responses."""

from pathlib import Path

import pytest

import guavacleat
from guavacleat.ctl import apply_settings, read_status
from guavacleat.errors import SettingsError
from guavacleat.evacuations.objects import set_evacuated
from guavacleat.store import ConflictError
from tests.conftest import result_of

NILE = Path(guavacleat.__file__).parent / "examples" / "nile.json5"


def test_concurrent_apply_fails_with_the_version_to_rebase_on(store, stub_http):
    """Of two changes based on the same version, the second must not overwrite the first."""
    result_of(apply_settings(store, str(NILE)), stub_http.flush)
    result_of(apply_settings(store, str(NILE), base_version=1), stub_http.flush)
    with pytest.raises(ConflictError, match="version 2"):
        result_of(apply_settings(store, str(NILE), base_version=1), stub_http.flush)


def test_apply_succeeds_after_read_back_when_the_response_is_lost(store, store_app, stub_http):
    store_app.faults.lose_acks = 1
    applied = result_of(apply_settings(store, str(NILE)), stub_http.flush)
    assert applied.version == 1


def test_invalid_file_is_not_written(store, store_app, stub_http, tmp_path):
    bad = tmp_path / "bad.json5"
    bad.write_text("{ deployment: 'x' }")
    with pytest.raises(SettingsError):
        result_of(apply_settings(store, str(bad)), stub_http.flush)
    assert store_app.state.calls_by_type["write"] == 0


def test_data_centre_is_evacuated_and_restored(store, stub_http):
    def run(deferred):
        return result_of(deferred, stub_http.flush)

    run(apply_settings(store, str(NILE)))
    assert run(set_evacuated(store, "nasr-a", True))
    assert not run(set_evacuated(store, "nasr-a", True))
    assert any("nasr-a: evacuated" in line for line in run(read_status(store)))
    assert run(set_evacuated(store, "nasr-a", False))
    assert not run(set_evacuated(store, "nasr-a", False))
    assert not any("nasr-a" in line for line in run(read_status(store)))
