"""Checks a complete load run: every caller's log against what the engines ran."""

from guavacleat.checks.history import Violation

__all__ = ["check_run"]

# An endpoint may still receive requests for this long after its drain started.
DRAIN_SECONDS = 3.0


def check_run(run) -> list[Violation]:
    """Return all violations in a run of :mod:`guavacleat.load.experiment`.

    Tokens arrive exactly once, in order, from one generation; responses are complete; a request
    reported as not run did not run; a non-repeatable call runs at most once; a draining endpoint
    gets no new requests.
    """
    sequences_by_request = _sequences_by_request(run.fleet)
    violations = []
    for log in run.logs:
        sequences = sequences_by_request.get(log.arrival.request_id, [])
        violations += _check_caller(log, sequences)
    for endpoint in run.fleet.endpoints_by_name.values():
        violations += _check_drain(endpoint)
    return violations


def _sequences_by_request(fleet) -> dict[str, list]:
    by_request: dict[str, list] = {}
    for endpoint in fleet.endpoints_by_name.values():
        for sequence in endpoint.engine.sequences_by_id.values():
            by_request.setdefault(sequence.request_id, []).append(sequence)
    return by_request


def _check_caller(log, sequences) -> list[Violation]:
    name = log.arrival.request_id
    received = len(log.indices)
    violations = []
    if log.indices != list(range(received)):
        violations.append(Violation("exactly once, in order", f"{name} got indices {log.indices}"))
    if received and not any(sequence.tokens[:received] == log.texts for sequence in sequences):
        violations.append(
            Violation("one answer", f"{name} got tokens that no single generation produced")
        )
    if log.outcome == "completed" and received != log.arrival.length:
        violations.append(
            Violation("complete answer", f"{name} got {received} of {log.arrival.length}")
        )
    if log.outcome == "not_run" and sequences:
        violations.append(Violation("no execution if reported as not run", f"{name} ran"))
    if log.outcome == "open":
        violations.append(Violation("every request has an outcome", f"{name} has none"))
    if not log.arrival.kind.repeatable and len(sequences) > 1:
        violations.append(Violation("at most once", f"{name} ran {len(sequences)} times"))
    return violations


def _check_drain(endpoint) -> list[Violation]:
    if endpoint.drain_started_at is None:
        return []
    limit = endpoint.drain_started_at + DRAIN_SECONDS
    late = [s for s in endpoint.engine.sequences_by_id.values() if s.arrival > limit]
    return (
        [Violation("no new requests on a draining endpoint", f"{endpoint.name}: {len(late)}")]
        if late
        else []
    )
