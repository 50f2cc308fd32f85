"""The operators' commands.

- ``guavacleat ctl apply FILE``: apply a settings file as a whole.
- ``guavacleat ctl status``: configuration versions, endpoints and evacuated data centres.
- ``guavacleat ctl evacuate DATA-CENTRE``: send no new requests to its endpoints.
- ``guavacleat ctl restore DATA-CENTRE``: use its endpoints again.
- ``guavacleat ctl order ENDPOINT model|adapter|version|role TARGET``: send an order to an engine.
"""

import sys

from absl import flags
from twisted.internet import defer, task

from guavacleat.commands.common import FLAGS
from guavacleat.ctl import apply_settings, read_status
from guavacleat.errors import GuavacleatError, SettingsError
from guavacleat.evacuations.objects import set_evacuated
from guavacleat.gateway.sidecars import SidecarPool
from guavacleat.orders.send import send_order
from guavacleat.store import Revision, StoreClient

flags.declare_key_flag("store")
flags.DEFINE_string(
    "base_version", None, "apply: the version this file is based on (default: the current one)."
)

USAGE = (
    "usage: guavacleat ctl apply FILE | guavacleat ctl status"
    " | guavacleat ctl evacuate DATA-CENTRE | guavacleat ctl restore DATA-CENTRE"
    " | guavacleat ctl order ENDPOINT KIND TARGET   [--store URL]"
)


def _base_version() -> Revision | None:
    if FLAGS.base_version is None:
        return None
    try:
        return Revision.parse(FLAGS.base_version)
    except ValueError:
        raise SettingsError(
            f"--base_version={FLAGS.base_version} is not a version.",
            "use the format of `guavacleat ctl status`, such as 4 or 1.4.",
        ) from None


@defer.inlineCallbacks
def _apply(reactor, path: str):
    applied = yield apply_settings(StoreClient(FLAGS.store), path, _base_version())
    print(f"applied {applied.name} as version {applied.version}")


@defer.inlineCallbacks
def _status(reactor):
    lines = yield read_status(StoreClient(FLAGS.store))
    print("\n".join(lines))


@defer.inlineCallbacks
def _order(reactor, endpoint: str, kind: str, target: str):
    store = StoreClient(FLAGS.store)
    fencing = yield send_order(reactor, store, SidecarPool(reactor), endpoint, kind, target)
    print(f"{endpoint} accepted order {fencing}: {kind} {target}")


@defer.inlineCallbacks
def _evacuate(reactor, data_centre: str):
    changed = yield set_evacuated(StoreClient(FLAGS.store), data_centre, True)
    print(f"{data_centre} is evacuated" if changed else f"{data_centre} was evacuated already")


@defer.inlineCallbacks
def _restore(reactor, data_centre: str):
    changed = yield set_evacuated(StoreClient(FLAGS.store), data_centre, False)
    print(f"{data_centre} is in use again" if changed else f"{data_centre} was not evacuated")


def _exit_with_error(failure):
    failure.trap(GuavacleatError)
    sys.stderr.write(f"guavacleat ctl: {failure.value}\n")
    raise SystemExit(1)


# Each command's function and its number of arguments.
COMMANDS_BY_NAME = {
    "apply": (_apply, 1),
    "status": (_status, 0),
    "evacuate": (_evacuate, 1),
    "restore": (_restore, 1),
    "order": (_order, 3),
}


def main(argv):
    name, arguments = (argv[1], argv[2:]) if len(argv) > 1 else ("", [])
    command, count = COMMANDS_BY_NAME.get(name, (None, 0))
    if command is None or len(arguments) != count:
        sys.exit(USAGE)
    task.react(lambda reactor: command(reactor, *arguments).addErrback(_exit_with_error))
