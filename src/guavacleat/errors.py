"""Base exception classes of the package.

Each exception has a remedy, a sentence that tells the operator what to change. Subpackages raise
subclasses of these, so that callers can catch them by type.
"""

__all__ = ["GuavacleatError", "SettingsError", "StoreError", "NotRunError"]


class GuavacleatError(Exception):
    """Base class of the package's own exceptions.

    :param problem: what went wrong, in one sentence.
    :param remedy: what the operator should do about it, in one sentence.
    """

    def __init__(self, problem: str, remedy: str):
        super().__init__(f"{problem} Remedy: {remedy}")
        self.problem = problem
        self.remedy = remedy


class SettingsError(GuavacleatError):
    """A settings file or flag is malformed or inconsistent; none of it was applied."""


class StoreError(GuavacleatError):
    """The platform's object API rejected a call, timed out or was unreachable."""


class NotRunError(GuavacleatError):
    """A request was refused before any engine started it.

    :param retry_after: seconds after which the caller may retry.
    """

    def __init__(self, problem: str, remedy: str, retry_after: float):
        super().__init__(problem, remedy)
        self.retry_after = retry_after
