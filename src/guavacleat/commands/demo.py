"""``guavacleat demo``: an end-to-end demonstration on loopback with built-in settings.

Starts the object API stand-in, two stand-in engines and a plain service with their sidecars, and
a gateway in one process; applies the Nile Directory Exchange example settings; streams
generations for several client accounts and priority classes; prints what each caller received
and the gateway's latency summary. A retry of a non-repeatable call gets the stored response, and
the service runs the call once. Then sends plain HTTP requests through an ingress that reads the
example routes file.
"""

import itertools

import treq
from absl import flags
from twisted.internet import defer, task

from guavacleat.commands.daemon import start_logging
from guavacleat.load import stream_completion
from guavacleat.standin.local_routes import LocalRoutes
from guavacleat.standin.system import EXAMPLES, LocalSystem

FLAGS = flags.FLAGS
flags.DEFINE_integer("requests", 12, "Generations to stream through the gateway.")
flags.DEFINE_integer("max_tokens", 64, "Maximum length of each generation.")

ENDPOINTS = {
    "enquiry-lm-1": "enquiry-lm",
    "enquiry-lm-2": "enquiry-lm",
    "switchboard-1": "switchboard",
}
ACCOUNTS = ("carrier-misr-mobile", "carrier-delta-tel", "carrier-04")
ROUTED_REQUESTS = (
    ("switchboard.example", "/readout/0223456789", "key-misr-mobile"),
    ("enquiry.example", "/listing/plumbers", "key-delta-tel"),
    ("switchboard.example", "/connect/0223456789", "unknown-key"),
    ("switchboard.example", "/nowhere/", "key-delta-tel"),
)
ROUTED_TIMEOUT_SECONDS = 5.0
CLASSES = ("interactive", "standard", "batch")


@defer.inlineCallbacks
def _demo(reactor):
    system = LocalSystem(reactor, EXAMPLES / "nile.json5", ENDPOINTS)
    yield system.start()
    url = system.completions_url()
    print(f"gateway at {url}; configuration version {system.gateway.config.version}")
    parameters = list(
        zip(range(FLAGS.requests), itertools.cycle(ACCOUNTS), itertools.cycle(CLASSES))
    )
    calls = [
        stream_completion(reactor, url, _body("enquiry-lm", account, klass, f"listing {n}"))
        for n, account, klass in parameters
    ]
    results = yield defer.gatherResults(calls)
    for (n, account, klass), result in zip(parameters, results, strict=True):
        ordered = result.indices == list(range(len(result.indices)))
        preview = " ".join(result.texts[:6])
        print(
            f"  #{n:<2} {account:20} {klass:11} {len(result.texts):3} tokens"
            f" once-in-order={ordered} [{preview} ...]"
        )
    body = _body("switchboard", "carrier-nile-net", "interactive", "connect 0223456789")
    first = yield stream_completion(reactor, url, body, idempotency_key="conn-0223456789-1")
    retry = yield stream_completion(reactor, url, body, idempotency_key="conn-0223456789-1")
    runs = system.plain_services_by_name["switchboard-1"].runs_by_body["connect 0223456789"]
    print(
        f"connection record: first {first.status} ({len(first.texts)} tokens), retry"
        f" {retry.status}, same answer={retry.texts == first.texts}, runs on the service={runs}"
    )
    print("latency (seconds), per account and class:")
    for row in system.gateway.metrics.latencies.summary():
        print(
            f"  {row['measure']:4} {row['account']:20} {row['class']:11} n={row['count']:<4}"
            f" p50={row['p50']:.4f} p95={row['p95']:.4f} p99={row['p99']:.4f}"
        )
    yield _routes_demo(reactor)
    yield system.stopService()


@defer.inlineCallbacks
def _routes_demo(reactor):
    """Send plain HTTP requests through an ingress with a routes file and two stand-in endpoints."""
    routes = LocalRoutes(reactor, EXAMPLES / "routes.json5")
    routes.start()
    print(f"ingress at {routes.url}")
    for host, path, key in ROUTED_REQUESTS:
        headers = {"Host": host, "X-Request-Id": path, "X-Api-Key": key}
        response = yield treq.post(
            routes.url + path, headers=headers, timeout=ROUTED_TIMEOUT_SECONDS
        )
        body = yield response.content()
        print(f"  {host}{path} key={key}: {response.code} {body[:24]!r}")
    yield routes.stop()


def _body(service, account, klass, prompt):
    return {
        "service": service,
        "account": account,
        "priority_class": klass,
        "prompt": prompt,
        "max_tokens": FLAGS.max_tokens,
    }


def main(argv):
    del argv
    start_logging()
    task.react(_demo)
