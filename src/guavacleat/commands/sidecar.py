"""``guavacleat sidecar``: the process next to one endpoint."""

import sys

from absl import flags
from twisted.internet import reactor

from guavacleat.commands.common import FLAGS
from guavacleat.commands.daemon import parse_address, serve, start_logging
from guavacleat.sidecar import SidecarService
from guavacleat.sidecar.occupancy import HEADROOM
from guavacleat.sidecar.service import CLIENTS_BY_KIND

flags.declare_key_flag("name")
flags.declare_key_flag("listen")
flags.declare_key_flag("store")
flags.DEFINE_string("service", None, "Name of the service that this endpoint belongs to.")
flags.DEFINE_string("data_centre", "local", "The data centre that this endpoint runs in.")
flags.DEFINE_string("instance", "", "The platform's name of this instance.")
flags.DEFINE_float(
    "headroom",
    HEADROOM,
    "Share of the engine's memory to keep free for outputs longer than expected.",
    lower_bound=0.0,
    upper_bound=0.9,
)
flags.DEFINE_string(
    "engine", "http://127.0.0.1:8000", "URL of the engine or plain service behind this sidecar."
)
flags.DEFINE_enum("kind", "engine", sorted(CLIENTS_BY_KIND), "What is behind this sidecar.")


def main(argv):
    del argv
    if not FLAGS.name or not FLAGS.service:
        sys.exit("--name and --service are required. Remedy: pass both flags.")
    start_logging()
    sidecar = SidecarService(
        reactor,
        FLAGS.name,
        FLAGS.service,
        FLAGS.data_centre,
        parse_address(FLAGS.listen, "listen"),
        FLAGS.engine,
        FLAGS.store,
        instance=FLAGS.instance,
        on_superseded=reactor.stop,
        headroom=FLAGS.headroom,
        kind=FLAGS.kind,
    )
    serve(sidecar, lambda: f"ready sidecar {sidecar.record.address}")
