"""``guavacleat ctl apply FILE`` and ``guavacleat ctl status``: the operators' command line."""

import sys

from absl import flags
from twisted.internet import defer, task

from guavacleat.commands.common import FLAGS
from guavacleat.ctl import apply_settings, read_status
from guavacleat.errors import GuavacleatError
from guavacleat.store import StoreClient

flags.declare_key_flag("store")
flags.DEFINE_integer(
    "base_version", None, "apply: the version this file was based on (default: the current one)."
)

USAGE = "usage: guavacleat ctl apply FILE | guavacleat ctl status [--store URL]"


@defer.inlineCallbacks
def _apply(reactor, path: str):
    applied = yield apply_settings(StoreClient(FLAGS.store), path, FLAGS.base_version)
    print(f"applied {applied.name} as version {applied.version}")


@defer.inlineCallbacks
def _status(reactor):
    lines = yield read_status(StoreClient(FLAGS.store))
    print("\n".join(lines))


def _report(failure):
    failure.trap(GuavacleatError)
    sys.stderr.write(f"guavacleat ctl: {failure.value}\n")
    raise SystemExit(1)


def main(argv):
    if len(argv) == 3 and argv[1] == "apply":
        task.react(lambda reactor: _apply(reactor, argv[2]).addErrback(_report))
    elif len(argv) == 2 and argv[1] == "status":
        task.react(lambda reactor: _status(reactor).addErrback(_report))
    else:
        sys.exit(USAGE)
