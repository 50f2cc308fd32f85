"""Engine memory kept free for the urgent generations of contended services.

Each gateway learns from the loads of the engines how much memory urgent generations use, and keeps
deferrable ones from taking that much. The loads are sampled when generations are placed.

An urgent generation needs room on one engine only. While enough engines have room for one,
deferrable generations may fill the others.
"""

import collections
import math
import statistics

from eliot import log_message

from guavacleat.membership.registry import EndpointRegistry
from guavacleat.placement.load import EndpointLoad, LoadTracker
from guavacleat.placement.memory_forecast import forecast_tokens

__all__ = ["MAX_RESERVES", "UrgentReserve", "UrgentReserves"]

# Minimum time between samples of a service. One sample costs about as much as a placement, and
# urgent generations run for some tenths of a second.
SAMPLE_INTERVAL_SECONDS = 0.25
# Time over which the use is observed: longer than the bursts of some 6 s that were seen.
WINDOW_SECONDS = 10.0
# Standard deviations above the mean use: covers all but a few percent of the peaks.
DEVIATIONS = 2.0
# Time constant of a falling reserve, so that it outlasts a pause between two bursts.
FALL_SECONDS = 10.0
# Largest reserve as a share of an engine's memory, so that deferrable generations always progress.
MAX_RESERVE_SHARE = 0.5
# Weight of the newest urgent generation in the mean size: some ten of them count.
SIZE_SMOOTHING = 0.1
# Engines with room for an urgent generation beyond those expected to be needed: between two
# samples, all gateways together start about as many deferrable generations.
SPARE_ENGINES = 3
# Change that is logged, as a share of an engine's memory.
LOGGED_SHARE = 0.1
# A falling reserve below this many tokens is 0; it would otherwise never get there.
MIN_RESERVE_TOKENS = 1.0
# Services with a reserve; far more than one gateway's configuration has.
MAX_RESERVES = 256


class UrgentReserve:
    """The memory kept on each engine of one service.

    :param name: of the service.
    :ivar tokens: the reserve in tokens per engine, at clock time ``updated_at``.
    :ivar sampled_at: clock time of the latest sample.
    :ivar needed: whether few engines have room for an urgent generation, so that it is kept.
    """

    __slots__ = (
        "name",
        "tokens",
        "updated_at",
        "sampled_at",
        "needed",
        "_samples",
        "_engines",
        "_memory_tokens",
        "_mean_size",
        "_reported_size",
        "_urgent_at",
        "_logged_tokens",
    )

    def __init__(self, name: str):
        self.name = name
        self.tokens = 0.0
        self.updated_at = self.sampled_at = float("-inf")
        self.needed = True
        # Clock times, and urgent tokens of all engines at that time; oldest first.
        self._samples: collections.deque[tuple[float, int]] = collections.deque()
        self._engines = 1
        self._memory_tokens = 0
        # Mean peak of an urgent generation in tokens; 0 while this gateway has placed none.
        self._mean_size = 0.0
        # Smallest use of an engine by urgent generations: most likely that of a single one.
        self._reported_size = 0
        self._urgent_at = float("-inf")
        self._logged_tokens = 0.0

    def sample(self, now: float, demand, loads: list[EndpointLoad]) -> None:
        """Record the use of memory by urgent generations.

        :param demand: the ``GenerationDemand`` that is being placed.
        :param loads: of each ready engine.
        """
        urgent_tokens = [load.urgent_tokens for load in loads]
        self.sampled_at = now
        self._engines = max(1, len(urgent_tokens))
        self._memory_tokens = demand.engine.memory_tokens
        self._samples.append((now, sum(urgent_tokens)))
        self._observe_size(demand, urgent_tokens)
        if not demand.deferrable or any(urgent_tokens):
            self._urgent_at = now
        self.update(now)
        self.needed = self._is_needed(now, sum(urgent_tokens), loads)

    def _is_needed(self, now: float, urgent_tokens: int, loads: list[EndpointLoad]) -> bool:
        """Whether urgent generations may soon find no engine with room."""
        size = max(1.0, self._size())
        expected = math.ceil(max(0.0, self._expected_use() - urgent_tokens) / size)
        free = (self._memory_tokens - forecast_tokens(load) for load in loads)
        return sum(tokens >= size for tokens in free) < expected + SPARE_ENGINES

    def _size(self) -> float:
        """Expected peak of an urgent generation, in tokens; 0 if unknown."""
        return self._mean_size or self._reported_size

    def _observe_size(self, demand, urgent_tokens: list[int]) -> None:
        self._reported_size = min(filter(None, urgent_tokens), default=self._reported_size)
        if not demand.deferrable:
            size = self._mean_size or demand.expected_tokens
            self._mean_size = size + SIZE_SMOOTHING * (demand.expected_tokens - size)

    def update(self, now: float) -> None:
        """Set ``tokens`` to the reserve at clock time ``now``; it rises at once, falls slowly."""
        while self._samples and self._samples[0][0] < now - WINDOW_SECONDS:
            self._samples.popleft()
        target = self._target(now)
        excess = max(0.0, self.tokens - target)
        if excess:
            excess *= math.exp((self.updated_at - now) / FALL_SECONDS)
        tokens = min(target + excess, MAX_RESERVE_SHARE * self._memory_tokens)
        self.tokens = tokens if tokens >= MIN_RESERVE_TOKENS else 0.0
        self.updated_at = now
        self._log_change()

    def _target(self, now: float) -> float:
        """Tokens per engine that urgent generations are expected to need."""
        if now - self._urgent_at > WINDOW_SECONDS:
            return 0.0
        target = max(self._expected_use() / self._engines, self._size())
        return min(target, MAX_RESERVE_SHARE * self._memory_tokens)

    def _expected_use(self) -> float:
        """Tokens on all engines that urgent generations seldom exceed."""
        uses = [float(tokens) for _, tokens in self._samples] or [0.0]
        return statistics.fmean(uses) + DEVIATIONS * statistics.pstdev(uses)

    def _log_change(self) -> None:
        if abs(self.tokens - self._logged_tokens) < max(1.0, LOGGED_SHARE * self._memory_tokens):
            return
        log_message(
            message_type="reserve:changed",
            service=self.name,
            tokens=round(self.tokens),
            previous=round(self._logged_tokens),
            engines=self._engines,
        )
        self._logged_tokens = self.tokens


class UrgentReserves:
    """The reserves of the services whose generations this gateway places.

    :param registry: has the engines of each service.
    :param load: has their loads and the clock.
    """

    def __init__(self, registry: EndpointRegistry, load: LoadTracker):
        self.registry = registry
        self.load = load
        # In the order of their latest samples, oldest first.
        self.reserves_by_service: dict[str, UrgentReserve] = {}

    def unused_tokens(self, service: str, demand, load: EndpointLoad) -> float:
        """Tokens of an engine with ``load`` that a contended ``demand`` has to leave free.

        What urgent runs use on the engine counts towards its reserve; urgent demands leave nothing.
        """
        reserve = self._sampled(service, demand)
        if not (demand.deferrable and reserve.needed):
            return 0.0
        return max(0.0, reserve.tokens - load.urgent_tokens)

    def tokens_by_service(self) -> dict[str, float]:
        """The present reserve of each service in tokens per engine."""
        now = self.load.clock.seconds()
        for reserve in self.reserves_by_service.values():
            reserve.update(now)
        return {name: reserve.tokens for name, reserve in self.reserves_by_service.items()}

    def _sampled(self, service: str, demand) -> UrgentReserve:
        """The service's reserve, with a sample of at most ``SAMPLE_INTERVAL_SECONDS`` ago."""
        now = self.load.clock.seconds()
        reserve = self.reserves_by_service.get(service)
        if reserve is not None and now - reserve.sampled_at < SAMPLE_INTERVAL_SECONDS:
            return reserve
        reserve = self.reserves_by_service.pop(service, None) or UrgentReserve(service)
        if len(self.reserves_by_service) >= MAX_RESERVES:
            del self.reserves_by_service[next(iter(self.reserves_by_service))]
        self.reserves_by_service[service] = reserve
        engines = self.registry.ready(service)
        reserve.sample(now, demand, [self.load.total(engine.id) for engine in engines])
        return reserve
