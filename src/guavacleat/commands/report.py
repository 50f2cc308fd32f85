"""``guavacleat report [FILE...]``: a run's lost worth by cause.

Reads logs of the gateways (as ``guavacleat explain`` does) and prints the requests by route and
result, the lost worth by route and cause as shares of the total, where the streams' seconds go,
each engine's history, and the waits and refusals of contended services by rank.
--plot saves lost worth and engines' memory over time.
"""

import sys

from absl import flags

from guavacleat.explain import LogIndex
from guavacleat.explain.lines import UnreadableLogError, read_files
from guavacleat.report import Worth, engine_histories, make_ledger
from guavacleat.report.phases import phases_by_span, stream_phases
from guavacleat.report.ranks import rank_stays
from guavacleat.report.tables import engine_table, loss_table, phase_table, rank_table, route_table

FLAGS = flags.FLAGS
flags.DEFINE_multi_string(
    "worth", [], "ROUTE=ON_TIME[:LATE], worth of a route's response; default 1:0."
)
flags.DEFINE_string("plot", None, "File to save the plot to (PNG).")
flags.DEFINE_float(
    "span", 2.0, "Seconds of arrivals per row of the phases and bar of the plot.", lower_bound=0.1
)


def main(argv):
    try:
        index = LogIndex(read_files(argv[1:]))
    except UnreadableLogError as exc:
        sys.exit(f"guavacleat report: {exc}")
    if not index.by_request:
        sys.exit("guavacleat report: no log line has a request id; give the logs of the gateways.")
    ledger = make_ledger(index, dict(map(_parse_worth, FLAGS.worth)))
    histories = engine_histories(index)
    phases = phases_by_span(stream_phases(index), FLAGS.span)
    tables = [
        route_table(ledger),
        loss_table(ledger),
        phase_table(phases),
        engine_table(histories),
    ]
    if ranks := rank_stays(index):
        tables.append(rank_table(ranks))
    print(*tables, sep="\n\n")
    if FLAGS.plot:
        # Imported lazily: the plotting library is slow to load.
        from guavacleat.report.plots import save_plots

        save_plots(ledger, histories, FLAGS.plot, FLAGS.span)


def _parse_worth(text: str) -> tuple[str, Worth]:
    route, _, values = text.rpartition("=")
    on_time, _, late = values.partition(":")
    try:
        return route, Worth(float(on_time), float(late or 0))
    except ValueError:
        sys.exit(f"guavacleat report: --worth={text} is not ROUTE=ON_TIME[:LATE].")
