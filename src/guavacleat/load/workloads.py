"""Seeded workloads shaped like the two deployments, with output lengths unknown to the system.

A workload is a list of :class:`Arrival` in order of time, the same for every policy. Kinds of
request, their rates and the accounts' demand are in :data:`WORKLOADS_BY_NAME`. Demand is skewed
against the accounts' weights on purpose: one large account asks for far more than its share.
"""

import itertools
import random

__all__ = ["Arrival", "Kind", "WORKLOADS_BY_NAME", "Workload", "arrivals", "services_by_endpoint"]


class Kind:
    """One kind of request.

    :param rate: requests a second before the surge, over all accounts.
    :param shared: tokens of a prompt's start that requests about the same subject share.
    :param subjects: how many subjects there are.
    :param own: tokens of a prompt that are its own.
    :param repeatable: false if a request of this kind may run at most once.
    :param median: median output length in tokens; lengths are log-normal with ``sigma``.
    """

    __slots__ = (
        "name",
        "service",
        "priority_class",
        "priority",
        "rate",
        "shared",
        "subjects",
        "own",
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
        shared,
        subjects,
        own,
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
        self.shared = shared
        self.subjects = subjects
        self.own = own
        self.median = median
        self.sigma = sigma
        self.max_tokens = max_tokens
        self.repeatable = repeatable


class Workload:
    """A deployment's traffic: kinds, accounts with weight and demand, engines, and the surge.

    :param demand_by_account: relative request rate of each account.
    :param endpoints_by_service: number of engines of each service.
    :param surge: ``(from, to, factor)``, the times as shares of the run.
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
    """One request of a run; ``length`` is known to the engine stand-in alone."""

    __slots__ = ("at", "request_id", "kind", "account", "prompt", "length")

    def __init__(self, at: float, request_id: str, kind: Kind, account: str, prompt, length: int):
        self.at = at
        self.request_id = request_id
        self.kind = kind
        self.account = account
        self.prompt = prompt
        self.length = length


LARGE = {"large-1": 8, "large-2": 6, "large-3": 5}
SMALL = {f"small-{n}": 1 for n in range(1, 8)}
WEIGHTS = {**LARGE, **SMALL}
# large-1 asks for half of everything, though its weight is 8 of 26.
DEMAND = {"large-1": 26, "large-2": 9, "large-3": 7, **{name: 1.5 for name in SMALL}}

# Every account asks for at least its share of a full system, large-1 for three times as much.
CONTENDED = {**WEIGHTS, "large-1": 24}

WORKLOADS_BY_NAME = {
    "nile": Workload(
        kinds=(
            Kind(
                "listing-summary", "enquiry-lm", "standard", 5, 1.2, 1504, 40, 1500, 500, 0.9, 4000
            ),
            Kind("intent-tag", "enquiry-lm", "interactive", 0, 4.0, 352, 10, 600, 12, 0.4, 64),
        ),
        weights_by_account=WEIGHTS,
        demand_by_account=DEMAND,
        endpoints_by_service={"enquiry-lm": 6},
        surge=(0.25, 0.6, 2.5),
    ),
    "contended": Workload(
        kinds=(
            Kind("summary", "enquiry-lm", "standard", 5, 3.0, 1504, 40, 500, 400, 0.9, 2000),
            Kind("intent-tag", "enquiry-lm", "interactive", 0, 4.0, 352, 10, 600, 12, 0.4, 64),
        ),
        weights_by_account=WEIGHTS,
        demand_by_account=CONTENDED,
        endpoints_by_service={"enquiry-lm": 4},
        surge=(0.0, 0.0, 1.0),
    ),
    "keurplan": Workload(
        kinds=(
            Kind("prep-summary", "keur-llm", "standard", 5, 1.2, 2000, 60, 1000, 700, 1.0, 4000),
            Kind("slot-check", "keur-llm", "interactive", 0, 3.0, 352, 10, 500, 12, 0.4, 64),
            Kind("reminder-text", "keur-llm", "batch", 10, 1.5, 160, 4, 200, 80, 0.5, 400),
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
    """Every request of a run of ``seconds``, drawn from ``seed``; ``load`` scales all rates."""
    by_kind = [
        _arrivals_of(workload, kind, seconds, random.Random(f"{seed}/{kind.name}"), load)
        for kind in workload.kinds
    ]
    return sorted(itertools.chain.from_iterable(by_kind), key=lambda arrival: arrival.at)


def _arrivals_of(workload: Workload, kind: Kind, seconds: float, rng, load: float):
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


def _prompt(kind: Kind, subject: int, number: int) -> str:
    shared = (f"{kind.name}-{subject}-{n}" for n in range(kind.shared))
    own = (f"{number}-{n}" for n in range(kind.own))
    return " ".join(itertools.chain(shared, own))
