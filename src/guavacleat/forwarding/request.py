"""A caller's request with its route, account, service and deadline."""

from guavacleat.forwarding.messages import RequestMetadata
from guavacleat.http1.exchange import CallerExchange
from guavacleat.lengths import LengthForecast
from guavacleat.quarantine import fingerprint, part_fingerprints
from guavacleat.routes import Account, Route, ServiceTraits

__all__ = ["ForwardedRequest"]

# Assumed for requests that specify no maximum.
DEFAULT_MAX_OUTPUT_TOKENS = 512


class ForwardedRequest:
    """A request being forwarded.

    :param version: version of the configuration that matched the request.
    :param arrived_at: clock time of arrival.
    :param forecast: forecast of the route's output lengths; None if there is none yet.
    :ivar deadline: clock time at which the caller's or the route's timeout expires.
    :ivar sends: how often it was sent to an endpoint.
    """

    __slots__ = (
        "exchange",
        "metadata",
        "route",
        "account",
        "service",
        "traits",
        "version",
        "arrived_at",
        "deadline",
        "headers",
        "forecast",
        "sends",
        "_content_key",
        "_part_keys",
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
        arrived_at: float,
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
        self.arrived_at = arrived_at
        time_limit = route.timeout if metadata.caller_timeout is None else metadata.caller_timeout
        self.deadline = arrived_at + min(time_limit, route.timeout)
        self.headers = headers
        self.forecast = forecast or LengthForecast(
            metadata.max_output_tokens or DEFAULT_MAX_OUTPUT_TOKENS
        )
        self.sends = 0
        self._content_key: int | None = None
        self._part_keys: tuple[int, ...] | None = None

    @property
    def content_key(self) -> int:
        """Fingerprint of the account and the content, equal for all retries of a request."""
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
    def part_keys(self) -> tuple[int, ...]:
        """Fingerprints of the parts of the prompt that other requests may share."""
        if self._part_keys is None:
            ids = self.metadata.shared_part_ids
            self._part_keys = part_fingerprints(id.lower().encode("latin-1") for id in ids)
        return self._part_keys

    @property
    def account_name(self) -> str | None:
        return self.account.name if self.account else None

    @property
    def priority(self) -> int:
        """Priority, 0 is the highest; the account's overrides the route's."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    @property
    def deferrable(self) -> bool:
        """Whether it may wait for the more urgent requests that compete for its engines."""
        contention = self.traits.contention
        return contention is not None and contention.is_deferrable(self.route.name)

    @property
    def urgent(self) -> bool:
        """Whether other requests that compete for its engines are deferrable."""
        return self.traits.contention is not None and not self.deferrable

    @property
    def regions(self) -> frozenset[str] | None:
        """The regions that both the route and the account allow; None for all."""
        limits = [self.route.regions, self.account.regions if self.account else None]
        limits = [regions for regions in limits if regions is not None]
        return frozenset.intersection(*limits) if limits else None

    @property
    def prompt_tokens(self) -> int:
        return self.metadata.prompt_tokens

    def expected_tokens(self, emitted: int = 0) -> int:
        """Expected peak memory in tokens, given that ``emitted`` tokens were generated."""
        output = self.forecast.expected_length(emitted, self.metadata.expected_output_tokens)
        max_output = max(emitted, self.metadata.max_output_tokens or output)
        return self.prompt_tokens + min(output, max_output)
