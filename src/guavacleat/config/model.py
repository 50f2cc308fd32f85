"""Plain classes for one deployment's settings, as accepted after checking."""

__all__ = [
    "ClientAccount",
    "Deployment",
    "Endpoint",
    "Limits",
    "PriorityClass",
    "Service",
    "URGENT_PRIORITY",
]

# The most urgent priority. Its requests may use the engine memory that is kept free from others.
URGENT_PRIORITY = 0


class PriorityClass:
    """A named class of requests; a lower ``priority`` is served first by engines."""

    __slots__ = ("name", "priority")

    def __init__(self, name: str, priority: int):
        self.name = name
        self.priority = priority


class Service:
    """A back end callers address by name: model engines or a plain service.

    ``repeatable`` is false for services whose calls may run at most once (connection records,
    slot confirmations); such calls need an idempotency key.
    """

    __slots__ = ("name", "kind", "models", "repeatable")

    def __init__(self, name: str, kind: str, models: tuple[str, ...], repeatable: bool):
        self.name = name
        self.kind = kind
        self.models = models
        self.repeatable = repeatable


class ClientAccount:
    """A paying client; ``weight`` is its share of tokens when engines are full."""

    __slots__ = ("name", "weight")

    def __init__(self, name: str, weight: int):
        self.name = name
        self.weight = weight


class Endpoint:
    """One engine or service instance that the deployment expects, by name."""

    __slots__ = ("name", "service", "data_centre")

    def __init__(self, name: str, service: str, data_centre: str):
        self.name = name
        self.service = service
        self.data_centre = data_centre


class Limits:
    """Admission bounds for one gateway.

    :param queue_per_account: waiting requests per client account before refusing as not run.
    :param in_flight_per_endpoint: generations one gateway keeps running on one endpoint.
    :param retry_after: seconds a refused caller is told to wait, at least.
    :param max_wait: seconds a request may expect to wait for an endpoint; one that would wait
        longer is refused at once.
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
    """One deployment's whole settings; every collection is keyed by name."""

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
