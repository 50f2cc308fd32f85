"""``guavacleat explain ID [FILE...]``: what happened to a request, and why.

Reads logs of the processes (JSON lines, a time and an instance may stand before them), one file
each, or standard input. Prints the request's lines and those of what it depended on, in order of
time across processes, and names the cause in one sentence. Exits with 1 if no line has the id.
"""

import sys
from pathlib import Path

from guavacleat.explain import find_cause, read_lines, tell

USAGE = "usage: guavacleat explain ID [FILE...]   (without FILE: standard input)"


def main(argv):
    if len(argv) < 2:
        sys.exit(USAGE)
    request, files = argv[1], argv[2:]
    story = tell(request, _read(files))
    if story is None:
        sys.exit(
            f"guavacleat explain: no line has the request {request}; "
            "give the logs of the gateways that its caller may have reached."
        )
    began = story.in_order()[0].at
    for line in story.in_order():
        print(f"{line.at - began:9.3f} s  {line.instance}  {line}")
    print(f"\n{find_cause(story)}")


def _read(files: list[str]):
    if not files:
        return read_lines(sys.stdin, "stdin")
    return [line for name in files for line in _read_file(name)]


def _read_file(name: str):
    try:
        with open(name, encoding="utf-8", errors="replace") as file:
            return read_lines(file, Path(name).stem)
    except OSError as exc:
        sys.exit(f"guavacleat explain: cannot read {name}: {exc}.")
