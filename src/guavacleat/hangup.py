"""SIGHUP, from the first moments of a daemon's process on.

By default the signal ends a process. A daemon that can reload its settings later must outlive a
signal that arrives while it still imports its modules, and reload once it can.
"""

import signal

__all__ = ["Hangups", "hangups"]


class Hangups:
    """Remembers signals until there is something to call for them.

    :ivar pending: whether a signal has arrived that nothing was called for.
    """

    def __init__(self):
        self.pending = False
        self._on_hangup = None

    def catch(self) -> None:
        """Catch the signal from now on; call it before importing anything large."""
        signal.signal(signal.SIGHUP, lambda *_: self._received())

    def call(self, on_hangup) -> None:
        """Call ``on_hangup`` for each signal, also for one that has arrived before."""
        self.catch()
        self._on_hangup = on_hangup
        if self.pending:
            self.pending = False
            on_hangup()

    def _received(self) -> None:
        if self._on_hangup is None:
            self.pending = True
        else:
            self._on_hangup()


#: The signals of this process.
hangups = Hangups()
