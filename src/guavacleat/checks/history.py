"""Checks of recorded histories; each returns the violations found.

- :func:`check_stream`: a caller receives each token exactly once, in order, as one response: each
  token is the one that the serving endpoint produced at this index, and an endpoint that resumes
  the stream is started with exactly the tokens already sent.
- :func:`check_versions`: a daemon's configuration version never decreases.
- :func:`check_calls`: a non-repeatable call runs at most once, a call reported as not run did not
  run, and no caller receives the response to another call.
"""

from collections import Counter

__all__ = ["CallAttempt", "Violation", "check_calls", "check_stream", "check_versions"]


class Violation:
    """A violated guarantee, with details of where it was found."""

    __slots__ = ("guarantee", "detail")

    def __init__(self, guarantee: str, detail: str):
        self.guarantee = guarantee
        self.detail = detail

    def __repr__(self) -> str:
        return f"Violation({self.guarantee}: {self.detail})"


def check_stream(received, produced_by_attempt, resumes_by_attempt) -> list[Violation]:
    """Check one stream.

    :param received: ``[(index, text, attempt)]`` in the order of receipt; ``attempt``
        identifies the endpoint attempt that served the token.
    :param produced_by_attempt: ``{attempt: [text, ...]}``, the tokens that each attempt
        produced.
    :param resumes_by_attempt: ``{attempt: [text, ...]}``, the tokens that each attempt was
        resumed with (empty for the first).
    """
    violations = []
    indices = [index for index, _, _ in received]
    if indices != list(range(len(indices))):
        violations.append(Violation("exactly once, in order", f"indices {indices}"))
    sent: list[str] = []
    for index, text, attempt in received:
        produced = produced_by_attempt.get(attempt, [])
        if index >= len(produced) or produced[index] != text:
            violations.append(Violation("one generation", f"{index}={text!r} not from {attempt}"))
        resume = resumes_by_attempt.get(attempt, [])
        if resume != sent[: len(resume)] or len(resume) > index:
            violations.append(Violation("one answer", f"{attempt} resumed from {resume}"))
        sent.append(text)
    return violations


def check_versions(versions_in_force: list[int]) -> list[Violation]:
    """Check the configuration versions that a daemon applied, in order."""
    return [
        Violation("versions never decrease", f"{before} then {after}")
        for before, after in zip(versions_in_force, versions_in_force[1:], strict=False)
        if after < before
    ]


class CallAttempt:
    """One attempt at a non-repeatable call.

    :param key: the call's idempotency key.
    :ivar ran: whether an endpoint ran it for this attempt.
    :ivar outcome: the outcome reported to the caller: ``answered``, ``not_run``, ``accepted``
        or ``failed``; ``none`` if its gateway crashed first.
    :ivar answer_key: the key of the call whose response the caller received, or None.
    """

    __slots__ = ("key", "ran", "outcome", "answer_key")

    def __init__(self, key: str):
        self.key = key
        self.ran = False
        self.outcome = "none"
        self.answer_key = None


def check_calls(attempts: list[CallAttempt]) -> list[Violation]:
    """Check all attempts at the non-repeatable calls of a run."""
    runs_by_key = Counter(attempt.key for attempt in attempts if attempt.ran)
    repeated = [
        Violation("at most once", f"{key} ran {runs} times")
        for key, runs in runs_by_key.items()
        if runs > 1
    ]
    executed = [
        Violation("no execution if reported as not run", attempt.key)
        for attempt in attempts
        if attempt.ran and attempt.outcome == "not_run"
    ]
    mismatched = [
        Violation(
            "answer of the same call", f"{attempt.key} got the answer of {attempt.answer_key}"
        )
        for attempt in attempts
        if attempt.answer_key not in (None, attempt.key)
    ]
    return repeated + executed + mismatched
