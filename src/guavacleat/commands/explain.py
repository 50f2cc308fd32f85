"""``guavacleat explain ID [FILE...]``: the timeline of a request and the cause of its outcome.

Reads the processes' logs (JSON lines, optionally prefixed with a time and an instance), one file
per process, or standard input. Prints the log lines of the request and of what it depended on, in
order of time across processes, and the cause in one sentence. Exits with 1 if no line has the id.
"""

import sys

from guavacleat.explain import LogIndex, build_timeline, find_cause
from guavacleat.explain.lines import UnreadableLogError, read_files

USAGE = "usage: guavacleat explain ID [FILE...]   (without FILE: standard input)"


def main(argv):
    if len(argv) < 2:
        sys.exit(USAGE)
    request, files = argv[1], argv[2:]
    try:
        timeline = build_timeline(request, LogIndex(read_files(files)))
    except UnreadableLogError as exc:
        sys.exit(f"guavacleat explain: {exc}")
    if timeline is None:
        sys.exit(
            f"guavacleat explain: no log line has the request id {request}; "
            "give the logs of all gateways that the client may have reached."
        )
    first_at = timeline.sorted_lines()[0].at
    for line in timeline.sorted_lines():
        print(f"{line.at - first_at:9.3f} s  {line.instance}  {line}")
    print(f"\n{find_cause(timeline)}")
