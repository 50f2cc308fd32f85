"""Starts ``guavacleat`` from a source checkout, without installing the package."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from guavacleat.cmdline import run  # noqa: E402

run()
