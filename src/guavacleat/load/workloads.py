"""Seeded workloads that model the traffic of two deployments.

A workload yields the same time-ordered list of :class:`Arrival` for every policy. Output lengths
are unknown to gateways and sidecars. Accounts' demand deliberately differs from their weights: one
large account requests far more than its share.
"""

import itertools
import random

__all__ = [
    "Arrival",
    "RequestKind",
    "WORKLOADS_BY_NAME",
    "Workload",
    "arrivals",
    "services_by_endpoint",
]


class RequestKind:
    """One kind of request.

    :param rate: requests per second outside the surge, over all accounts.
    :param shared_tokens: length of the prompt prefix shared by requests on the same subject.
    :param subjects: number of subjects.
    :param unique_tokens: length of the rest of the prompt.
    :param repeatable: false if a request of this kind may run at most once.
    :param median: median output length in tokens; lengths are log-normal with ``sigma``.
    """

    __slots__ = (
        "name",
        "service",
        "priority_class",
        "priority",
        "rate",
        "shared_tokens",
        "subjects",
        "unique_tokens",
        "median",
        "sigma",
        "max_tokens",
        "repeatable",
    )

    def __init__(
        self,
        name,
        service,
        priority_class,
        priority,
        rate,
        shared_tokens,
        subjects,
        unique_tokens,
        median,
        sigma,
        max_tokens,
        repeatable=True,
    ):
        self.name = name
        self.service = service
        self.priority_class = priority_class
        self.priority = priority
        self.rate = rate
        self.shared_tokens = shared_tokens
        self.subjects = subjects
        self.unique_tokens = unique_tokens
        self.median = median
        self.sigma = sigma
        self.max_tokens = max_tokens
        self.repeatable = repeatable


class Workload:
    """A deployment's request kinds, accounts with weight and demand, engines, and load surge.

    :param demand_by_account: relative request rate of each account.
    :param endpoints_by_service: number of engines of each service.
    :param surge: ``(start, end, factor)``: a factor on all rates, with times as shares of the run.
    """

    __slots__ = (
        "kinds",
        "weights_by_account",
        "demand_by_account",
        "endpoints_by_service",
        "surge",
    )

    def __init__(self, kinds, weights_by_account, demand_by_account, endpoints_by_service, surge):
        self.kinds = kinds
        self.weights_by_account = weights_by_account
        self.demand_by_account = demand_by_account
        self.endpoints_by_service = endpoints_by_service
        self.surge = surge


class Arrival:
    """One request of a run; only the stand-in engine knows ``length``."""

    __slots__ = ("at", "request_id", "kind", "account", "prompt", "length")

    def __init__(
        self, at: float, request_id: str, kind: RequestKind, account: str, prompt, length: int
    ):
        self.at = at
        self.request_id = request_id
        self.kind = kind
        self.account = account
        self.prompt = prompt
        self.length = length


LARGE = {"large-1": 8, "large-2": 6, "large-3": 5}
SMALL = {f"small-{n}": 1 for n in range(1, 8)}
WEIGHTS = {**LARGE, **SMALL}
# large-1 requests half of the total with a weight of 8 out of 26.
DEMAND = {"large-1": 26, "large-2": 9, "large-3": 7, **{name: 1.5 for name in SMALL}}

# Every account requests at least its share of a saturated system, large-1 three times its share.
CONTENDED = {**WEIGHTS, "large-1": 24}

WORKLOADS_BY_NAME = {
    "nile": Workload(
        kinds=(
            RequestKind(
                "listing-summary", "enquiry-lm", "standard", 5, 1.2, 1504, 40, 1500, 500, 0.9, 4000
            ),
            RequestKind(
                "intent-tag", "enquiry-lm", "interactive", 0, 4.0, 352, 10, 600, 12, 0.4, 64
            ),
        ),
        weights_by_account=WEIGHTS,
        demand_by_account=DEMAND,
        endpoints_by_service={"enquiry-lm": 6},
        surge=(0.25, 0.6, 2.5),
    ),
    "contended": Workload(
        kinds=(
            RequestKind("summary", "enquiry-lm", "standard", 5, 3.0, 1504, 40, 500, 400, 0.9, 2000),
            RequestKind(
                "intent-tag", "enquiry-lm", "interactive", 0, 4.0, 352, 10, 600, 12, 0.4, 64
            ),
        ),
        weights_by_account=WEIGHTS,
        demand_by_account=CONTENDED,
        endpoints_by_service={"enquiry-lm": 4},
        surge=(0.0, 0.0, 1.0),
    ),
    "keurplan": Workload(
        kinds=(
            RequestKind(
                "prep-summary", "keur-llm", "standard", 5, 1.2, 2000, 60, 1000, 700, 1.0, 4000
            ),
            RequestKind("slot-check", "keur-llm", "interactive", 0, 3.0, 352, 10, 500, 12, 0.4, 64),
            RequestKind("reminder-text", "keur-llm", "batch", 10, 1.5, 160, 4, 200, 80, 0.5, 400),
        ),
        weights_by_account=WEIGHTS,
        demand_by_account=DEMAND,
        endpoints_by_service={"keur-llm": 7},
        surge=(0.25, 0.6, 2.5),
    ),
}


def services_by_endpoint(workload: Workload) -> dict[str, str]:
    """Service names by endpoint name."""
    return {
        f"{service}-{n}": service
        for service, count in workload.endpoints_by_service.items()
        for n in range(1, count + 1)
    }


def arrivals(workload: Workload, seconds: float, seed: int, load: float = 1.0) -> list[Arrival]:
    """Return the requests of a run of ``seconds``, drawn from ``seed``; ``load`` scales rates."""
    by_kind = [
        _arrivals_of(workload, kind, seconds, random.Random(f"{seed}/{kind.name}"), load)
        for kind in workload.kinds
    ]
    return sorted(itertools.chain.from_iterable(by_kind), key=lambda arrival: arrival.at)


def _arrivals_of(workload: Workload, kind: RequestKind, seconds: float, rng, load: float):
    accounts = list(workload.demand_by_account)
    demand = list(workload.demand_by_account.values())
    at = 0.0
    for number in itertools.count(1):
        at += rng.expovariate(kind.rate * load * _surge_factor(workload, at / seconds))
        if at >= seconds:
            return
        account = rng.choices(accounts, demand)[0]
        subject = rng.randrange(kind.subjects)
        length = int(rng.lognormvariate(0, kind.sigma) * kind.median)
        yield Arrival(
            at,
            f"{kind.name}-{number}",
            kind,
            account,
            _prompt(kind, subject, number),
            max(1, min(kind.max_tokens, length)),
        )


def _surge_factor(workload: Workload, share: float) -> float:
    start, end, factor = workload.surge
    return factor if start <= share < end else 1.0


def _prompt(kind: RequestKind, subject: int, number: int) -> str:
    shared_tokens = (f"{kind.name}-{subject}-{n}" for n in range(kind.shared_tokens))
    unique_tokens = (f"{number}-{n}" for n in range(kind.unique_tokens))
    return " ".join(itertools.chain(shared_tokens, unique_tokens))
