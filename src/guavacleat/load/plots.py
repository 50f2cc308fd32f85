"""Plots of a load run, one file for all policies of a workload."""

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402 - the backend must be set first

from guavacleat.load.report import ALL, Report  # noqa: E402

__all__ = ["save_plots"]


def save_plots(reports: list[Report], path: str, title: str) -> None:
    """Plot stalls, preemptions, time to first token and shares of each policy to ``path``."""
    figure, axes = pyplot.subplots(2, 2, figsize=(11, 8))
    totals = [report.total() for report in reports]
    names = [report.policy for report in reports]
    _bars(axes[0][0], names, [row.stalls for row in totals], "stalled within answers (s)")
    _bars(axes[0][1], names, [row.preemptions for row in totals], "preemptions")
    classes = sorted({key[1] for key in reports[0].rows_by_key if key[0] == ALL} - {ALL})
    _grouped(
        axes[1][0],
        classes,
        {
            r.policy: [r.rows_by_key[ALL, name].ttft.get("p95", 0) for name in classes]
            for r in reports
        },
        "time to first token, p95 (s)",
    )
    accounts = sorted({key[0] for key in reports[0].rows_by_key} - {ALL})
    _grouped(
        axes[1][1],
        accounts,
        {r.policy: [r.rows_by_key[name, ALL].share for name in accounts] for r in reports},
        "work done over fair share",
    )
    figure.suptitle(title)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _bars(axis, names: list[str], values: list[float], label: str) -> None:
    axis.bar(names, values)
    axis.set_ylabel(label)


def _grouped(axis, groups: list[str], values_by_name: dict[str, list[float]], label: str) -> None:
    width = 0.8 / len(values_by_name)
    for index, (name, values) in enumerate(values_by_name.items()):
        axis.bar([place + index * width for place in range(len(groups))], values, width, label=name)
    axis.set_xticks(range(len(groups)), groups, rotation=45, ha="right")
    axis.set_ylabel(label)
    axis.legend()
