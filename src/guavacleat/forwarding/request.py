"""A caller's request after it was matched: who asks, for what, until when."""

from guavacleat.forwarding.messages import RequestMetadata
from guavacleat.http1.server import CallerExchange
from guavacleat.lengths import LengthForecast
from guavacleat.quarantine import fingerprint
from guavacleat.routes import Account, Route, ServiceTraits

__all__ = ["ForwardedRequest"]

# Longest output, in tokens, of a request that names none.
UNKNOWN_LENGTH = 512


class ForwardedRequest:
    """One request on its way.

    :param arrived: clock time of its arrival.
    :param deadline: clock time at which its answer is of no more use.
    :param forecast: the lengths of this route's generations; None if nothing is known of them.
    """

    __slots__ = (
        "exchange",
        "metadata",
        "route",
        "account",
        "service",
        "traits",
        "version",
        "arrived",
        "deadline",
        "headers",
        "forecast",
        "_content_key",
    )

    def __init__(
        self,
        exchange: CallerExchange,
        metadata: RequestMetadata,
        route: Route,
        account: Account | None,
        service: str,
        traits: ServiceTraits,
        version: int,
        arrived: float,
        headers: list[tuple[bytes, bytes]],
        forecast: LengthForecast | None = None,
    ):
        self.exchange = exchange
        self.metadata = metadata
        self.route = route
        self.account = account
        self.service = service
        self.traits = traits
        self.version = version
        self.arrived = arrived
        time_limit = route.timeout if metadata.caller_timeout is None else metadata.caller_timeout
        self.deadline = arrived + min(time_limit, route.timeout)
        self.headers = headers
        self.forecast = forecast or LengthForecast(metadata.max_output_tokens or UNKNOWN_LENGTH)
        self._content_key: int | None = None

    @property
    def content_key(self) -> int:
        """The same whenever this caller asks for the same again, whatever the request's id."""
        if self._content_key is None:
            head = self.exchange.head
            self._content_key = fingerprint(
                head.method,
                head.host.encode("latin-1"),
                head.target,
                (self.account_name or "").encode("latin-1"),
                self.exchange.body,
            )
        return self._content_key

    @property
    def account_name(self) -> str | None:
        return self.account.name if self.account else None

    @property
    def priority(self) -> int:
        """Rank, 0 first; an account's own goes before its route's."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    @property
    def prompt_tokens(self) -> int:
        return self.metadata.prompt_tokens

    def expected_tokens(self, emitted: int = 0) -> int:
        """Memory that the run will hold at its end, once it has produced ``emitted`` tokens."""
        output = self.forecast.expected_length(emitted, self.metadata.expected_output_tokens)
        most = max(emitted, self.metadata.max_output_tokens or output)
        return self.prompt_tokens + min(output, most)
