"""``guavacleat load``: simulate a deployment's traffic on stand-in engines and compare policies.

Every policy gets the same seeded requests on a virtual clock, so runs are reproducible. Prints a
table per policy and priority class (per account with --accounts) and the ratios to the best
baseline; --out saves the figures and plots.
"""

import sys
from pathlib import Path

from absl import flags
from tqdm import tqdm

from guavacleat.load.experiment import POLICIES_BY_NAME, run_policy
from guavacleat.load.plots import save_plots
from guavacleat.load.report import Report, dump, make_report, table
from guavacleat.load.workloads import WORKLOADS_BY_NAME, arrivals
from guavacleat.sidecar.occupancy import HEADROOM

FLAGS = flags.FLAGS
flags.DEFINE_enum(
    "workload", "nile", sorted(WORKLOADS_BY_NAME), "Deployment whose traffic to simulate."
)
flags.DEFINE_list("policies", ["guavacleat", "least-loaded", "round-robin"], "Policies to compare.")
flags.DEFINE_float("seconds", 60.0, "Duration of the traffic, in virtual seconds.", lower_bound=1.0)
flags.DEFINE_float("load", 1.5, "Multiplier of all request rates.", lower_bound=0.01)
flags.DEFINE_integer("seed", 1, "Random seed of the traffic.")
flags.DEFINE_integer("gateways", 3, "Number of gateways that share the callers.", lower_bound=1)
flags.DEFINE_float("max_wait", 10.0, "Seconds after which a queued request is refused.")
flags.DEFINE_float(
    "keep_free",
    HEADROOM,
    "Share of engine memory that guavacleat's sidecars keep free.",
    lower_bound=0.0,
)
flags.DEFINE_bool("accounts", False, "Also print a row per client account.")
flags.DEFINE_string("out", None, "Folder to save the figures (JSON) and plots (PNG) to.")

OWN_POLICY = "guavacleat"


def main(argv):
    if len(argv) > 1:
        sys.exit(f"guavacleat load: unknown argument {argv[1]!r}. Remedy: see --help.")
    unknown = set(FLAGS.policies) - set(POLICIES_BY_NAME)
    if unknown:
        names = ", ".join(POLICIES_BY_NAME)
        sys.exit(f"--policies names unknown {sorted(unknown)}. Remedy: use some of {names}.")
    workload = WORKLOADS_BY_NAME[FLAGS.workload]
    requests = arrivals(workload, FLAGS.seconds, FLAGS.seed, FLAGS.load)
    reports = [_run(name, workload, requests) for name in FLAGS.policies]
    print("\n".join(table(reports, FLAGS.accounts)))
    print("\n".join(_ratios(reports)))
    all_violations = [violation for report in reports for violation in report.violations]
    print(f"violations: {all_violations or 'none'}")
    if FLAGS.out:
        _save(reports)


def _run(name: str, workload, requests) -> Report:
    policy = POLICIES_BY_NAME[name]
    policy.headroom = FLAGS.keep_free
    with tqdm(total=round(FLAGS.seconds), desc=name, unit="s", leave=False) as bar:
        run = run_policy(
            policy,
            workload,
            requests,
            FLAGS.seconds,
            FLAGS.gateways,
            max_wait=FLAGS.max_wait,
            on_progress=lambda now: bar.update(min(int(now), bar.total) - bar.n),
        )
    return make_report(run)


def _ratios(reports: list[Report]) -> list[str]:
    """Ratios of guavacleat's figures to the best baseline's, if both were run."""
    own = [report for report in reports if report.policy == OWN_POLICY]
    others = [report.total() for report in reports if report.policy != OWN_POLICY]
    if not own or not others:
        return []
    total = own[0].total()
    measures = ("stall_time", "waits", "stalls", "preemptions", "goodput")
    lines = []
    for measure in measures:
        values = [getattr(row, measure) for row in others]
        best = max(values) if measure == "goodput" else min(values)
        ratio = f"{getattr(total, measure) / best:.2f}" if best else "no baseline value"
        lines.append(f"{measure} over the best baseline's: {ratio}")
    shares = ", ".join(f"{report.policy} {report.least_share():.2f}" for report in reports)
    return [*lines, f"least share of any account: {shares}"]


def _save(reports: list[Report]) -> None:
    folder = Path(FLAGS.out)
    folder.mkdir(parents=True, exist_ok=True)
    stem = f"{FLAGS.workload}-load{FLAGS.load:g}-seed{FLAGS.seed}"
    dump(reports, str(folder / f"{stem}.json"))
    save_plots(reports, str(folder / f"{stem}.png"), f"{stem}, {FLAGS.seconds:g} s")
    print(f"saved {folder / stem}.json and .png")
