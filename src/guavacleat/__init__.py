"""guavacleat: serves language model generations of unknown length on overloaded engines.

Subpackages implement settings, the object API client, admission, routing, stream relay, the
daemons and the stand-ins; :mod:`guavacleat.cmdline` is the command line.
"""

__version__ = "0.1.0"

__all__ = ["__version__"]
