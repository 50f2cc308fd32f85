"""The recent use of contended services by client account, over all gateways.

Accounts that use far more than their fair share wait a little longer than others, at whichever
gateway their requests arrive. Each gateway adds its own use to what its peers report.
"""

from twisted.internet.interfaces import IReactorTime

from guavacleat.admission.accounts import largest_accounts, sum_accounts

__all__ = ["AccountUsage", "weighted_tokens"]

# Seconds. Longer than a burst of a few seconds, so that a burst counts until its end; short enough
# that an account which stops is like any other within a minute.
HALF_LIFE_SECONDS = 10.0
# Use of a prompt token in output tokens: an engine reads prompt tokens several times faster.
PROMPT_TOKEN_WEIGHT = 0.2
# Tokens. Reports hold whole tokens, and an account with less use doesn't compete.
MIN_USE = 1.0
# Accounts kept by a gateway; bounds the memory and the time of each update.
MAX_ACCOUNTS = 256
# Accounts of this gateway in a report, which must fit into a datagram.
MAX_REPORTED_ACCOUNTS = 8
# Accounts. With fewer, a share is compared with that of this many: a few accounts may share
# capacity unevenly.
MIN_FAIR_ACCOUNTS = 4
# Multiples of the fair share: without a penalty up to the first, since use is uneven in normal
# operation; with the full penalty from the second on.
FREE_MULTIPLE = 2.0
FULL_MULTIPLE = 4.0
# Seconds. Less than the goals of urgent requests (1.5 s), so that no account is starved.
MAX_PENALTY_SECONDS = 1.0
# Seconds for which sums are kept: one turn asks for the penalty of each waiting request.
CACHE_SECONDS = 0.05


def weighted_tokens(prompt_tokens: int, output_tokens: int) -> int:
    """The tokens that a dispatch adds to its account's use: a fifth of the prompt counts."""
    return round(PROMPT_TOKEN_WEIGHT * prompt_tokens) + output_tokens


class _FleetUse:
    """The use of all gateways at one time.

    :param use_by_account: tokens by account, each at least ``MIN_USE``.
    :param computed_at: clock time in seconds.
    """

    __slots__ = ("use_by_account", "total", "fair_share", "computed_at")

    def __init__(self, use_by_account: dict[str, float], computed_at: float):
        self.use_by_account = use_by_account
        self.total = sum(use_by_account.values())
        self.fair_share = 1 / max(MIN_FAIR_ACCOUNTS, len(use_by_account))
        self.computed_at = computed_at

    def share(self, account: str) -> float:
        """The account's part of the total, from 0 to 1; 0 if its use isn't known."""
        use = self.use_by_account.get(account)
        return 0.0 if use is None else use / self.total


class AccountUsage:
    """Sums tokens by account; the sums halve every ``HALF_LIFE_SECONDS``.

    What the peers report has been reduced until their reports, which count for a short time only;
    it isn't reduced further. Callers without an account (None) have no use and no penalty.

    :param peers: has ``tokens_by_account()``, the use at the other gateways that are reachable;
        None if there are none.
    :param is_known: returns whether an account that a peer reports exists; None to accept all.
    """

    def __init__(self, clock: IReactorTime, peers=None, is_known=None):
        self.clock = clock
        self.peers = peers
        self.is_known = is_known
        # Tokens at this gateway, reduced until ``_reduced_at``.
        self.use_by_account: dict[str, float] = {}
        self._reduced_at = clock.seconds()
        self._fleet: _FleetUse | None = None

    def record(self, account: str | None, tokens: int) -> None:
        """Add the tokens of a dispatched request, see :func:`weighted_tokens`.

        The smallest account is dropped for a new one if there are ``MAX_ACCOUNTS``.
        """
        if account is None or tokens <= 0:
            return
        self._reduce()
        use = self.use_by_account
        if account not in use and len(use) >= MAX_ACCOUNTS:
            # Not the new one: an account with many small requests must accumulate its use.
            del use[min(use, key=use.get)]
        use[account] = use.get(account, 0.0) + tokens

    def penalty(self, account: str | None) -> float:
        """Seconds by which the account's requests are put behind others of their priority.

        From 0 to ``MAX_PENALTY_SECONDS``. It follows the use after at most ``CACHE_SECONDS``.
        """
        if account is None:
            return 0.0
        fleet = self._fleet_use()
        multiple = fleet.share(account) / fleet.fair_share
        excess = (multiple - FREE_MULTIPLE) / (FULL_MULTIPLE - FREE_MULTIPLE)
        return MAX_PENALTY_SECONDS * max(0.0, min(1.0, excess))

    def largest(self) -> dict[str, int]:
        """Tokens of the ``MAX_REPORTED_ACCOUNTS`` accounts with the largest use at this gateway."""
        self._reduce()
        own = {account: int(use) for account, use in self.use_by_account.items()}
        return largest_accounts([own], MAX_REPORTED_ACCOUNTS)

    def largest_share(self) -> float:
        """The largest part of an account in the use at all gateways, from 0 to 1; 0 if none."""
        fleet = self._fleet_use()
        return max(map(fleet.share, fleet.use_by_account), default=0.0)

    def _fleet_use(self) -> _FleetUse:
        now = self.clock.seconds()
        if self._fleet is None or now - self._fleet.computed_at >= CACHE_SECONDS:
            self._reduce()
            total = sum_accounts([self.use_by_account, self._peer_use()])
            use_by_account = {account: use for account, use in total.items() if use >= MIN_USE}
            self._fleet = _FleetUse(use_by_account, now)
        return self._fleet

    def _peer_use(self) -> dict[str, int]:
        """The use at other gateways, of the accounts that exist."""
        tokens_by_account = {} if self.peers is None else self.peers.tokens_by_account()
        if self.is_known is None:
            return tokens_by_account
        return {name: tokens for name, tokens in tokens_by_account.items() if self.is_known(name)}

    def _reduce(self) -> None:
        """Reduce the use of this gateway until now and drop accounts without use."""
        now = self.clock.seconds()
        if now <= self._reduced_at:
            return
        factor = 0.5 ** ((now - self._reduced_at) / HALF_LIFE_SECONDS)
        self._reduced_at = now
        self.use_by_account = {
            account: use * factor
            for account, use in self.use_by_account.items()
            if use * factor >= MIN_USE
        }
