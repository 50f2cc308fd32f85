"""Base error kinds shared by every slice.

Each error carries a remedy: a sentence telling the reader what to do about it. Slices subclass
these kinds rather than raising bare exceptions, so a caller can branch on the kind and an
operator always reads what to change.
"""

__all__ = ["GuavacleatError", "SettingsError", "StoreError", "NotRunError"]


class GuavacleatError(Exception):
    """Root of every error this package raises on purpose.

    :param problem: what went wrong, in one sentence.
    :param remedy: what the reader should do about it, in one sentence.
    """

    def __init__(self, problem: str, remedy: str):
        super().__init__(f"{problem} Remedy: {remedy}")
        self.problem = problem
        self.remedy = remedy


class SettingsError(GuavacleatError):
    """A settings file or flag is malformed or inconsistent; nothing of it was applied."""


class StoreError(GuavacleatError):
    """The platform's object API refused, timed out or could not be reached."""


class NotRunError(GuavacleatError):
    """A request was refused before any engine started it.

    :param retry_after: seconds after which the caller may send it again.
    """

    def __init__(self, problem: str, remedy: str, retry_after: float):
        super().__init__(problem, remedy)
        self.retry_after = retry_after
