"""guavacleat: serving generations of unknown length on crowded model engines.

The package holds one subpackage per duty (settings, the object API client, admission, routing,
stream relay, the daemons and the stand-ins) and a command line on top of them.
"""

__version__ = "0.1.0"

__all__ = ["__version__"]
