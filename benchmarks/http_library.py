"""CPU time per request of HTTP libraries, in memory.

Usage: python benchmarks/http_library.py [requests]

Each library reads the same request and writes the same response, without sockets. The last cases
measure the ingress: a complete request, and one event forwarded from endpoint to caller.
"""

import resource
import sys
import time

import h11
import httptools
from klein import Klein
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.web.resource import Resource
from twisted.web.server import Site

from guavacleat.http1.client import EndpointConnection, ResponseListener
from guavacleat.http1.server import CallerListener
from guavacleat.routes import CallerLimits

REQUEST = (
    b"POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: 9c41d07be2a35f68\r\n"
    b"Model: m\r\nTokens: 1460,80\r\nDeadline: 39000\r\nAuth: xd9dnn2ctnfzs989anu6\r\n"
    b"Content-Length: 600\r\n\r\n" + b"x" * 600
)
BODY = b"y" * 800
EVENT = b"id: 7\ndata: " + b"z" * 300 + b"\n\n"


class BodyResource(Resource):
    isLeaf = True  # noqa: N815 - Twisted's name

    def render_POST(self, request):  # noqa: N802 - Twisted's name
        request.content.read()
        return BODY


def with_site(resource):
    site = Site(resource)
    channel = site.buildProtocol(None)
    transport = StringTransport()
    channel.makeConnection(transport)
    return lambda: (channel.dataReceived(REQUEST), transport.clear())


def with_klein():
    app = Klein()

    @app.route("/lohu930/<rest>", methods=["POST"])
    def respond(request, rest):
        del rest
        request.content.read()
        return BODY

    return with_site(app.resource())


def with_h11():
    def handle_request():
        parser = h11.Connection(h11.SERVER)
        parser.receive_data(REQUEST)
        while not isinstance(parser.next_event(), h11.EndOfMessage):
            pass
        head = h11.Response(status_code=200, headers=[("content-length", str(len(BODY)))])
        parser.send(head)
        parser.send(h11.Data(data=BODY))
        parser.send(h11.EndOfMessage())

    return handle_request


def with_httptools():
    class ParserCallbacks:
        def on_header(self, name, value): ...

        def on_body(self, body): ...

    def handle_request():
        httptools.HttpRequestParser(ParserCallbacks()).feed_data(REQUEST)
        b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(BODY), BODY)

    return handle_request


def with_ingress_server():
    clock = Clock()
    listener = CallerListener(
        clock, lambda exchange: exchange.respond(200, [], BODY), lambda: CallerLimits()
    )
    connection = listener.buildProtocol(None)
    transport = StringTransport()
    connection.makeConnection(transport)

    def handle_request():
        connection.dataReceived(REQUEST)
        clock.advance(0)
        transport.clear()

    return handle_request


def with_stream_events():
    """Forwards one event from an endpoint's chunk to the caller's chunk."""
    exchanges = []
    listener = CallerListener(Clock(), exchanges.append, lambda: CallerLimits())
    caller = listener.buildProtocol(None)
    caller.makeConnection(StringTransport())
    caller.dataReceived(REQUEST)
    exchange = exchanges[0]

    class Forwarder(ResponseListener):
        def response_started(self, head):
            exchange.start_response(200, b"OK", [])

        def response_data_received(self, data):
            exchange.write(data)

    endpoint = EndpointConnection(lambda connection: None, lambda connection: None)
    endpoint.makeConnection(StringTransport())
    endpoint.send(b"GET", b"/x", [(b"host", b"e")], b"", Forwarder())
    endpoint.dataReceived(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
    chunk = b"%x\r\n%s\r\n" % (len(EVENT), EVENT)

    def forward_event():
        endpoint.dataReceived(chunk)
        caller.transport.clear()

    return forward_event


CASES_BY_NAME = {
    "twisted.web": lambda: with_site(BodyResource()),
    "klein": with_klein,
    "h11": with_h11,
    "httptools": with_httptools,
    "ingress, whole request": with_ingress_server,
    "ingress, stream event": with_stream_events,
}


def main():
    count = int(sys.argv[1]) if len(sys.argv) > 1 else 20000
    for name, make_case in CASES_BY_NAME.items():
        run_case = make_case()
        began = time.process_time()
        for _ in range(count):
            run_case()
        print(f"{name:24} {(time.process_time() - began) / count * 1e6:8.1f} us of CPU each")
    print(f"peak memory {resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024:.1f} MB")


if __name__ == "__main__":
    main()
