"""Request rates to which endpoints limit themselves, as they say in their answers.

An endpoint names its limit in every answer while it applies, and ends it by an answer without one.
Answers may overtake each other. A limit therefore counts from the arrival of the answer that names
it, its end only from the time at which the request was sent: an answer that may be older than the
latest statement doesn't end it.
"""

from eliot import log_message
from twisted.internet.interfaces import IReactorTime

__all__ = ["LimitRegister", "LimitStatement"]

# A limit that no answer has confirmed for this time is dropped; the next answer names it again.
EXPIRY_SECONDS = 60.0
# How long the end of a limit is remembered, so that older statements don't bring it back.
END_RETENTION_SECONDS = 15.0


class LimitStatement:
    """An endpoint's statement about its limit.

    :param rate: requests per second from all gateways together; None if there is no limit.
    :param at: clock time for which it holds at the latest.
    :param since: clock time of the first statement of this rate.
    """

    __slots__ = ("endpoint", "rate", "at", "since")

    def __init__(self, endpoint: str, rate: float | None, at: float, since: float | None = None):
        self.endpoint = endpoint
        self.rate = rate
        self.at = at
        self.since = at if since is None else since


class LimitRegister:
    """The latest statement of each endpoint that limits its rate, or did so recently."""

    def __init__(self, clock: IReactorTime):
        self.clock = clock
        self.latest_by_id: dict[str, LimitStatement] = {}
        # Requests sent to each endpoint since its limit began or changed, for the log.
        self._sent_by_id: dict[str, int] = {}

    def observe(self, endpoint_id: str, rate: float | None, sent_at: float) -> None:
        """Apply an answer that has just arrived, to a request sent at clock time ``sent_at``."""
        if rate is not None:
            self._apply(LimitStatement(endpoint_id, rate, self.clock.seconds()), "answer")
        elif endpoint_id in self.latest_by_id:
            self._apply(LimitStatement(endpoint_id, None, sent_at), "answer")

    def rate(self, endpoint_id: str) -> float | None:
        """The endpoint's limit in requests per second; None if it has none."""
        statement = self.latest_by_id.get(endpoint_id)
        if statement is not None and self._is_outdated(statement):
            self._drop(statement)
            return None
        return None if statement is None else statement.rate

    def count(self) -> int:
        """The number of endpoints with a limit."""
        return sum(self.rate(id) is not None for id in list(self.latest_by_id))

    def record_send(self, endpoint_id: str) -> None:
        """Count a request sent to the endpoint."""
        if endpoint_id in self._sent_by_id:
            self._sent_by_id[endpoint_id] += 1

    def forget(self, endpoint_id: str) -> None:
        """Discard the state of an endpoint that has left or restarted."""
        self.latest_by_id.pop(endpoint_id, None)
        self._sent_by_id.pop(endpoint_id, None)

    def _apply(self, statement: LimitStatement, source: str) -> None:
        """Apply a statement unless a later one is known."""
        latest = self.latest_by_id.get(statement.endpoint)
        if latest is not None and statement.at < latest.at:
            return
        if latest is not None and latest.rate == statement.rate:
            statement.since = latest.since
        else:
            self._log_change(statement, latest, source)
        self.latest_by_id[statement.endpoint] = statement

    def _is_outdated(self, statement: LimitStatement) -> bool:
        now = self.clock.seconds()
        if statement.rate is None:
            return now - statement.since > END_RETENTION_SECONDS
        return now - statement.at > EXPIRY_SECONDS

    def _drop(self, statement: LimitStatement) -> None:
        if statement.rate is not None:
            ended = LimitStatement(statement.endpoint, None, self.clock.seconds())
            self._log_change(ended, statement, "expired")
        self.forget(statement.endpoint)

    def _log_change(
        self, statement: LimitStatement, previous: LimitStatement | None, source: str
    ) -> None:
        endpoint = statement.endpoint
        log_message(
            message_type="endpoint:limit",
            endpoint=endpoint,
            rate=statement.rate,
            before=None if previous is None else previous.rate,
            sent_before=self._sent_by_id.pop(endpoint, None),
            source=source,
        )
        if statement.rate is not None:
            self._sent_by_id[endpoint] = 0
