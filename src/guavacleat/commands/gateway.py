"""``guavacleat gateway``: the entry daemon."""

from absl import flags
from twisted.internet import reactor

from guavacleat.commands.common import FLAGS
from guavacleat.commands.daemon import parse_address, serve, start_logging
from guavacleat.gateway import GatewayService

flags.declare_key_flag("listen")
flags.declare_key_flag("store")
flags.DEFINE_string("deployment", None, "Name of the deployment whose configuration to follow.")


def main(argv):
    del argv
    start_logging()
    gateway = GatewayService(
        reactor, parse_address(FLAGS.listen, "listen"), FLAGS.store, FLAGS.deployment
    )
    serve(gateway, lambda: f"ready gateway http://{gateway.address()}")
