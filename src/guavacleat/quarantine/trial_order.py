"""Which gateway tries a quarantined part first.

The refusal of a part ends at all gateways at the same time. Trials at several of them would crash
as many endpoints before a report of the first trial arrives.
"""

from guavacleat.rendezvous import select_members, weight

__all__ = ["TrialOrder", "TrialSpread"]

# Longer than a report of a trial takes to the gateways of other data centres.
TRIAL_INTERVAL_SECONDS = 0.5
# Gateways that don't know each other try a part within this time.
TRIAL_SPREAD_SECONDS = 10.0


class TrialOrder:
    """Ranks the gateways by rendezvous hashing, in another order for each part.

    :param gateways: the other gateways, with ``data_centres()`` and ``local_gateways()``, see
        :class:`~guavacleat.throttling.ShareRule`.
    """

    def __init__(self, instance: str, data_centre: str, gateways):
        self.instance = instance
        self.data_centre = data_centre
        self.gateways = gateways

    def delay(self, fingerprint: int) -> float:
        """Seconds that this gateway waits for those before it to try the part."""
        task = f"trial {fingerprint}"
        local = self.gateways.local_gateways()
        data_centre_rank = _rank(self.data_centre, self.gateways.data_centres(), task)
        rank = data_centre_rank * len(local) + _rank(self.instance, local, task)
        return rank * TRIAL_INTERVAL_SECONDS


class TrialSpread:
    """Spreads the trials of gateways that don't know each other.

    :param instance: a name that differs between gateways.
    """

    def __init__(self, instance: str):
        self.instance = instance

    def delay(self, fingerprint: int) -> float:
        """Seconds that this gateway waits longer than the refusal of the part holds."""
        drawn = weight(self.instance, f"trial {fingerprint}")
        return TRIAL_SPREAD_SECONDS * int.from_bytes(drawn, "big") / 256 ** len(drawn)


def _rank(member: str, members, task: str) -> int:
    """How many of the members come before this one."""
    members = {member, *members}
    return select_members(members, task, len(members)).index(member)
