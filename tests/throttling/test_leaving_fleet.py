"""Endpoints that say in their answers that they will shut down."""

from tests.throttling.statement_fleet import StatementFleet


def heartbeat(fleet, log):
    """Write the endpoint's entry again, which still says that it is ready."""
    fleet.store.write("endpoints", log.endpoint.id, f"{log.endpoint.ip} 0.0")


def test_endpoint_that_says_it_leaves_gets_no_requests_while_the_store_is_away():
    """Guards against requests to an endpoint whose notice has not reached the store yet."""
    fleet = StatementFleet()
    fleet.send(2.0)
    fleet.set_store_state("silent")
    fleet.logs[0].standin.leaving = True
    fleet.send(8.0)
    assert not fleet.logs[0].late_arrivals
    assert fleet.harmless_outcomes[200] == sum(fleet.harmless_outcomes.values())


def test_entry_that_still_says_ready_does_not_undo_what_the_endpoint_said():
    """Guards against a heartbeat written before the notice, which the store accepts after it."""
    fleet = StatementFleet()
    fleet.send(2.0)
    fleet.logs[0].standin.leaving = True
    for _ in range(8):
        fleet.send(1.0)
        heartbeat(fleet, fleet.logs[0])
    assert not fleet.logs[0].late_arrivals
