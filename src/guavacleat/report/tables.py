"""Text tables of the report."""

from tabulate import tabulate

from guavacleat.report.engines import EngineHistory
from guavacleat.report.ledger import Ledger, Result
from guavacleat.report.phases import SpanPhases
from guavacleat.report.ranks import RankStays

__all__ = ["engine_table", "loss_table", "phase_table", "rank_table", "route_table"]


def route_table(ledger: Ledger) -> str:
    """Requests by route and result."""
    rows = [
        [route, *(counts[result] for result in Result)]
        for route, counts in sorted(ledger.counts().items())
    ]
    return tabulate(rows, headers=["route", *(result.value for result in Result)])


def loss_table(ledger: Ledger) -> str:
    """Lost worth by route and cause, and the earned worth, as shares of the total."""
    total_worth = ledger.total_worth or 1.0
    losses = sorted(ledger.losses().items(), key=lambda item: -item[1].worth)
    rows = [
        [route, kind.value, loss.requests, loss.worth / total_worth]
        for (route, kind), loss in losses
    ]
    earned = 1.0 - sum(row[-1] for row in rows)
    rows.append(["all", "earned", "", earned])
    return tabulate(rows, headers=["route", "cause", "requests", "share"], floatfmt=".4f")


def engine_table(histories: list[EngineHistory]) -> str:
    """One row per engine; the expected tokens are gateways' estimates."""
    rows = [
        [
            history.id,
            history.data_centre,
            history.ready_at,
            history.notice_at,
            history.notice_seconds,
            history.expected_tokens_at_notice(),
            len(history.copies),
            history.copied_tokens,
            history.link_busy_seconds(),
            history.handed_over,
            history.broken,
        ]
        for history in histories
    ]
    headers = [
        "engine",
        "data centre",
        "ready at",
        "notice at",
        "notice s",
        "expected tokens",
        "copies",
        "copied tokens",
        "link busy s",
        "handed over",
        "cut",
    ]
    return tabulate(rows, headers=headers, floatfmt=".2f", missingval="-")


def phase_table(spans: list[SpanPhases]) -> str:
    """One row per span of arrivals; the phases are medians in seconds."""
    rows = [
        [
            span.start,
            len(span.streams),
            span.on_time,
            span.never_dispatched,
            span.median("queued"),
            span.median("first_event"),
            span.median("pause"),
        ]
        for span in spans
    ]
    headers = [
        "from second",
        "streams",
        "on time",
        "never dispatched",
        "queued s",
        "first event s",
        "longest pause s",
    ]
    return tabulate(rows, headers=headers, floatfmt=".2f", missingval="-")


def rank_table(ranks: list[RankStays]) -> str:
    """One row per rank of contended services; the seconds are medians."""
    rows = [
        [
            ranked.rank,
            len(ranked.stays),
            ranked.refused,
            ranked.median("expected"),
            ranked.median("waited"),
            ranked.median("retry_after"),
            ranked.left_room,
        ]
        for ranked in ranks
    ]
    headers = [
        "rank",
        "queued or refused",
        "refused",
        "expected wait s",
        "waited s",
        "retry after s",
        "left room",
    ]
    return tabulate(rows, headers=headers, floatfmt=".2f", missingval="-")
