"""Flags of several commands, defined once because absl flags are process-wide."""

from absl import flags

__all__ = ["FLAGS"]

FLAGS = flags.FLAGS
flags.DEFINE_string("store", "http://127.0.0.1:7000", "URL of the platform's object API.")
flags.DEFINE_string(
    "listen",
    "127.0.0.1:0",
    "host:port to listen on; port 0 picks a free one, printed on the ready line.",
)
flags.DEFINE_string("name", None, "Sidecar: the endpoint's name in the settings. Engine: its name.")
