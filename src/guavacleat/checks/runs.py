"""Checks a whole load run: every caller's history against what the engines did."""

from guavacleat.checks.history import Violation

__all__ = ["check_run"]

# A leaving endpoint may still be sent work this long after its drain began.
DRAIN_SECONDS = 3.0


def check_run(run) -> list[Violation]:
    """Every promise a run of :mod:`guavacleat.load.experiment` can break.

    Each token once, in order, and of one answer; answers whole; "not run" did not run; a call
    that may not be repeated ran at most once; no new work on a leaving endpoint.
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
    got = len(log.indices)
    violations = []
    if log.indices != list(range(got)):
        violations.append(Violation("once, in order", f"{name} got indices {log.indices}"))
    if got and not any(sequence.tokens[:got] == log.texts for sequence in sequences):
        violations.append(Violation("one answer", f"{name} got tokens of no one generation"))
    if log.outcome == "completed" and got != log.arrival.length:
        violations.append(Violation("whole", f"{name} got {got} of {log.arrival.length}"))
    if log.outcome == "not_run" and sequences:
        violations.append(Violation("not run means not run", f"{name} ran"))
    if log.outcome == "open":
        violations.append(Violation("answered", f"{name} never got an outcome"))
    if not log.arrival.kind.repeatable and len(sequences) > 1:
        violations.append(Violation("at most once", f"{name} ran {len(sequences)} times"))
    return violations


def _check_drain(endpoint) -> list[Violation]:
    if endpoint.drain_started_at is None:
        return []
    limit = endpoint.drain_started_at + DRAIN_SECONDS
    late = [s for s in endpoint.engine.sequences_by_id.values() if s.arrival > limit]
    return [Violation("leaving gets no new work", f"{endpoint.name}: {len(late)}")] if late else []
