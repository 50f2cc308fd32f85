"""Encoding of waiting generations, of the use of accounts and of loads in reports.

Values out of bounds are dropped, each list element by itself: a peer with a fault must not stop the
rest of its report from being used.
"""

from eliot import log_message

from guavacleat.admission.backlog import (
    MAX_RANKS,
    MAX_SUMMARY_HEADS,
    Backlog,
    RankBacklog,
    WaitingGeneration,
)
from guavacleat.placement import EndpointLoad
from guavacleat.placement.token_times import is_plausible_timing
from guavacleat.protocol.gen.peers import ttypes

__all__ = [
    "MAX_SUMMARY_ACCOUNTS",
    "decode_account_tokens",
    "decode_backlog",
    "decode_load",
    "encode_account_tokens",
    "encode_backlog",
    "encode_load",
]

# Accounts of a summary; a gateway reports fewer.
MAX_SUMMARY_ACCOUNTS = 16
# Largest plausible counts and tokens of one service at all gateways.
MAX_COUNT = 10**7
MAX_TOKENS = 10**12
# Largest plausible tokens of one account. 3,000 engines with 10,000 tokens a second and a half-life
# of 10 s amount to less than half of it.
MAX_ACCOUNT_TOKENS = 10**9
# Largest plausible number of tokens of one generation.
MAX_GENERATION_TOKENS = 10**8
MILLIS_PER_SECOND = 1000
# Limit of a 32-bit field, in milliseconds.
MAX_SLACK_MILLIS = 2**31 - 1


def encode_load(id: str, load: EndpointLoad) -> ttypes.EndpointLoad:
    return ttypes.EndpointLoad(
        id,
        load.runs,
        load.peak_tokens,
        load.pending_prefill_tokens,
        load.held_tokens or None,
        load.urgent_tokens or None,
        load.timed_tokens or None,
        load.timed_micros or None,
    )


def decode_load(load: ttypes.EndpointLoad) -> EndpointLoad:
    """The load of one endpoint; optional values out of bounds count as missing."""
    timed = [load.timed_tokens or 0, load.timed_micros or 0]
    if any(timed) and not (timed[1] <= MAX_TOKENS and is_plausible_timing(*timed)):
        _log_dropped("timings", 1)
        timed = [0, 0]
    optional = [load.held_tokens, load.urgent_tokens]
    if not all(_within(value, MAX_TOKENS) for value in optional if value is not None):
        _log_dropped("load", 1)
        optional = [0, 0]
    return EndpointLoad(
        load.runs,
        load.expected_tokens,
        load.unread_tokens,
        *(value or 0 for value in [*optional, *timed]),
    )


def encode_backlog(name: str, backlog: Backlog) -> ttypes.Backlog:
    ranks = [
        ttypes.RankBacklog(
            rank,
            item.waiting,
            item.waiting_tokens,
            item.dispatched,
            item.dispatched_tokens,
        )
        for rank, item in backlog.backlogs_by_rank.items()
    ]
    heads = [
        ttypes.WaitingGeneration(
            head.key,
            head.rank,
            _to_millis(head.slack),
            head.expected_tokens,
            head.prompt_tokens,
            head.deferrable or None,
        )
        for head in backlog.heads
    ]
    return ttypes.Backlog(
        name, backlog.gateways, backlog.waiting, backlog.dispatched, ranks or None, heads or None
    )


def decode_backlog(message: ttypes.Backlog) -> Backlog:
    ranks, heads = message.ranks or [], message.heads or []
    valid_ranks = [rank for rank in ranks if _is_valid_rank(rank)][:MAX_RANKS]
    valid_heads = [head for head in heads if _is_valid_head(head)][:MAX_SUMMARY_HEADS]
    _log_dropped("ranks", len(ranks) - len(valid_ranks))
    _log_dropped("heads", len(heads) - len(valid_heads))
    return Backlog(
        message.gateways,
        message.waiting,
        message.dispatched,
        {
            rank.rank: RankBacklog(
                rank.waiting, rank.waiting_tokens, rank.dispatched, rank.dispatched_tokens
            )
            for rank in valid_ranks
        },
        tuple(
            WaitingGeneration(
                head.key,
                head.rank,
                head.slack_ms / MILLIS_PER_SECOND,
                head.expected_tokens,
                head.prompt_tokens,
                bool(head.deferrable),
            )
            for head in valid_heads
        ),
    )


def encode_account_tokens(tokens_by_account: dict[str, int]) -> list | None:
    return [
        ttypes.AccountTokens(account, tokens) for account, tokens in tokens_by_account.items()
    ] or None


def decode_account_tokens(messages: list | None) -> dict[str, int]:
    messages = messages or []
    valid = [item for item in messages if _within(item.tokens, MAX_ACCOUNT_TOKENS)]
    valid = valid[:MAX_SUMMARY_ACCOUNTS]
    _log_dropped("account_tokens", len(messages) - len(valid))
    return {item.account: item.tokens for item in valid}


def _is_valid_rank(rank: ttypes.RankBacklog) -> bool:
    return (
        _within(rank.rank, MAX_RANKS - 1)
        and _within(rank.waiting, MAX_COUNT)
        and _within(rank.dispatched, MAX_COUNT)
        and _within(rank.waiting_tokens, MAX_TOKENS)
        and _within(rank.dispatched_tokens, MAX_TOKENS)
    )


def _is_valid_head(head: ttypes.WaitingGeneration) -> bool:
    return (
        _within(head.rank, MAX_RANKS - 1)
        and _within(head.prompt_tokens, MAX_GENERATION_TOKENS)
        and 0 < head.expected_tokens <= MAX_GENERATION_TOKENS
    )


def _within(value: int, most: int) -> bool:
    return 0 <= value <= most


def _to_millis(seconds: float) -> int:
    millis = int(seconds * MILLIS_PER_SECOND)
    return max(-MAX_SLACK_MILLIS, min(MAX_SLACK_MILLIS, millis))


def _log_dropped(part: str, count: int) -> None:
    if count:
        log_message(message_type="peer:values-dropped", part=part, count=count)
