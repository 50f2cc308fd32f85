"""``guavacleat sidecar``: the process beside one endpoint."""

from absl import flags
from twisted.internet import reactor

from guavacleat.commands.daemon import parse_address, serve, start_logging
from guavacleat.sidecar import SidecarService

FLAGS = flags.FLAGS
flags.DEFINE_string("name", None, "This endpoint's name, as in the settings.", required=True)
flags.DEFINE_string("service", None, "The service this endpoint belongs to.", required=True)
flags.DEFINE_string("data_centre", "local", "The data centre this endpoint runs in.")
flags.DEFINE_string("listen", "127.0.0.1:9090", "host:port for gateways' thrift; port 0 picks.")
flags.DEFINE_string("engine", "http://127.0.0.1:8000", "URL of the engine beside this sidecar.")
flags.DEFINE_string("store", "http://127.0.0.1:7000", "URL of the platform's object API.")


def main(argv):
    del argv
    start_logging()
    sidecar = SidecarService(
        reactor,
        FLAGS.name,
        FLAGS.service,
        FLAGS.data_centre,
        parse_address(FLAGS.listen, "listen"),
        FLAGS.engine,
        FLAGS.store,
    )
    serve(sidecar, lambda: f"ready sidecar {sidecar.record.address}")
