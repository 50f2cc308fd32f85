"""Checkers over recorded histories; each returns the violations found (empty when all holds).

- :func:`check_stream`: one caller's tokens arrived each once, in order, forming one answer:
  the token at each index is the one the endpoint serving at that moment produced, and an
  endpoint that took over was given exactly the tokens already sent.
- :func:`check_versions`: a daemon's configuration versions in force never went back.
- :func:`check_calls`: a non-repeatable call ran at most once, a request refused as not run did
  not run, and nobody received the answer to another call.
"""

from collections import Counter

__all__ = ["CallAttempt", "Violation", "check_calls", "check_stream", "check_versions"]


class Violation:
    """One broken promise found in a history: which, and where."""

    __slots__ = ("promise", "detail")

    def __init__(self, promise: str, detail: str):
        self.promise = promise
        self.detail = detail

    def __repr__(self) -> str:
        return f"Violation({self.promise}: {self.detail})"


def check_stream(received, produced_by_attempt, resumes_by_attempt) -> list[Violation]:
    """Check one stream.

    :param received: ``[(index, text, attempt)]`` in the order the caller got them; ``attempt``
        names the endpoint attempt that was serving when the token was sent.
    :param produced_by_attempt: ``{attempt: [text, ...]}``, what each attempt emitted by index.
    :param resumes_by_attempt: ``{attempt: [text, ...]}``, the tokens each attempt was started
        with (empty for the first).
    """
    violations = []
    indices = [index for index, _, _ in received]
    if indices != list(range(len(indices))):
        violations.append(Violation("once, in order", f"indices {indices}"))
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
    """Versions in force, in the order a daemon held them, must never decrease."""
    return [
        Violation("never reverts", f"{before} then {after}")
        for before, after in zip(versions_in_force, versions_in_force[1:], strict=False)
        if after < before
    ]


class CallAttempt:
    """One attempt at a non-repeatable call.

    :param key: the call's idempotency key.
    :param ran: whether an endpoint ran it for this attempt.
    :param outcome: what the client was told: ``answered``, ``not_run``, ``accepted``, ``failed``
        or, if its gateway died first, ``none``.
    :param answer_key: the key of the call whose answer the client got, or None.
    """

    __slots__ = ("key", "ran", "outcome", "answer_key")

    def __init__(self, key: str):
        self.key = key
        self.ran = False
        self.outcome = "none"
        self.answer_key = None


def check_calls(attempts: list[CallAttempt]) -> list[Violation]:
    """Check every attempt at every non-repeatable call of a run."""
    runs_by_key = Counter(attempt.key for attempt in attempts if attempt.ran)
    twice = [
        Violation("at most once", f"{key} ran {runs} times")
        for key, runs in runs_by_key.items()
        if runs > 1
    ]
    refused = [
        Violation("not run means not run", attempt.key)
        for attempt in attempts
        if attempt.ran and attempt.outcome == "not_run"
    ]
    crossed = [
        Violation("own answer", f"{attempt.key} got the answer of {attempt.answer_key}")
        for attempt in attempts
        if attempt.answer_key not in (None, attempt.key)
    ]
    return twice + refused + crossed
