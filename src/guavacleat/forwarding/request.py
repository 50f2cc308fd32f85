"""A caller's request after it was matched: who asks, for what, until when."""

from guavacleat.forwarding.messages import CallerFacts
from guavacleat.http1.server import CallerExchange
from guavacleat.routes import Account, Route, ServiceTraits

__all__ = ["ForwardedRequest"]


class ForwardedRequest:
    """One request on its way.

    :param arrived: clock time of its arrival.
    :param deadline: clock time at which its answer is of no more use.
    """

    __slots__ = (
        "exchange",
        "facts",
        "route",
        "account",
        "service",
        "traits",
        "version",
        "arrived",
        "deadline",
        "headers",
    )

    def __init__(
        self,
        exchange: CallerExchange,
        facts: CallerFacts,
        route: Route,
        account: Account | None,
        service: str,
        traits: ServiceTraits,
        version: int,
        arrived: float,
        headers: list[tuple[bytes, bytes]],
    ):
        self.exchange = exchange
        self.facts = facts
        self.route = route
        self.account = account
        self.service = service
        self.traits = traits
        self.version = version
        self.arrived = arrived
        patience = route.timeout if facts.patience is None else facts.patience
        self.deadline = arrived + min(patience, route.timeout)
        self.headers = headers

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
        return self.facts.prompt_tokens

    def expected_tokens(self) -> int:
        """Memory that the run will hold at its end: the prompt and the expected output."""
        most = self.facts.max_output_tokens
        hint = self.facts.expected_output_tokens
        output = most if hint is None else min(most, hint) if most else hint
        return int(self.prompt_tokens + output)
