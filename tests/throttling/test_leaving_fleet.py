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


def test_peers_learn_that_an_endpoint_leaves_and_keep_to_it():
    """Guards against gateways that hear of a notice and forget it at the endpoint's heartbeat."""
    fleet = StatementFleet()
    log = fleet.logs[0]
    fleet.send(1.0)
    log.standin.leaving = True
    fleet.send_to("g0", 1.0)
    heartbeat(fleet, log)
    told_at = fleet.network.seconds()
    fleet.send(4.0)
    assert log.count_between(told_at, told_at + 4.0) == 0


def test_endpoint_that_lapses_and_registers_again_is_still_leaving():
    """Guards against requests to a leaving endpoint that the store lists anew after an outage."""
    fleet = StatementFleet()
    log = fleet.logs[0]
    fleet.send(1.0)
    log.standin.leaving = True
    fleet.send(1.0)
    fleet.store.write("endpoints", log.endpoint.id, None, True)
    fleet.send(4.0)
    heartbeat(fleet, log)
    fleet.send(4.0)
    assert not log.late_arrivals


def test_next_process_of_an_endpoint_that_left_gets_requests():
    fleet = StatementFleet()
    fleet.send(1.0)
    log = fleet.logs[0]
    log.standin.leaving = True
    fleet.send(3.0)
    log.standin.leaving = False
    log.endpoint.crash()
    fleet.send(5.0)
    now = fleet.network.seconds()
    fleet.send(2.0)
    assert log.count_between(now, now + 2.0) > 10


def test_request_is_refused_at_once_when_all_endpoints_leave():
    fleet = StatementFleet()
    for log in fleet.logs:
        log.standin.leaving = True
    fleet.send(2.0)
    fleet.harmless_outcomes.clear()
    fleet.send(3.0)
    assert set(fleet.harmless_outcomes) == {503}
    assert fleet.longest_refusal_seconds < 0.25
