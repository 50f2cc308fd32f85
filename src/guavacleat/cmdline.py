"""The ``guavacleat`` command: ``guavacleat COMMAND [--flags]``.

Commands are looked up by name in :data:`COMMANDS_BY_NAME`; only the chosen command's module is
imported, so ``guavacleat COMMAND --help`` lists only that command's flags.
"""

import importlib
import sys

from absl import app, flags

from guavacleat.hangup import hangups

__all__ = ["COMMANDS_BY_NAME", "get_command_by_name", "run"]

COMMANDS_BY_NAME = {
    "gateway": ("guavacleat.commands.gateway", "entry daemon behind the platform's load balancer"),
    "ingress": ("guavacleat.commands.ingress", "gateway for HTTP routes, on the platform"),
    "sidecar": ("guavacleat.commands.sidecar", "the process next to one endpoint"),
    "ctl": (
        "guavacleat.commands.ctl",
        "operators: `ctl apply FILE`, `ctl status`, `ctl order ...`",
    ),
    "explain": ("guavacleat.commands.explain", "a request's timeline and cause, from logs"),
    "report": ("guavacleat.commands.report", "lost worth of a run by cause, from logs"),
    "standin": ("guavacleat.commands.standin", "stand-ins: `standin engine|store|services|routed`"),
    "load": (
        "guavacleat.commands.load",
        "simulate traffic on stand-in engines and compare policies",
    ),
    "demo": ("guavacleat.commands.demo", "end-to-end demonstration on loopback"),
}

# Commands that reload their settings on SIGHUP.
RELOADING_COMMANDS = ("gateway", "ingress")

USAGE = "usage: guavacleat COMMAND [--flags]   (guavacleat COMMAND --help for its flags)\n"


def get_command_by_name(name: str):
    """Import and return the module of command ``name``; raise KeyError if there is none."""
    module_name, _ = COMMANDS_BY_NAME[name]
    return importlib.import_module(module_name)


def run(argv: list[str] | None = None) -> None:
    """Entry point of the ``guavacleat`` script."""
    argv = sys.argv if argv is None else argv
    if len(argv) < 2 or argv[1] not in COMMANDS_BY_NAME:
        listing = "".join(f"  {name:8} {about}\n" for name, (_, about) in COMMANDS_BY_NAME.items())
        sys.stderr.write(USAGE + "commands:\n" + listing)
        sys.exit(2)
    if argv[1] in RELOADING_COMMANDS:
        hangups.catch()
    command = get_command_by_name(argv[1])
    # absl's --help lists the key flags of the module named by argv[0]; register the command's
    # flags under that name and show the command's docstring as the usage text.
    for flag in flags.FLAGS.get_key_flags_for_module(command):
        flags.FLAGS.register_key_flag_for_module(sys.argv[0], flag)
    sys.modules["__main__"].__doc__ = command.__doc__
    app.run(command.main, argv=[f"guavacleat {argv[1]}"] + argv[2:])
