"""``guavacleat explain ID [FILE...]``: what happened to a request, and why.

Reads logs of the processes (JSON lines, a time and an instance may stand before them), one file
each, or standard input. Prints the request's lines and those of what it depended on, in order of
time across processes, and names the cause in one sentence. Exits with 1 if no line has the id.
"""

import sys

from guavacleat.explain import LogIndex, find_cause, tell
from guavacleat.explain.lines import UnreadableLogError, read_files

USAGE = "usage: guavacleat explain ID [FILE...]   (without FILE: standard input)"


def main(argv):
    if len(argv) < 2:
        sys.exit(USAGE)
    request, files = argv[1], argv[2:]
    try:
        story = tell(request, LogIndex(read_files(files)))
    except UnreadableLogError as exc:
        sys.exit(f"guavacleat explain: {exc}")
    if story is None:
        sys.exit(
            f"guavacleat explain: no line has the request {request}; "
            "give the logs of the gateways that its caller may have reached."
        )
    began = story.in_order()[0].at
    for line in story.in_order():
        print(f"{line.at - began:9.3f} s  {line.instance}  {line}")
    print(f"\n{find_cause(story)}")
