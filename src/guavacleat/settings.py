"""Settings of one gateway process: addresses, resource limits and time bounds."""

__all__ = ["Bounds", "ProcessSettings", "ResourceLimits"]


class ResourceLimits:
    """``memory_bytes`` and ``descriptors`` that the process may use.

    :param link_bytes_per_second: bandwidth of the instance's link; None if unknown.
    """

    __slots__ = ("memory_bytes", "descriptors", "link_bytes_per_second")

    def __init__(
        self,
        memory_bytes: int = 150 << 20,
        descriptors: int = 1024,
        link_bytes_per_second: float | None = None,
    ):
        self.memory_bytes = memory_bytes
        self.descriptors = descriptors
        self.link_bytes_per_second = link_bytes_per_second


class Bounds:
    """Bounds set by the operators; times are in seconds.

    :param drain: time in which a draining endpoint may still receive new requests.
    :param stop_grace: time from SIGTERM until the process is killed.
    :param config_apply: time in which a stored configuration must be in force.
    :param retry_ratio: retries allowed per request, over all gateways.
    :param retry_extra: retries allowed per ``retry_window`` in addition.
    :param retry_window: sliding window over which retries are counted.
    :param prefix_reuse: time in which a shared prompt prefix should be prefilled only once.
    :param cold_overshoot: factor by which the rate of requests to a cold endpoint may be exceeded.
    :param cold_slack: requests that a cold endpoint may get within a second in addition.
    :param heartbeat: interval at which endpoints write their entries.
    """

    __slots__ = (
        "drain",
        "stop_grace",
        "config_apply",
        "retry_ratio",
        "retry_extra",
        "retry_window",
        "prefix_reuse",
        "cold_overshoot",
        "cold_slack",
        "heartbeat",
    )

    def __init__(
        self,
        drain=2.0,
        stop_grace=8.0,
        config_apply=2.0,
        retry_ratio=0.2,
        retry_extra=10.0,
        retry_window=10.0,
        prefix_reuse=4.0,
        cold_overshoot=1.5,
        cold_slack=5.0,
        heartbeat=1.2,
    ):
        self.drain = drain
        self.stop_grace = stop_grace
        self.config_apply = config_apply
        self.retry_ratio = retry_ratio
        self.retry_extra = retry_extra
        self.retry_window = retry_window
        self.prefix_reuse = prefix_reuse
        self.cold_overshoot = cold_overshoot
        self.cold_slack = cold_slack
        self.heartbeat = heartbeat


class ProcessSettings:
    """Settings of one gateway process; addresses are ``(ip, port)``.

    :param instance: name of the instance it runs on, unique in the deployment.
    :param caller_address: accepts callers' connections.
    :param readiness_address: serves the balancer's readiness check.
    :param peer_ports: ports open between the processes of the deployment.
    :param regions_by_data_centre: region of each data centre of the deployment; empty if unknown.
    """

    __slots__ = (
        "instance",
        "ip",
        "data_centre",
        "caller_address",
        "readiness_address",
        "peer_ports",
        "store_address",
        "limits",
        "bounds",
        "regions_by_data_centre",
    )

    def __init__(
        self,
        instance: str,
        ip: str,
        data_centre: str,
        caller_address: tuple[str, int],
        readiness_address: tuple[str, int],
        peer_ports: range = range(0),
        store_address: tuple[str, int] | None = None,
        limits: ResourceLimits | None = None,
        bounds: Bounds | None = None,
        regions_by_data_centre: dict[str, str] | None = None,
    ):
        self.instance = instance
        self.ip = ip
        self.data_centre = data_centre
        self.caller_address = caller_address
        self.readiness_address = readiness_address
        self.peer_ports = peer_ports
        self.store_address = store_address
        self.limits = limits or ResourceLimits()
        self.bounds = bounds or Bounds()
        self.regions_by_data_centre = regions_by_data_centre or {}
