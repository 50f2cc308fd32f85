"""Starts ``guavacleat`` from a source checkout, without installing the package."""

import sys

# Without pathlib, whose import takes longer than all that precedes the handler of the signal.
sys.path.insert(0, __file__.rpartition("/")[0] + "/../src")

from guavacleat.hangup import hangups  # noqa: E402

hangups.catch()

from guavacleat.cmdline import run  # noqa: E402

run()
