"""``guavacleat gateway``: the entry daemon."""

from absl import flags
from twisted.internet import reactor

from guavacleat.commands.daemon import parse_address, serve, start_logging
from guavacleat.gateway import GatewayService

FLAGS = flags.FLAGS
flags.DEFINE_string("listen", "127.0.0.1:8080", "host:port for callers' HTTP; port 0 picks one.")
flags.DEFINE_string("store", "http://127.0.0.1:7000", "URL of the platform's object API.")
flags.DEFINE_string("deployment", None, "Name of the deployment whose configuration to follow.")


def main(argv):
    del argv
    start_logging()
    gateway = GatewayService(
        reactor, parse_address(FLAGS.listen, "listen"), FLAGS.store, FLAGS.deployment
    )
    serve(gateway, lambda: f"ready gateway http://{gateway.address()}")
