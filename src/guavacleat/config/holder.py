"""The configuration in force in one daemon; it never goes back to an older version.

Daemons watch ``config/<deployment>`` in the object API. A watch may replay an old version after a
gap, a store outage or a restart of the client. A stored version is therefore accepted only if it
is newer than the one in force and passes the same checks as ``ctl apply``.
"""

from eliot import log_message

from guavacleat.config.loader import check_raw
from guavacleat.config.model import Deployment
from guavacleat.store.messages import Revision, StoredObject

__all__ = ["ConfigHolder", "CONFIG_KIND"]

CONFIG_KIND = "config"


class ConfigHolder:
    """Holds ``(version, Deployment)``; counts accepted, stale and refused versions."""

    def __init__(self, deployment_name: str | None = None):
        self.deployment_name = deployment_name
        self.version = 0
        # First number seen in each era: the version restored from a backup of the store.
        self.restored_number_by_era: dict[int, int] = {}
        self.deployment: Deployment | None = None
        self.counts_by_outcome = {"accepted": 0, "stale": 0, "refused": 0}

    def _is_newer(self, version: int) -> bool:
        """Whether a stored version was written after the one in force.

        A store restored from a backup returns an older version in a later era. Versions written
        after the restore have a higher number than the restored one, but may have a lower one
        than the version in force.
        """
        offered, in_force = Revision(version), Revision(self.version)
        if not self.version or offered.era == in_force.era:
            return offered > in_force
        if offered.era < in_force.era:
            return False
        restored_number = self.restored_number_by_era.setdefault(offered.era, offered.number)
        return offered.number > restored_number or offered.number > in_force.number

    def offer(self, stored: StoredObject) -> bool:
        """Accept a stored configuration if it is newer and valid; return whether it was."""
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
