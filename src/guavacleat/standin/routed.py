"""Stand-in for an endpoint behind the ingress: plain and streamed responses, with faults.

Every path gets a response, shaped by the active :class:`EndpointFault`. Runs are counted by request
id, so that tests can detect repeated runs. A request whose body is ``CRASH_BODY`` crashes the
endpoint while it runs, under every fault that does not refuse it, and so does one with a part in
its prompt that is among the ``bad_parts``, once the endpoint has begun to write its answer.
"""

import collections
import enum
from collections import Counter

from twisted.internet import task
from twisted.internet.interfaces import IReactorTime

from guavacleat.forwarding.prompt import parse_prompt_parts
from guavacleat.http1.exchange import CallerExchange
from guavacleat.http1.server import CallerListener
from guavacleat.routes import CallerLimits

__all__ = ["CRASH_BODY", "StandinEndpoint", "EndpointFault"]

CRASH_BODY = b"crash"
# Delay from the arrival of a ``CRASH_BODY`` request to the crash.
CRASH_SECONDS = 0.05

# Window over which the requests to a cold endpoint are counted.
COLD_WINDOW_SECONDS = 1.0

EVENT_COUNT = 5
EVENT_SECONDS = 0.02
REQUEST_ID_HEADER = b"x-request-id"
PROMPT_PARTS_HEADER = b"x-prompt-parts"
ENDPOINT_HEADER = b"x-endpoint"
NOT_RUN_HEADER = b"x-not-run"
RATE_LIMIT_HEADER = b"x-rate-limit"
LEAVING_HEADER = b"x-leaving"
RETRY_AFTER_HEADER = b"retry-after"
MISDIRECTED = 421
UNAVAILABLE = 503
OK = 200


class EndpointFault(enum.Enum):
    """Faults to inject; each applies to all requests.

    ``REFUSE`` and ``OTHER_INCARNATION`` refuse the request without running it. ``RESET`` aborts the
    connection, ``TRUNCATE`` ends the response early, ``EXTRA`` sends a second response, ``FOREIGN``
    returns another request's id, ``UNSIGNED`` omits the endpoint header, ``HANG`` never responds.
    """

    NONE = "none"
    REFUSE = "refuse"
    OTHER_INCARNATION = "other-incarnation"
    RESET = "reset"
    TRUNCATE = "truncate"
    EXTRA = "extra"
    FOREIGN = "foreign"
    UNSIGNED = "unsigned"
    HANG = "hang"


class StandinEndpoint:
    """One endpoint; ``listener`` is the Twisted factory that serves it.

    :ivar on_crash: called when a request crashes the endpoint.
    :ivar on_arrival: called with the id of each request that arrives.
    :ivar rate_limit: requests per second that it names in its answers; None to name no limit.
    :ivar leaving: whether it says in its answers that it will shut down.
    :ivar pause: seconds that it names in ``Retry-After`` when it refuses; None to name none.
    :ivar work_seconds: time that a plain response takes.
    :ivar event_seconds: interval of a stream's events.
    :ivar bad_parts: ids of the parts of prompts that crash the endpoint.
    :ivar events_before_crash: number of events that it sends before such a crash.
    :ivar cold_until: clock time until which it crashes if it gets more than ``cold_limit`` requests
        within a second.
    """

    def __init__(self, clock: IReactorTime, id: str, fault: EndpointFault = EndpointFault.NONE):
        self.clock = clock
        self.id = id
        self.fault = fault
        self.on_crash = lambda: None
        self.on_arrival = lambda request_id: None
        self.rate_limit: float | None = None
        self.leaving = False
        self.pause: float | None = None
        self.work_seconds = 0.0
        self.event_seconds = EVENT_SECONDS
        self.bad_parts: set[str] = set()
        self.events_before_crash = 0
        self.cold_until = float("-inf")
        self.cold_limit = 0.0
        self.arrivals: collections.deque[float] = collections.deque()
        self.runs_by_request: Counter[str] = Counter()
        self.listener = CallerListener(clock, self._handle, CallerLimits)

    def _handle(self, exchange: CallerExchange) -> None:
        request_id = dict(exchange.head.headers).get(REQUEST_ID_HEADER, b"")
        self.on_arrival(request_id.decode("latin-1"))
        if self.fault is EndpointFault.REFUSE:
            self._refuse(exchange)
            return
        if self.fault is EndpointFault.OTHER_INCARNATION:
            exchange.respond(MISDIRECTED, [], b"")
            return
        if self._is_overloaded():
            self.on_crash()
            return
        self.runs_by_request[request_id.decode("latin-1")] += 1
        if exchange.body == CRASH_BODY:
            self.clock.callLater(CRASH_SECONDS, self.on_crash)
            return
        if self.fault is EndpointFault.HANG:
            return
        if self.fault is EndpointFault.RESET:
            exchange.abort()
            return
        headers = self._headers(request_id)
        if self._has_bad_part(exchange):
            self._crash_writing(exchange, headers)
            return
        if exchange.head.path.startswith("/listing/"):
            self._stream(exchange, headers)
        elif self.work_seconds:
            self.clock.callLater(self.work_seconds, self._respond, exchange, headers)
        else:
            self._respond(exchange, headers)

    def _has_bad_part(self, exchange: CallerExchange) -> bool:
        value = dict(exchange.head.headers).get(PROMPT_PARTS_HEADER, b"")
        return any(part.id in self.bad_parts for part in parse_prompt_parts(value))

    def _crash_writing(self, exchange: CallerExchange, headers) -> None:
        """Begin the answer, then crash."""
        exchange.start_response(OK, b"OK", [*headers, (b"content-type", b"text/event-stream")])
        for number in range(self.events_before_crash):
            exchange.write(_event(number + 1))
        self.clock.callLater(CRASH_SECONDS, self.on_crash)

    def become_cold(self, seconds: float, limit: float) -> None:
        """Crash at more than ``limit`` requests within a second, for the next ``seconds``."""
        self.cold_until = self.clock.seconds() + seconds
        self.cold_limit = limit

    def _is_overloaded(self) -> bool:
        """Whether the request that arrives now is too much for a cold endpoint."""
        now = self.clock.seconds()
        self.arrivals.append(now)
        while self.arrivals[0] <= now - COLD_WINDOW_SECONDS:
            self.arrivals.popleft()
        return now < self.cold_until and len(self.arrivals) > self.cold_limit

    def _headers(self, request_id: bytes) -> list[tuple[bytes, bytes]]:
        id = b"of-another" if self.fault is EndpointFault.FOREIGN else request_id
        endpoint_header = (
            [] if self.fault is EndpointFault.UNSIGNED else [(ENDPOINT_HEADER, self.id.encode())]
        )
        return [(REQUEST_ID_HEADER, id), *endpoint_header, *self._statements()]

    def _statements(self) -> list[tuple[bytes, bytes]]:
        """What the endpoint says of itself in each answer."""
        headers = [(LEAVING_HEADER, b"1")] if self.leaving else []
        if self.rate_limit is not None:
            headers.append((RATE_LIMIT_HEADER, b"%g" % self.rate_limit))
        return headers

    def _refuse(self, exchange: CallerExchange) -> None:
        headers = [(NOT_RUN_HEADER, b"1"), *self._statements()]
        if self.pause is not None:
            headers.append((RETRY_AFTER_HEADER, b"%g" % self.pause))
        exchange.respond(UNAVAILABLE, headers, b"")

    def _respond(self, exchange: CallerExchange, headers) -> None:
        if exchange.disconnected:
            return
        body = b"done by %s" % self.id.encode()
        if self.fault is EndpointFault.TRUNCATE:
            exchange.start_response(OK, b"OK", [*headers, (b"content-length", b"%d" % len(body))])
            exchange.write(body[:4])
            self.clock.callLater(EVENT_SECONDS, exchange.connection.close)
            return
        exchange.respond(OK, headers, body)
        if self.fault is EndpointFault.EXTRA:
            exchange.connection.transport.write(
                b"HTTP/1.1 200 OK\r\nx-endpoint: e\r\ncontent-length: 5\r\n\r\nextra"
            )

    def _stream(self, exchange: CallerExchange, headers) -> None:
        exchange.start_response(OK, b"OK", [*headers, (b"content-type", b"text/event-stream")])
        numbers = iter(range(1, EVENT_COUNT + 1))

        def next_event():
            number = next(numbers, None)
            if exchange.disconnected or number is None:
                events.stop()
                if not exchange.disconnected:
                    exchange.end()
                return
            if self.fault is EndpointFault.TRUNCATE and number == EVENT_COUNT:
                events.stop()
                exchange.abort()
                return
            exchange.write(_event(number))

        events = task.LoopingCall(next_event)
        events.clock = self.clock
        events.start(self.event_seconds)


def _event(number: int) -> bytes:
    return b"id: %d\ndata: token\n\n" % number
