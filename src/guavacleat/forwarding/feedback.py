"""Applies what endpoints say of themselves in their answers to what the gateway knows of them."""

from eliot import log_message

from guavacleat.forwarding.statements import EndpointStatements
from guavacleat.membership.entries import EndpointEntry
from guavacleat.membership.registry import EndpointRegistry
from guavacleat.throttling import EndpointThrottle

__all__ = ["EndpointFeedback"]

# Endpoints whose invalid headers are remembered, to log each one once.
MAX_LOGGED = 256


class EndpointFeedback:
    """Receives the statements of all answers, as soon as their heads arrive.

    :param registry: this gateway's :class:`~guavacleat.membership.registry.EndpointRegistry`.
    :param throttle: this gateway's :class:`~guavacleat.throttling.EndpointThrottle`.
    """

    def __init__(self, registry: EndpointRegistry, throttle: EndpointThrottle):
        self.registry = registry
        self.throttle = throttle
        self._logged: set[tuple[str, str]] = set()

    def observe(self, entry: EndpointEntry, sent_at: float, statements: EndpointStatements) -> None:
        """Apply the statements of an answer that has just arrived from ``entry``.

        :param sent_at: clock time at which the request was sent; the answer may be as old.
        """
        for name in statements.unreadable:
            self._log_once(entry, name, "endpoint:unreadable-answer", statement=name)
        if "rate_limit" not in statements.unreadable:
            self.throttle.limits.observe(entry.id, statements.rate_limit, sent_at)
        if statements.leaving:
            self._log_once(entry, "leaving", "endpoint:says-leaving", state=entry.state.value)
            self.registry.observe_said_leaving(entry)
        if statements.pause:
            self.throttle.pauses.observe(entry.id, statements.pause)

    def _log_once(self, entry: EndpointEntry, name: str, message_type: str, **fields) -> None:
        key = (entry.id, f"{message_type} {name}")
        if key not in self._logged and len(self._logged) < MAX_LOGGED:
            self._logged.add(key)
            log_message(message_type=message_type, endpoint=entry.id, **fields)
