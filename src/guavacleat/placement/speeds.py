"""How fast the engines of a service generate tokens, and what follows for placement.

Speeds only count while a service is uneven, that is while those of its engines differ clearly.
"""

import statistics

from eliot import log_message

from guavacleat.membership.entries import EndpointEntry
from guavacleat.placement.load import EndpointLoad, LoadTracker
from guavacleat.placement.token_times import (
    MICROS_PER_SECOND,
    WINDOW_SECONDS,
    is_plausible_timing,
)

__all__ = ["REFRESH_SECONDS", "EngineSpeeds", "ServiceSpeeds", "measured_speed"]

# A mean of fewer tokens varies too much with single prefills and late packets.
MIN_TIMED_TOKENS = 64
# A speed that is not measured any more loses half of its difference from the median in this time.
HALF_LIFE_SECONDS = 10.0
# Ratios of the slowest to the fastest quarter at which a service becomes uneven and even again.
# Smaller ones come from load: a step that also prefills takes up to twice as long as one that
# doesn't. The gap between the two avoids frequent changes.
UNEVEN_RATIO = 2.0
EVEN_RATIO = 1.6
# Bound of the ratio between an engine and the median, against wrong measurements; the largest seen
# between two engines is 2.4.
MAX_SLOWNESS = 4.0
# Cost per second that a generation takes longer than on the fastest engine: for that time it holds
# memory and is exposed to a leaving engine.
EXPOSURE_WEIGHT = 0.1
# Bound of that cost, in seconds: less than what the memory of an engine in use up to its usable
# share costs (0.46 s), so that slow engines get generations before fast ones are full.
MAX_RESIDENCE_COST_SECONDS = 0.3
# A handicap exceeds the largest difference in the cost of residence by this factor, so that it
# also decides against the fastest engine.
HANDICAP_FACTOR = 1.25
# Time between computations of the speeds of a service: they change over seconds, and placements
# are far more frequent.
REFRESH_SECONDS = 0.25


class EngineSpeed:
    """The last measured seconds per token of an engine, and the clock time of measurement."""

    __slots__ = ("seconds_per_token", "measured_at")

    def __init__(self, seconds_per_token: float, measured_at: float):
        self.seconds_per_token = seconds_per_token
        self.measured_at = measured_at


class ServiceSpeeds:
    """The speeds of the engines of one service.

    :ivar uneven: whether they differ enough to count in placement.
    :ivar ratio: the mean seconds per token of the slowest quarter over that of the fastest.
    :ivar median: median seconds per token; 0 while no speed is known.
    :ivar fastest: seconds per token of the fastest engine; likewise.
    :ivar slowest: seconds per token of the slowest engine; likewise.
    :ivar seconds_by_endpoint: the seconds per token that count now, faded to the median.
    """

    __slots__ = (
        "uneven",
        "ratio",
        "median",
        "fastest",
        "slowest",
        "seconds_by_endpoint",
        "speeds_by_endpoint",
        "refreshed_at",
    )

    def __init__(self):
        self.uneven = False
        self.ratio = 1.0
        self.median = 0.0
        self.fastest = 0.0
        self.slowest = 0.0
        self.seconds_by_endpoint: dict[str, float] = {}
        self.speeds_by_endpoint: dict[str, EngineSpeed] = {}
        self.refreshed_at = float("-inf")

    def refresh(self, now: float, measured_by_endpoint: dict[str, float | None]) -> None:
        """Apply the measured seconds per token of all engines that may have a speed.

        The last speed of an engine with None is kept; engines that are missing are forgotten.
        """
        previous_speeds = self.speeds_by_endpoint
        self.refreshed_at = now
        self.speeds_by_endpoint = {
            id: previous_speeds[id] if seconds is None else EngineSpeed(seconds, now)
            for id, seconds in measured_by_endpoint.items()
            if seconds is not None or id in previous_speeds
        }
        speeds = self.speeds_by_endpoint
        if speeds:
            self.median = statistics.median(speed.seconds_per_token for speed in speeds.values())
        self.seconds_by_endpoint = {id: self._fade(speed, now) for id, speed in speeds.items()}
        seconds = sorted(self.seconds_by_endpoint.values())
        self.fastest, self.slowest = (seconds[0], seconds[-1]) if seconds else (0.0, 0.0)
        self.ratio = _quarter_ratio(seconds)
        self.uneven = self.ratio >= (EVEN_RATIO if self.uneven else UNEVEN_RATIO)

    def slowness(self, endpoint_id: str) -> float:
        """Seconds per token of an engine over the median; 1 if its speed is unknown."""
        seconds = self.seconds_by_endpoint.get(endpoint_id)
        if seconds is None:
            return 1.0
        return min(MAX_SLOWNESS, max(1 / MAX_SLOWNESS, seconds / self.median))

    def residence_cost(self, endpoint_id: str, output_tokens: int) -> float:
        """Cost, in seconds, of generating the tokens there instead of on the fastest engine."""
        return self._cost_of(self.seconds_by_endpoint.get(endpoint_id, self.median), output_tokens)

    def handicap(self, output_tokens: int) -> float:
        """Cost, in seconds, that makes any engine more expensive than speed makes the slowest."""
        return HANDICAP_FACTOR * self._cost_of(self.slowest, output_tokens)

    def _cost_of(self, seconds_per_token: float, output_tokens: int) -> float:
        extra_seconds = output_tokens * (seconds_per_token - self.fastest)
        return min(MAX_RESIDENCE_COST_SECONDS, EXPOSURE_WEIGHT * extra_seconds)

    def _fade(self, speed: EngineSpeed, now: float) -> float:
        weight = 0.5 ** ((now - speed.measured_at) / HALF_LIFE_SECONDS)
        return self.median + weight * (speed.seconds_per_token - self.median)


def measured_speed(load: EndpointLoad) -> float | None:
    """Seconds per token from the timed tokens of ``load``; None if too few or out of bounds."""
    tokens, micros = load.timed_tokens, load.timed_micros
    if tokens < MIN_TIMED_TOKENS or not is_plausible_timing(tokens, micros):
        return None
    return micros / MICROS_PER_SECOND / tokens


def _quarter_ratio(seconds: list[float]) -> float:
    """The mean of the largest quarter of sorted numbers over that of the smallest."""
    if not seconds:
        return 1.0
    quarter = max(1, len(seconds) // 4)
    return statistics.fmean(seconds[-quarter:]) / statistics.fmean(seconds[:quarter])


class EngineSpeeds:
    """The speeds of all services with engines, computed when they are used.

    :param ready: returns the entries of a service that take new requests.
    :param is_cold: whether an engine is cold; such a one has no speed.
    """

    def __init__(self, load: LoadTracker, ready, is_cold=lambda entry: False):
        self.load = load
        self.ready = ready
        self.is_cold = is_cold
        self.speeds_by_service: dict[str, ServiceSpeeds] = {}

    def slowness(self, entry: EndpointEntry) -> float:
        """How many times as long as the median engine it takes; 1 if the service is even."""
        speeds = self._current(entry.service)
        return speeds.slowness(entry.id) if speeds.uneven else 1.0

    def residence_cost(self, entry: EndpointEntry, output_tokens: int) -> float:
        """Cost, in seconds, of the expected residence; 0 if the service is even."""
        speeds = self._current(entry.service)
        return speeds.residence_cost(entry.id, output_tokens) if speeds.uneven else 0.0

    def handicap(self, entry: EndpointEntry, output_tokens: int) -> float:
        """Cost, in seconds, for engines drawn at random; 0 if the service is even."""
        speeds = self._current(entry.service)
        return speeds.handicap(output_tokens) if speeds.uneven else 0.0

    def relative_speeds(self) -> dict[str, float]:
        """The speed of each engine over the median, whether or not its service is uneven."""
        current = map(self._current, list(self.speeds_by_service))
        return {
            id: 1 / speeds.slowness(id) for speeds in current for id in speeds.seconds_by_endpoint
        }

    def _current(self, service: str) -> ServiceSpeeds:
        speeds = self.speeds_by_service.get(service)
        if speeds is None:
            speeds = self.speeds_by_service[service] = ServiceSpeeds()
        now = self.load.clock.seconds()
        if now - speeds.refreshed_at >= REFRESH_SECONDS:
            was_uneven = speeds.uneven
            speeds.refresh(now, self._measure(service))
            if speeds.uneven is not was_uneven:
                _log_change(service, speeds)
        return speeds

    def _measure(self, service: str) -> dict[str, float | None]:
        """The measured speeds by engine, without those that have no speed."""
        return {
            entry.id: self._measure_engine(entry)
            for entry in self.ready(service)
            if not self.load.token_times.recently_forgotten(entry.id) and not self.is_cold(entry)
        }

    def _measure_engine(self, entry: EndpointEntry) -> float | None:
        """The seconds per token from all gateways; from this one if the peers' are too large."""
        load = self.load.total(entry.id)
        # Twice what its slots allow: runs end and reports are late within the time of the sums.
        most_seconds = 2 * max(1, entry.slots) * WINDOW_SECONDS
        if load.timed_micros > most_seconds * MICROS_PER_SECOND:
            load = self.load.local(entry.id)
        return measured_speed(load)


def _log_change(service: str, speeds: ServiceSpeeds) -> None:
    log_message(
        message_type="engines:uneven" if speeds.uneven else "engines:even",
        service=service,
        ratio=round(speeds.ratio, 2),
        engines=len(speeds.seconds_by_endpoint),
        median=round(speeds.median, 5),
    )
