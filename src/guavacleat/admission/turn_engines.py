"""The engines of a service while waiting generations are assigned to them."""

from guavacleat.admission.fleet_order import Contender
from guavacleat.placement.turn_loads import TurnLoads

__all__ = ["TurnEngines"]

# Difference in cost up to which the engine of a request that arrives is drawn at random: other
# gateways may choose before they hear of it.
ARRIVAL_SPREAD_SECONDS = 0.1
# Engines that are compared for peers' contenders in one turn, summed over the contenders: some
# tens of milliseconds of work. With more engines or contenders, those that come later don't count.
MAX_PEER_COMPARISONS = 10_000


class TurnEngines:
    """The engines with their loads, for one call of :func:`~.fleet_order.assign`.

    The limits of this gateway (its shares of request rates, evacuations, regions, engines that a
    request has tried) apply to its own requests only.

    :param arriving: the :class:`~.fleet_entry.FleetEntry` of a request that arrives, whose engine
        is drawn at random among nearly equal ones; None if all have been waiting.
    """

    def __init__(self, placement, service: str, arriving=None):
        self.placement = placement
        self.loads = TurnLoads(placement.load)
        self.arriving = arriving
        self._ready = placement.ready_for_peers(service)
        # Throttled engines that got an own request: the next one needs another permission.
        self._used_ids: set[str] = set()
        # By regions and tried engines.
        self._available_by_limits: dict[tuple, list] = {}
        # Sizes of peers' contenders without room.
        self._without_room: set[tuple[bool, int, int]] = set()
        self._comparisons_left = MAX_PEER_COMPARISONS

    @property
    def engine_count(self) -> int:
        return len(self._ready)

    def place(self, contender: Contender, closed: set[str]):
        """The engine for the contender, whose load then contains it; None without room."""
        if self._is_surely_without_room(contender):
            return None
        entries = [entry for entry in self._usable(contender) if entry.id not in closed]
        if contender.entry is None:
            self._comparisons_left -= len(entries)
        spread = 0.0
        if self.arriving is not None and contender.entry is self.arriving:
            spread = ARRIVAL_SPREAD_SECONDS
        engine = self.placement.choose_for_waiting(entries, contender.demand, self.loads, spread)
        if engine is None:
            if contender.entry is None and not closed:
                self._without_room.add(_size(contender))
            return None
        self.loads.add(engine.id, contender.demand)
        if contender.entry is not None and self.placement.throttle.is_throttled(engine):
            self._used_ids.add(engine.id)
        return engine

    def usable_ids(self, contender: Contender) -> list[str]:
        """Ids of the engines that the contender may use, whether or not they have room."""
        return [entry.id for entry in self._usable(contender)]

    def _usable(self, contender: Contender) -> list:
        if contender.entry is None:
            return self._ready if self._comparisons_left > 0 else []
        request, tried = contender.entry.request, contender.entry.tried
        limits = (request.regions, tried)
        if limits not in self._available_by_limits:
            self._available_by_limits[limits] = self.placement.available_for(request, tried)
        available = self._available_by_limits[limits]
        return [entry for entry in available if entry.id not in self._used_ids]

    def _is_surely_without_room(self, contender: Contender) -> bool:
        """Whether no engine had room for a smaller one; loads only grow within a turn."""
        deferrable, prompt, expected = _size(contender)
        return any(
            deferrable == other and prompt >= least_prompt and expected >= least_expected
            for other, least_prompt, least_expected in self._without_room
        )


def _size(contender: Contender) -> tuple[bool, int, int]:
    """Whether it is deferrable, its prompt tokens and its expected tokens."""
    demand = contender.demand
    return demand.deferrable, demand.prompt_tokens, demand.expected_tokens
