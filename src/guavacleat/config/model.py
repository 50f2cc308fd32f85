"""Data classes for the validated settings of one deployment."""

__all__ = [
    "ClientAccount",
    "Deployment",
    "Endpoint",
    "Limits",
    "PriorityClass",
    "Service",
    "URGENT_PRIORITY",
]

# The highest priority; only its requests may use the reserved part of engine memory.
URGENT_PRIORITY = 0


class PriorityClass:
    """A named class of requests; engines serve a lower ``priority`` first."""

    __slots__ = ("name", "priority")

    def __init__(self, name: str, priority: int):
        self.name = name
        self.priority = priority


class Service:
    """A back end that callers address by name: model engines or a plain service.

    ``repeatable`` is false for services whose calls may run at most once; such calls need an
    idempotency key.
    """

    __slots__ = ("name", "kind", "models", "repeatable")

    def __init__(self, name: str, kind: str, models: tuple[str, ...], repeatable: bool):
        self.name = name
        self.kind = kind
        self.models = models
        self.repeatable = repeatable


class ClientAccount:
    """A client account; ``weight`` is its share of tokens when engines are full."""

    __slots__ = ("name", "weight")

    def __init__(self, name: str, weight: int):
        self.name = name
        self.weight = weight


class Endpoint:
    """An engine or service replica that the deployment expects."""

    __slots__ = ("name", "service", "data_centre")

    def __init__(self, name: str, service: str, data_centre: str):
        self.name = name
        self.service = service
        self.data_centre = data_centre


class Limits:
    """Admission limits of one gateway.

    :param queue_per_account: queued requests per client account; more are refused as not run.
    :param in_flight_per_endpoint: concurrent generations of one gateway on one endpoint.
    :param retry_after: minimum retry delay sent with a refusal, in seconds.
    :param max_wait: seconds; a request with a longer expected queueing time is refused at once.
    """

    __slots__ = ("queue_per_account", "in_flight_per_endpoint", "retry_after", "max_wait")

    def __init__(
        self,
        queue_per_account: int,
        in_flight_per_endpoint: int,
        retry_after: float,
        max_wait: float = 10.0,
    ):
        self.queue_per_account = queue_per_account
        self.in_flight_per_endpoint = in_flight_per_endpoint
        self.retry_after = retry_after
        self.max_wait = max_wait


class Deployment:
    """The settings of one deployment; every collection is keyed by name."""

    __slots__ = (
        "name",
        "data_centres",
        "priority_classes_by_name",
        "services_by_name",
        "client_accounts_by_name",
        "endpoints_by_name",
        "limits",
    )

    def __init__(
        self,
        name: str,
        data_centres: tuple[str, ...],
        priority_classes_by_name: dict[str, PriorityClass],
        services_by_name: dict[str, Service],
        client_accounts_by_name: dict[str, ClientAccount],
        endpoints_by_name: dict[str, Endpoint],
        limits: Limits,
    ):
        self.name = name
        self.data_centres = data_centres
        self.priority_classes_by_name = priority_classes_by_name
        self.services_by_name = services_by_name
        self.client_accounts_by_name = client_accounts_by_name
        self.endpoints_by_name = endpoints_by_name
        self.limits = limits
