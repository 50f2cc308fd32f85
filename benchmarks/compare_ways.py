"""Compares ways of building a decision: checkouts of this repository that play the same days.

Each way is a directory with a checkout. Every play (a site file and a day) is run with each seed in
every way, and the ways are compared pairwise with the first one. Processor time, which differs
between runs of one seed, is charged only on demand. Results are appended to a file, so that an
interrupted comparison continues where it ended.

    python benchmarks/compare_ways.py --bench=PATH --way=base=../base --way=new=../new \\
        --play=SITE.toml:scale-1 --seeds=101-105 --results=out/ways.jsonl
"""

import argparse
import concurrent.futures
import itertools
import json
import math
import re
import statistics
import subprocess
from pathlib import Path

RUN_TIMEOUT_SECONDS = 900
# A day's line: its name, machines, then score, worth, served, refused and failed shares.
DAY_LINE = re.compile(r"^(\S+) +\d+/\d+" + r" +([\d.-]+)" * 5)
FIGURES = ("score", "worth", "served", "refused", "failed")
BROKEN_RULES = re.compile(r"BROKEN: (.*)$")


class Run:
    """One way's run of a play with a seed."""

    __slots__ = ("way", "directory", "site", "day", "seed")

    def __init__(self, way: str, directory: Path, site: str, day: str, seed: int):
        self.way = way
        self.directory = directory
        self.site = site
        self.day = day
        self.seed = seed

    @property
    def key(self) -> str:
        return f"{self.way} {Path(self.site).stem} {Path(self.day).stem} {self.seed}"

    def play(self, bench: str, why: str, charge_cpu: bool) -> dict:
        """Run the day and return its figures."""
        command = [bench, "run", self.site, self.day, "--seed", str(self.seed), "--jobs", "1"]
        command += [] if charge_cpu else ["--no-cpu"]
        done = subprocess.run(
            [*command, "--why", f"{self.way}: {why}"],
            cwd=self.directory,
            capture_output=True,
            text=True,
            timeout=RUN_TIMEOUT_SECONDS,
        )
        lines = done.stdout.splitlines()
        found = next(filter(None, map(DAY_LINE.match, lines)), None)
        values = map(float, found.groups()[1:]) if found else itertools.repeat(None)
        figures = {"key": self.key, **dict(zip(FIGURES, values, strict=False))}
        figures["broken"] = [found[1] for found in map(BROKEN_RULES.search, lines) if found]
        if not found:
            figures["error"] = (done.stdout + done.stderr)[-2000:]
        return figures


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--bench", required=True)
    parser.add_argument("--way", action="append", required=True, help="NAME=DIRECTORY")
    parser.add_argument("--play", action="append", required=True, help="SITE:DAY")
    parser.add_argument("--seeds", default="101-105", help="FIRST-LAST")
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--charge-cpu", action="store_true", help="charge processor time")
    parser.add_argument("--figure", choices=FIGURES, default="worth", help="what is compared")
    parser.add_argument("--why", default="comparison of ways")
    parser.add_argument("--results", type=Path, default=Path("out/ways.jsonl"))
    return parser.parse_args()


def planned_runs(arguments) -> list[Run]:
    first, last = map(int, arguments.seeds.split("-"))
    ways = [way.split("=", 1) for way in arguments.way]
    plays = [play.rsplit(":", 1) for play in arguments.play]
    return [
        Run(way, Path(directory), site, day, seed)
        for (site, day), seed, (way, directory) in itertools.product(
            plays, range(first, last + 1), ways
        )
    ]


def load_results(path: Path) -> dict[str, dict]:
    if not path.exists():
        return {}
    results = map(json.loads, path.read_text().splitlines())
    return {figures["key"]: figures for figures in results if figures["worth"] is not None}


def run_all(arguments, runs: list[Run]) -> dict[str, dict]:
    """Play what has no result yet, and return all results by key."""
    results_by_key = load_results(arguments.results)
    missing = [run for run in runs if run.key not in results_by_key]
    arguments.results.parent.mkdir(parents=True, exist_ok=True)
    with (
        concurrent.futures.ThreadPoolExecutor(arguments.jobs) as executor,
        arguments.results.open("a") as file,
    ):
        futures = [
            executor.submit(run.play, arguments.bench, arguments.why, arguments.charge_cpu)
            for run in missing
        ]
        for future in concurrent.futures.as_completed(futures):
            figures = future.result()
            results_by_key[figures["key"]] = figures
            file.write(json.dumps(figures) + "\n")
            file.flush()
    return results_by_key


def print_table(runs: list[Run], results_by_key: dict[str, dict], figure: str) -> None:
    """One line per play and way: mean figure, and the paired difference from the first way."""
    values = {run.key: results_by_key.get(run.key, {}).get(figure) for run in runs}
    ways = list(dict.fromkeys(run.way for run in runs))
    plays = list(dict.fromkeys((run.site, run.day) for run in runs))
    for site, day in plays:
        of_play = [run for run in runs if (run.site, run.day) == (site, day)]
        seeds = sorted({run.seed for run in of_play})
        for way in ways:
            keys = [f"{way} {Path(site).stem} {Path(day).stem} {seed}" for seed in seeds]
            bases = [f"{ways[0]} {Path(site).stem} {Path(day).stem} {seed}" for seed in seeds]
            pairs = [
                (values[key], values[base])
                for key, base in zip(keys, bases, strict=True)
                if values[key] is not None and values[base] is not None
            ]
            print(_table_line(f"{Path(site).stem} {Path(day).stem}", way, pairs))
    for figures in results_by_key.values():
        for line in figures["broken"]:
            print(f"{figures['key']}: {line}")


def _table_line(play: str, way: str, pairs: list[tuple[float, float]]) -> str:
    if not pairs:
        return f"{play:40} {way:16} no results"
    differences = [new - base for new, base in pairs]
    error = statistics.stdev(differences) / math.sqrt(len(pairs)) if len(pairs) > 1 else math.nan
    mean = statistics.fmean(new for new, _ in pairs)
    difference = statistics.fmean(differences)
    return f"{play:40} {way:16} {mean:.3f}  {difference:+.3f} +- {error:.3f}  ({len(pairs)})"


def main():
    arguments = parse_arguments()
    runs = planned_runs(arguments)
    print_table(runs, run_all(arguments, runs), arguments.figure)


if __name__ == "__main__":
    main()
