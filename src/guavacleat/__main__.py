"""Allows ``python -m guavacleat``."""

from guavacleat.cmdline import run

run()
