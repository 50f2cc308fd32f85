"""The loads of engines while several generations are assigned at once."""

from guavacleat.placement.load import EndpointLoad

__all__ = ["TurnLoads"]


class TurnLoads:
    """Loads of engines, with generations that have been assigned but aren't in the tracker yet.

    Loads are read from the tracker once: an object of this class is used for one turn only.

    :param load: the :class:`~.load.LoadTracker`.
    """

    __slots__ = ("load", "peer_loads", "loads_by_endpoint")

    def __init__(self, load):
        self.load = load
        self.peer_loads = load.peer_totals()
        self.loads_by_endpoint: dict[str, EndpointLoad] = {}

    def total(self, endpoint_id: str) -> EndpointLoad:
        """The load of all known runs and of the assigned generations."""
        total = self.loads_by_endpoint.get(endpoint_id)
        if total is None:
            total = self.loads_by_endpoint[endpoint_id] = self.load.local(endpoint_id)
            if endpoint_id in self.peer_loads:
                total.add(self.peer_loads[endpoint_id])
        return total

    def add(self, endpoint_id: str, demand) -> None:
        """Add a generation with the :class:`~.engine_choice.GenerationDemand` ``demand``."""
        urgent = demand.contended and not demand.deferrable
        self.total(endpoint_id).add(
            EndpointLoad(
                1,
                demand.expected_tokens,
                demand.prompt_tokens,
                demand.prompt_tokens,
                demand.expected_tokens if urgent else 0,
            )
        )
