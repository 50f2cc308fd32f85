"""Where a generation may start, and what it costs there."""

from guavacleat.membership.entries import EndpointEntry
from guavacleat.placement.load import EndpointLoad
from guavacleat.placement.memory_forecast import forecast_tokens
from guavacleat.placement.prefill import PREFILL_TOKENS_PER_SECOND
from guavacleat.placement.reserve import UrgentReserves
from guavacleat.placement.speeds import EngineSpeeds
from guavacleat.routes import EngineTraits

__all__ = ["USABLE_MEMORY_SHARE", "EngineChooser", "GenerationDemand", "memory_share"]

# Cost of full engine memory, rising linearly from 0 at ``USABLE_MEMORY_SHARE``: a further run
# waits for another to end or is preempted.
MEMORY_PRESSURE_SECONDS = 6.0
# Cost of each batch slot in use, because every running generation slows the engine's steps by
# some 2 %.
SLOT_SECONDS = 0.02
# Cost per share of memory in use, so that the memory of all engines fills evenly: the runs of a
# reclaimed engine have to be moved within a second or two.
MEMORY_SPREAD_SECONDS = 0.5
# Memory share above which an engine counts as full, as outputs may exceed their expected length.
USABLE_MEMORY_SHARE = 0.92
# Memory share up to which generations are started. Beyond it the engine preempts the newest.
MAX_MEMORY_SHARE = 1.0
# Maximum prompt tokens awaiting prefill on an engine that gets another request: enough to keep the
# engine busy, with few requests lost if it leaves. It applies to an engine of median speed; others
# get what they prefill in the same time.
MAX_PENDING_PREFILL_TOKENS = 2000


class GenerationDemand:
    """What a generation needs of an engine.

    :param expected_tokens: engine memory that it is expected to hold at its end.
    :param prompt_tokens: tokens to prefill before its first event.
    :param contended: whether requests of different urgency compete for the engines.
    :param deferrable: whether it may wait for the more urgent ones.
    """

    __slots__ = ("engine", "expected_tokens", "prompt_tokens", "contended", "deferrable")

    def __init__(
        self,
        engine: EngineTraits,
        expected_tokens: int,
        prompt_tokens: int,
        contended: bool = False,
        deferrable: bool = False,
    ):
        self.engine = engine
        self.expected_tokens = expected_tokens
        self.prompt_tokens = prompt_tokens
        self.contended = contended
        self.deferrable = deferrable

    @property
    def output_tokens(self) -> int:
        """Tokens that it is expected to generate."""
        return max(0, self.expected_tokens - self.prompt_tokens)

    @classmethod
    def of(cls, request, expected_tokens: int | None = None) -> "GenerationDemand":
        """The demand of a ``ForwardedRequest``; ``expected_tokens`` if it has output already."""
        return cls(
            request.traits.engine,
            request.expected_tokens() if expected_tokens is None else expected_tokens,
            request.prompt_tokens,
            request.traits.contention is not None,
            request.deferrable,
        )


class EngineChooser:
    """Decides which engines may start a generation, and how they compare.

    The load is passed by the caller, who may have added generations that are about to start.

    :param reserves: the memory kept for urgent generations, by service.
    :param speeds: the speeds of the engines, which count only while their service is uneven.
    """

    def __init__(self, reserves: UrgentReserves, speeds: EngineSpeeds):
        self.reserves = reserves
        self.speeds = speeds

    def has_room(self, entry: EndpointEntry, demand: GenerationDemand, load: EndpointLoad) -> bool:
        """Whether the engine may start a run; an idle one may, even if its memory is too small."""
        if load.runs == 0:
            return True
        return (
            load.pending_prefill_tokens * self.speeds.slowness(entry) <= MAX_PENDING_PREFILL_TOKENS
            and load.runs < demand.engine.slots
            and demand_share(demand, load) <= self._usable_share(entry, demand, load)
        )

    def _usable_share(
        self, entry: EndpointEntry, demand: GenerationDemand, load: EndpointLoad
    ) -> float:
        """Share of the engine's memory that the demand and the present runs may take."""
        if not demand.contended:
            return MAX_MEMORY_SHARE
        reserved = self.reserves.unused_tokens(entry.service, demand, load)
        return MAX_MEMORY_SHARE - reserved / max(1, demand.engine.memory_tokens)

    def has_room_for_move(self, demand: GenerationDemand, load: EndpointLoad) -> bool:
        """Whether a run can move to the engine and go on there at once.

        The reserve does not apply: a run that has begun is lost if it finds no target.
        """
        if demand.contended and load.runs >= demand.engine.slots:
            return False
        return demand_share(demand, load) <= USABLE_MEMORY_SHARE

    def cost(self, entry: EndpointEntry, demand: GenerationDemand, load: EndpointLoad) -> float:
        """Cost of another run in seconds."""
        share = demand_share(demand, load)
        return (
            load.pending_prefill_tokens / PREFILL_TOKENS_PER_SECOND * self.speeds.slowness(entry)
            + MEMORY_PRESSURE_SECONDS
            * max(0.0, share - USABLE_MEMORY_SHARE)
            / (1 - USABLE_MEMORY_SHARE)
            + SLOT_SECONDS * load.runs
            + MEMORY_SPREAD_SECONDS * share
            + self.speeds.residence_cost(entry, demand.output_tokens)
        )


def demand_share(demand: GenerationDemand, load: EndpointLoad) -> float:
    """Share of the engine's memory needed with the demand; a forecast if it is contended."""
    if not demand.contended:
        return memory_share(load, demand.expected_tokens, demand.engine)
    needed = forecast_tokens(load) + demand.expected_tokens
    return needed / max(1, demand.engine.memory_tokens)


def memory_share(load: EndpointLoad, expected: int, engine: EngineTraits) -> float:
    """Share of the engine's memory in use with ``expected`` additional tokens."""
    return (load.peak_tokens + expected) / max(1, engine.memory_tokens)
