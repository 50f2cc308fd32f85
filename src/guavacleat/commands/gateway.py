"""``guavacleat gateway``: the entry daemon."""

from absl import flags
from twisted.internet import reactor

from guavacleat.commands.common import FLAGS
from guavacleat.commands.daemon import parse_address, serve, start_logging
from guavacleat.gateway import GatewayService
from guavacleat.gateway.service import STOP_GRACE_SECONDS

flags.declare_key_flag("listen")
flags.declare_key_flag("store")
flags.DEFINE_string("deployment", None, "Name of the deployment whose configuration to follow.")

flags.DEFINE_float(
    "stop_grace",
    STOP_GRACE_SECONDS,
    "Seconds a planned stop waits for running streams at most.",
    lower_bound=0.0,
)


def main(argv):
    del argv
    start_logging()
    gateway = GatewayService(
        reactor,
        parse_address(FLAGS.listen, "listen"),
        FLAGS.store,
        FLAGS.deployment,
        FLAGS.stop_grace,
    )
    serve(gateway, lambda: f"ready gateway http://{gateway.address()}")
