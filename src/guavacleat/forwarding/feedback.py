"""Applies what endpoints say of themselves in their answers to what the gateway knows of them."""

from eliot import log_message

from guavacleat.forwarding.statements import EndpointStatements
from guavacleat.membership.registry import EndpointEntry
from guavacleat.throttling import LimitRegister

__all__ = ["EndpointFeedback"]

# Endpoints whose invalid headers are remembered, to log each one once.
MAX_LOGGED = 256


class EndpointFeedback:
    """Receives the statements of all answers, as soon as their heads arrive.

    :param limits: this gateway's :class:`~guavacleat.throttling.LimitRegister`.
    """

    def __init__(self, limits: LimitRegister):
        self.limits = limits
        self._logged: set[tuple[str, bytes]] = set()

    def observe(self, entry: EndpointEntry, sent_at: float, statements: EndpointStatements) -> None:
        """Apply the statements of an answer that has just arrived from ``entry``.

        :param sent_at: clock time at which the request was sent; the answer may be as old.
        """
        for name in statements.unreadable:
            self._log_unreadable(entry, name)
        if not statements.unreadable:
            self.limits.observe(entry.id, statements.rate_limit, sent_at)

    def _log_unreadable(self, entry: EndpointEntry, name: bytes) -> None:
        key = (entry.id, name)
        if key in self._logged or len(self._logged) >= MAX_LOGGED:
            return
        self._logged.add(key)
        log_message(
            message_type="endpoint:unreadable-answer",
            endpoint=entry.id,
            header=name.decode("latin-1"),
            action="ignored; correct the header that the endpoint sends",
        )
