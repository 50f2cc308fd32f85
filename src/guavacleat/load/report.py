"""Aggregates the results of a run per client account and priority class."""

import itertools
import json

from guavacleat.admission.queues import PROMPT_TOKEN_COST
from guavacleat.checks.runs import check_run
from guavacleat.load.experiment import Run
from guavacleat.metrics import LatencyHistograms

__all__ = ["Report", "Row", "STALL_GAP_SECONDS", "fair_shares", "make_report", "table"]

# Longer gaps between tokens count as stalls: callers notice a pause from about three times the
# usual time per token on.
STALL_GAP_SECONDS = 0.1
ALL = "all"


class Row:
    """Figures for one account and class (or ``all``); times in seconds.

    :ivar waits: sum of the times to first token, over requests with a first token.
    :ivar stalls: sum of the gaps between tokens longer than ``STALL_GAP_SECONDS``.
    :ivar on_time: completed requests whose first token came within ``Run.first_token_timeout``.
    :ivar goodput: tokens per second of the on-time requests.
    :ivar ttft: time to first token, as percentiles (``p50``, ``p95``, ``p99``) by name.
    :ivar gap: time between tokens, likewise.
    :ivar share: on-time work divided by the account's fair share; accounts only.
    """

    __slots__ = (
        "account",
        "priority_class",
        "requests",
        "completed",
        "on_time",
        "not_run",
        "failed",
        "waits",
        "stalls",
        "preemptions",
        "ttft",
        "gap",
        "goodput",
        "share",
    )

    def __init__(self, account: str, priority_class: str):
        self.account = account
        self.priority_class = priority_class
        self.requests = self.completed = self.on_time = self.not_run = self.failed = 0
        self.waits = self.stalls = self.goodput = 0.0
        self.preemptions = 0
        self.ttft: dict[str, float] = {}
        self.gap: dict[str, float] = {}
        self.share: float | None = None

    @property
    def stall_time(self) -> float:
        """Total time without output: waits for first tokens and later stalls."""
        return self.waits + self.stalls

    def to_json(self) -> dict:
        return {slot: getattr(self, slot) for slot in self.__slots__}


class Report:
    """A policy's rows: one in total and one per class, per account and per account and class.

    :param violations: invariants that the run violated, see :mod:`guavacleat.checks.runs`.
    """

    __slots__ = ("policy", "rows_by_key", "prefilled_tokens", "violations")

    def __init__(self, policy: str, rows_by_key, prefilled_tokens: int, violations):
        self.violations = violations
        self.policy = policy
        self.rows_by_key = rows_by_key
        self.prefilled_tokens = prefilled_tokens

    def total(self) -> Row:
        return self.rows_by_key[ALL, ALL]

    def least_share(self) -> float:
        """Return the lowest ratio of work to fair share over all accounts."""
        shares = (row.share for row in self.rows_by_key.values() if row.share is not None)
        return min(shares, default=1.0)

    def to_json(self) -> dict:
        rows = [row.to_json() for _, row in sorted(self.rows_by_key.items())]
        return {"policy": self.policy, "read": self.prefilled_tokens, "rows": rows}


def make_report(run: Run) -> Report:
    """Aggregate the results of ``run``."""
    rows_by_key: dict[tuple[str, str], Row] = {}
    latencies = LatencyHistograms()
    for log in run.logs:
        for key in _row_keys(log.arrival.account, log.arrival.kind.priority_class):
            row = rows_by_key.setdefault(key, Row(*key))
            _add(row, log, run)
            _record(latencies, key, log)
    for gateway, key in itertools.product(run.fleet.gateways, list(rows_by_key)):
        if ALL not in key:
            labels = {"account": key[0], "class": key[1]}
            for wider in _row_keys(*key):
                rows_by_key[wider].preemptions += gateway.metrics.preemption_count(labels)
    _fill_percentiles(latencies, rows_by_key)
    for account, share in _shares(run).items():
        rows_by_key[account, ALL].share = share
    prefilled = run.fleet.prefilled_tokens()
    return Report(run.policy.name, rows_by_key, prefilled, check_run(run))


def _row_keys(account: str, priority_class: str):
    return itertools.product((account, ALL), (priority_class, ALL))


def _on_time(log, run: Run) -> bool:
    if log.outcome != "completed":
        return False
    return log.token_times[0] - log.arrival.at <= run.first_token_timeout


def _add(row: Row, log, run: Run) -> None:
    row.requests += 1
    row.completed += log.outcome == "completed"
    row.not_run += log.outcome == "not_run"
    row.failed += log.outcome in ("failed", "open")
    if log.token_times:
        row.waits += log.token_times[0] - log.arrival.at
        row.stalls += sum(gap for gap in _gaps(log) if gap > STALL_GAP_SECONDS)
    if _on_time(log, run):
        row.on_time += 1
        row.goodput += len(log.token_times) / run.seconds


def _gaps(log):
    return (after - before for before, after in itertools.pairwise(log.token_times))


def _record(latencies: LatencyHistograms, key: tuple[str, str], log) -> None:
    if log.token_times:
        latencies.record("ttft", *key, log.token_times[0] - log.arrival.at)
    for gap in _gaps(log):
        latencies.record("gap", *key, gap)


def _fill_percentiles(latencies: LatencyHistograms, rows_by_key) -> None:
    for summary in latencies.summary():
        row = rows_by_key[summary["account"], summary["class"]]
        figures = {name: summary[name] for name in ("p50", "p95", "p99")}
        setattr(row, summary["measure"], figures)


def _shares(run: Run) -> dict[str, float]:
    """Return the ratio of each account's on-time work to its fair share of the total."""
    requested_work: dict[str, float] = {}
    completed_work: dict[str, float] = {}
    for log in run.logs:
        work = len(log.arrival.prompt.split()) * PROMPT_TOKEN_COST + log.arrival.length
        account = log.arrival.account
        requested_work[account] = requested_work.get(account, 0.0) + work
        completed_work[account] = completed_work.get(account, 0.0) + work * _on_time(log, run)
    fair = fair_shares(
        requested_work, run.workload.weights_by_account, sum(completed_work.values())
    )
    return {account: completed_work[account] / fair[account] for account in requested_work}


def fair_shares(requested_work: dict[str, float], weights: dict[str, float], total: float):
    """Return weighted max-min fair shares of ``total``, limited by each account's demand."""
    shares: dict[str, float] = {}
    remaining, unsatisfied = total, set(requested_work)
    while unsatisfied:
        unit = remaining / sum(weights[account] for account in unsatisfied)
        satisfied = {a for a in unsatisfied if requested_work[a] <= unit * weights[a] * (1 + 1e-9)}
        for account in satisfied or unsatisfied:
            shares[account] = min(requested_work[account], unit * weights[account])
            remaining -= shares[account]
        unsatisfied -= satisfied or unsatisfied
    return shares


COLUMNS = (
    ("policy", 14, "{}"),
    ("account", 9, "{}"),
    ("class", 12, "{}"),
    ("requests", 8, "{}"),
    ("done", 6, "{}"),
    ("on time", 7, "{}"),
    ("not run", 7, "{}"),
    ("failed", 6, "{}"),
    ("stall s", 9, "{:.1f}"),
    ("wait s", 9, "{:.1f}"),
    ("mid s", 8, "{:.1f}"),
    ("preempt", 7, "{}"),
    ("ttft p50", 8, "{:.3f}"),
    ("p95", 7, "{:.3f}"),
    ("p99", 7, "{:.3f}"),
    ("gap p50", 7, "{:.3f}"),
    ("p95", 6, "{:.3f}"),
    ("p99", 6, "{:.3f}"),
    ("tok/s", 7, "{:.0f}"),
    ("share", 5, "{}"),
)


def table(reports: list[Report], per_account: bool = False) -> list[str]:
    """Format a table with the total and the classes of each policy, and optionally accounts."""
    lines = ["  ".join(name.rjust(width) for name, width, _ in COLUMNS)]
    for report in reports:
        for (account, _), row in sorted(report.rows_by_key.items()):
            if per_account or account == ALL:
                lines.append(_line(report.policy, row))
    return lines


def _line(policy: str, row: Row) -> str:
    percentiles = [
        measure.get(name, 0.0) for measure in (row.ttft, row.gap) for name in ("p50", "p95", "p99")
    ]
    values = (
        policy,
        row.account,
        row.priority_class,
        row.requests,
        row.completed,
        row.on_time,
        row.not_run,
        row.failed,
        row.stall_time,
        row.waits,
        row.stalls,
        row.preemptions,
        *percentiles,
        row.goodput,
        "" if row.share is None else f"{row.share:.2f}",
    )
    cells = zip(values, COLUMNS, strict=True)
    return "  ".join(form.format(value).rjust(width) for value, (_, width, form) in cells)


def dump(reports: list[Report], path: str) -> None:
    """Write the reports as JSON."""
    with open(path, "w", encoding="utf-8") as file:
        json.dump([report.to_json() for report in reports], file, indent=1)
