"""Applies what endpoints say of themselves in their answers to what the gateway knows of them."""

from eliot import log_message

from guavacleat.forwarding.statements import EndpointStatements
from guavacleat.membership.entries import EndpointEntry
from guavacleat.membership.registry import EndpointRegistry
from guavacleat.throttling import EndpointThrottle

__all__ = ["EndpointFeedback"]

# Invalid statements that are remembered, to log each one once.
MAX_LOGGED = 256


class EndpointFeedback:
    """Receives the statements of all answers, as soon as their heads arrive.

    :param registry: this gateway's :class:`~guavacleat.membership.registry.EndpointRegistry`.
    :param throttle: this gateway's :class:`~guavacleat.throttling.EndpointThrottle`.
    """

    def __init__(self, registry: EndpointRegistry, throttle: EndpointThrottle):
        self.registry = registry
        self.throttle = throttle
        # (endpoint id, statement), the earliest first.
        self._logged: dict[tuple[str, str], None] = {}

    def observe(self, entry: EndpointEntry, sent_at: float, statements: EndpointStatements) -> None:
        """Apply the statements of an answer that has just arrived from ``entry``.

        :param sent_at: clock time at which the request was sent; the answer may be as old.
        """
        for name in statements.unreadable:
            self._log_unreadable(entry, name)
        if "rate_limit" not in statements.unreadable:
            self.throttle.limits.observe(entry.id, statements.rate_limit, sent_at)
        if statements.leaving:
            self.registry.observe_said_leaving(entry)
        if statements.pause:
            self.throttle.pauses.observe(entry.id, statements.pause)

    def _log_unreadable(self, entry: EndpointEntry, statement: str) -> None:
        key = (entry.id, statement)
        if key in self._logged:
            return
        self._logged[key] = None
        if len(self._logged) > MAX_LOGGED:
            del self._logged[next(iter(self._logged))]
        log_message(
            message_type="endpoint:unreadable-answer", endpoint=entry.id, statement=statement
        )
