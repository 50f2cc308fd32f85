"""SIGHUP while a daemon starts."""

import signal
import subprocess
import sys
from pathlib import Path

import guavacleat
from guavacleat.hangup import Hangups

ROUTES = Path(guavacleat.__file__).parent / "examples" / "routes.json5"
LAUNCHER = Path(guavacleat.__file__).parents[2] / "deploy" / "launch.py"


def test_a_hangup_during_the_start_does_not_end_the_process():
    """Guards against a signal that arrives while the process still imports its modules."""
    process = subprocess.Popen(
        [sys.executable, "-X", "importtime", str(LAUNCHER), "ingress", f"--routes={ROUTES}"]
        + ["--check"],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    imported = (line for line in process.stderr if "| absl" in line.replace("   ", " "))
    next(imported)
    process.send_signal(signal.SIGHUP)
    output, _ = process.communicate(timeout=30)
    assert process.returncode == 0
    assert "settings are usable" in output


def test_a_hangup_before_the_settings_can_be_reloaded_is_not_lost():
    """Guards against a change of settings that goes unnoticed as the process has just started."""
    previous = signal.getsignal(signal.SIGHUP)
    reloads = []
    try:
        hangups = Hangups()
        hangups.catch()
        signal.raise_signal(signal.SIGHUP)
        hangups.call(lambda: reloads.append("reload"))
        assert reloads == ["reload"]
        signal.raise_signal(signal.SIGHUP)
        assert reloads == ["reload"] * 2
    finally:
        signal.signal(signal.SIGHUP, previous)
