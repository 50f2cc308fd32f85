"""Plots of the report: lost worth over time by cause, and engines' memory and copies."""

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402 - the backend must be chosen first

from guavacleat.report.engines import EngineHistory  # noqa: E402
from guavacleat.report.ledger import Ledger  # noqa: E402

__all__ = ["save_plots"]


def save_plots(
    ledger: Ledger, histories: list[EngineHistory], path: str, span_seconds: float
) -> None:
    """Save both plots, one above the other, to ``path`` (PNG)."""
    figure, (upper, lower) = pyplot.subplots(2, 1, figsize=(12, 8), sharex=True)
    _plot_losses(upper, ledger, span_seconds)
    _plot_engines(lower, histories)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _plot_losses(axes, ledger: Ledger, span_seconds: float) -> None:
    lost_worth_by_kind = ledger.lost_worth_by_span(span_seconds)
    bottoms: dict[float, float] = {}
    for kind, lost_worth in sorted(lost_worth_by_kind.items(), key=lambda item: item[0].value):
        spans = sorted(lost_worth)
        below = [bottoms.get(span, 0.0) for span in spans]
        heights = [lost_worth[span] for span in spans]
        axes.bar(spans, heights, span_seconds * 0.9, below, align="edge", label=kind.value)
        tops = zip(spans, below, heights, strict=True)
        bottoms.update({span: low + high for span, low, high in tops})
    axes.set_ylabel(f"worth lost per {span_seconds:g} s of arrival")
    if lost_worth_by_kind:
        axes.legend(fontsize="small")


def _plot_engines(axes, histories: list[EngineHistory]) -> None:
    for history in histories:
        times = [estimate.at for estimate in history.estimates]
        expected = [estimate.expected for estimate in history.estimates]
        [line] = axes.plot(times, expected, ".-", linewidth=0.7, label=history.id)
        if history.notice_at is not None:
            axes.axvline(history.notice_at, color=line.get_color(), linewidth=0.5, linestyle="--")
        for copy in history.copies:
            axes.plot([copy.started_at, copy.ended_at], [0, 0], color=line.get_color(), linewidth=4)
    axes.set_ylabel("expected tokens, as estimated")
    axes.set_xlabel("seconds (dashed: notice; bars at 0: copies from the engine)")
