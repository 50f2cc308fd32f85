"""The last accepted configuration in one daemon, which only ever moves forward.

Daemons learn configuration from the object API (``config/<deployment>``) by watch. A watch may
replay an old version after a gap, a store outage or a restart of the store's client; applying it
would revert the operators' change. The holder therefore accepts a stored version only if it is
newer than the one in force, and only if it passes the same checks as ``ctl apply``.
"""

from eliot import log_message

from guavacleat.config.loader import check_raw
from guavacleat.config.model import Deployment
from guavacleat.store.messages import Revision, StoredObject

__all__ = ["ConfigHolder", "CONFIG_KIND"]

CONFIG_KIND = "config"


class ConfigHolder:
    """Holds ``(version, Deployment)``; counts what it accepted, ignored and refused."""

    def __init__(self, deployment_name: str | None = None):
        self.deployment_name = deployment_name
        self.version = 0
        # By era, the first number seen of it: what came back with a copy of the store.
        self.copied_by_era: dict[int, int] = {}
        self.deployment: Deployment | None = None
        self.counts_by_outcome = {"accepted": 0, "stale": 0, "refused": 0}

    def _is_newer(self, version: int) -> bool:
        """Whether a stored version was written after the one in force.

        A store that comes back from a copy has an older version, of a later era; what operators
        write after that has a higher number than the copy, if not than the one in force.
        """
        offered, in_force = Revision(version), Revision(self.version)
        if not self.version or offered.era == in_force.era:
            return offered > in_force
        if offered.era < in_force.era:
            return False
        copied = self.copied_by_era.setdefault(offered.era, offered.number)
        return offered.number > copied or offered.number > in_force.number

    def offer(self, stored: StoredObject) -> bool:
        """Take in a stored configuration; return True if it is now in force."""
        if self.deployment_name and stored.name != self.deployment_name:
            return False
        if not self._is_newer(stored.version):
            self.counts_by_outcome["stale"] += 1
            return False
        result = check_raw(stored.value["settings"])
        if result.is_error():
            self.counts_by_outcome["refused"] += 1
            log_message(
                message_type="config:refused", version=stored.version, problems=result.error
            )
            return False
        self.version = stored.version
        self.deployment = result.ok
        self.counts_by_outcome["accepted"] += 1
        log_message(message_type="config:accepted", version=stored.version, name=stored.name)
        return True
