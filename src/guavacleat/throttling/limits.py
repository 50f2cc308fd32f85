"""Request rates to which endpoints limit themselves, as they say in their answers.

An endpoint names its limit in every answer while it applies, and ends it by an answer without one.
Answers may overtake each other. A limit therefore counts from the arrival of the answer that names
it, its end only from the time at which the request was sent: an answer that may be older than the
latest statement doesn't end it.

Gateways report their statements to each other, so that a limit is known to those that have not sent
the endpoint anything, and its end to those whose share allows no request. They repeat statements,
with their ages, while they are recent. A gateway reports only what endpoints told it, and a data
centre's summary only what they told its gateways: a statement that came back would count as newer
each time.
"""

import heapq
import math

from eliot import log_message
from twisted.internet.interfaces import IReactorTime

__all__ = ["LimitRegister", "LimitStatement"]

# A limit that no answer has confirmed for this time is dropped; the next answer names it again.
EXPIRY_SECONDS = 60.0
# How long the end of a limit is remembered, so that older statements don't bring it back.
END_RETENTION_SECONDS = 15.0
# Statements up to this age are reported to peers: longer than the usual pause between the requests
# of a gateway with a small share.
REPORT_SECONDS = 5.0
# Bounds the size of a report; the latest statements are included.
MAX_STATEMENTS_PER_REPORT = 64
# Maximum delay of a peer's statement beyond its stated age, when it is relayed at a heartbeat.
RELAY_SECONDS = 1.0
# A limit that changes by less than this share is not logged, and peers hear of it by the next
# repetition: an endpoint may name another one in each answer.
MINOR_CHANGE_SHARE = 0.2


class LimitStatement:
    """An endpoint's statement about its limit.

    :param rate: requests per second from all gateways together; None if there is no limit.
    :param at: clock time for which it holds at the latest.
    :ivar since: clock time from which this gateway has known that there is a limit, or none.
    :ivar logged_rate: the rate that was logged last.
    """

    __slots__ = ("endpoint", "rate", "at", "since", "logged_rate")

    def __init__(self, endpoint: str, rate: float | None, at: float):
        self.endpoint = endpoint
        self.rate = rate
        self.at = at
        self.since = at
        self.logged_rate = rate

    def is_minor_change(self, previous: "LimitStatement | None") -> bool:
        """Whether it hardly differs from what was logged last."""
        if previous is None:
            return False
        if self.rate is None or previous.rate is None:
            return self.rate is None and previous.rate is None
        difference = abs(self.rate - previous.logged_rate)
        return difference <= MINOR_CHANGE_SHARE * previous.logged_rate


class LimitRegister:
    """The latest statement of each endpoint that limits its rate, or did so recently."""

    def __init__(self, clock: IReactorTime):
        self.clock = clock
        self.on_change = lambda: None
        # Clock time of the last change that an endpoint told this gateway.
        self.changed_at = float("-inf")
        self.latest_by_id: dict[str, LimitStatement] = {}
        # What endpoints told this gateway, and what they told any gateway of its data centre.
        self._own_by_id: dict[str, LimitStatement] = {}
        self._local_by_id: dict[str, LimitStatement] = {}
        # Requests sent to each endpoint since its limit began or changed, for the log.
        self._sent_by_id: dict[str, int] = {}

    def observe(self, endpoint_id: str, rate: float | None, sent_at: float) -> None:
        """Apply an answer that has just arrived, to a request sent at clock time ``sent_at``."""
        if rate is None and endpoint_id not in self.latest_by_id:
            return
        at = sent_at if rate is None else self.clock.seconds()
        statement = LimitStatement(endpoint_id, rate, at)
        _keep_later(self._own_by_id, statement)
        _keep_later(self._local_by_id, statement)
        if self._apply(statement, "answer"):
            self.changed_at = self.clock.seconds()
            self.on_change()

    def observe_peer(
        self, endpoint_id: str, rate: float | None, age: float, same_data_centre: bool
    ) -> None:
        """Apply a statement that a peer reports, made ``age`` seconds ago."""
        if not 0 <= age < math.inf or not (rate is None or 0 <= rate < math.inf):
            return
        at = self.clock.seconds() - age - (RELAY_SECONDS if rate is None else 0.0)
        statement = LimitStatement(endpoint_id, rate, at)
        if rate is None and endpoint_id not in self.latest_by_id:
            return
        if same_data_centre:
            _keep_later(self._local_by_id, statement)
        self._apply(statement, "peer")

    def reportable(self, include_neighbours: bool) -> list[LimitStatement]:
        """Recent statements to report to peers.

        :param include_neighbours: whether to include what endpoints told other gateways of this
            data centre.
        """
        for statement in list(self.latest_by_id.values()):
            if self._is_outdated(statement):
                self._drop(statement)
        statements = self._local_by_id if include_neighbours else self._own_by_id
        oldest = self.clock.seconds() - REPORT_SECONDS
        recent = (statement for statement in statements.values() if statement.at >= oldest)
        return heapq.nlargest(MAX_STATEMENTS_PER_REPORT, recent, key=lambda recent: recent.at)

    def find(self, endpoint_id: str) -> LimitStatement | None:
        """The statement of the limit that the endpoint has now; None if it has none."""
        statement = self.latest_by_id.get(endpoint_id)
        if statement is not None and self._is_outdated(statement):
            self._drop(statement)
            return None
        return None if statement is None or statement.rate is None else statement

    def rate(self, endpoint_id: str) -> float | None:
        """The endpoint's limit in requests per second; None if it has none."""
        statement = self.find(endpoint_id)
        return None if statement is None else statement.rate

    def limited_ids(self) -> list[str]:
        """The ids of the endpoints with a limit."""
        return [id for id in list(self.latest_by_id) if self.find(id) is not None]

    def count(self) -> int:
        """The number of endpoints with a limit."""
        return len(self.limited_ids())

    def record_send(self, endpoint_id: str) -> None:
        """Count a request sent to the endpoint."""
        if endpoint_id in self._sent_by_id:
            self._sent_by_id[endpoint_id] += 1

    def forget(self, endpoint_id: str) -> None:
        """Discard the state of an endpoint that has left or restarted."""
        for by_id in (self.latest_by_id, self._own_by_id, self._local_by_id, self._sent_by_id):
            by_id.pop(endpoint_id, None)

    def _apply(self, statement: LimitStatement, source: str) -> bool:
        """Apply a statement unless a later one is known; return whether it is a major change."""
        latest = self.latest_by_id.get(statement.endpoint)
        if latest is not None and statement.at < latest.at:
            return False
        applied = LimitStatement(statement.endpoint, statement.rate, statement.at)
        self.latest_by_id[statement.endpoint] = applied
        had_limit = latest is not None and latest.rate is not None
        if latest is None or had_limit is not (applied.rate is not None):
            applied.since = self.clock.seconds()
        else:
            applied.since = latest.since
        if applied.is_minor_change(latest):
            applied.logged_rate = latest.logged_rate
            return False
        self._log_change(applied, latest, source)
        return True

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


def _keep_later(by_id: dict[str, LimitStatement], statement: LimitStatement) -> None:
    latest = by_id.get(statement.endpoint)
    if latest is None or statement.at >= latest.at:
        by_id[statement.endpoint] = statement
