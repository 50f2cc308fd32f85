"""The register of evacuated data centres: order of changes, peers, restores of the store."""

import pytest

from guavacleat.evacuations import EvacuationChange, EvacuationRegister
from guavacleat.evacuations.register import REWRITE_SECONDS
from guavacleat.store import Revision


@pytest.fixture
def events():
    return []


@pytest.fixture
def register(clock, events):
    register = EvacuationRegister(
        clock,
        lambda name: events.append(("evacuated", name)),
        lambda name: events.append(("restored", name)),
    )
    register.observe_listing((), 10)
    return register


def evacuated(name, revision):
    return EvacuationChange(name, revision, True)


def restored(name, revision):
    return EvacuationChange(name, revision, False)


def test_no_data_centre_is_usable_before_the_first_listing(clock):
    """Guards against a starting gateway that sends requests into an evacuated data centre."""
    register = EvacuationRegister(clock)
    assert not register.is_usable("a")
    register.observe_listing({"b"}, 5)
    assert register.is_usable("a")


def test_each_change_is_reported_once(register, events):
    for change in (evacuated("a", 11), evacuated("a", 12), restored("a", 13), restored("a", 14)):
        register.observe(change)
    assert events == [("evacuated", "a"), ("restored", "a")]


def test_an_older_change_is_ignored(register):
    """Guards against a late answer that sends requests back into an evacuated data centre."""
    register.observe(evacuated("a", 12))
    register.observe(restored("a", 11))
    assert not register.is_usable("a")


def test_a_removal_with_the_revision_of_the_last_write_counts(register):
    """Guards against an evacuation without end if removals have no revision of their own."""
    register.observe(evacuated("a", 12))
    register.observe(restored("a", 12))
    register.observe(evacuated("a", 12))
    assert register.is_usable("a")


def test_a_listing_does_not_undo_a_later_evacuation(register):
    register.observe(evacuated("a", 12))
    register.observe_listing((), 11)
    assert not register.is_usable("a")
    register.observe_listing((), 13)
    assert register.is_usable("a")


def test_a_peer_that_is_behind_does_not_evacuate_again(register):
    """Guards against a restored data centre that stays unused because of an old report."""
    register.observe_listing((), 20)
    register.observe_peer([evacuated("a", 15)], 16, 0.0)
    assert register.is_usable("a")


def test_a_peer_reports_the_end_of_an_evacuation_by_leaving_it_out(register):
    register.observe(evacuated("a", 12))
    register.observe_peer([], 11, 0.0)
    assert not register.is_usable("a")
    register.observe_peer([], 13, 0.0)
    assert register.is_usable("a")


def test_an_evacuation_that_a_backup_lacks_is_kept_until_it_could_be_rewritten(register, clock):
    """Guards against requests to an evacuated data centre after a restore of the store."""
    register.observe(evacuated("a", 12))
    register.observe_listing((), Revision.of(1, 8))
    assert not register.is_usable("a")
    clock.advance(REWRITE_SECONDS)
    assert register.needs_listing()
    register.observe_listing((), Revision.of(1, 9))
    assert register.is_usable("a") and not register.needs_listing()


def test_an_evacuation_written_again_after_a_restore_is_kept(register, clock):
    register.observe(evacuated("a", 12))
    register.observe_listing((), Revision.of(1, 8))
    register.observe(evacuated("a", Revision.of(1, 9)))
    clock.advance(REWRITE_SECONDS)
    assert not register.needs_listing()
    register.observe_listing({"a"}, Revision.of(1, 10))
    assert not register.is_usable("a")


def test_a_gateway_that_knows_only_the_backup_learns_from_its_peers(clock):
    """Guards against a gateway that starts between a restore and the operators' writing."""
    register = EvacuationRegister(clock)
    register.observe_listing((), Revision.of(1, 8))
    register.observe_listing((), Revision.of(2, 8))
    register.observe_peer([evacuated("a", Revision.of(1, 12))], Revision.of(2, 8), 0.0)
    assert not register.is_usable("a")
