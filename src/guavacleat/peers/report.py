"""One gateway's report of its load, and its form on the wire (thrift, compact)."""

from thrift.protocol.TCompactProtocol import TCompactProtocol
from thrift.transport.TTransport import TMemoryBuffer

from guavacleat.placement import EndpointLoad
from guavacleat.protocol.gen.peers import ttypes

__all__ = ["BadReportError", "LoadReport", "decode_report", "encode_report"]


class BadReportError(ValueError):
    """A datagram is not a report."""


class LoadReport:
    """What ``instance`` runs, by endpoint id.

    :param incarnation: drawn at each start of the sender.
    :param sequence: grows with each report of an incarnation.
    """

    __slots__ = ("instance", "incarnation", "sequence", "loads_by_endpoint")

    def __init__(
        self,
        instance: str,
        incarnation: int,
        sequence: int,
        loads_by_endpoint: dict[str, EndpointLoad],
    ):
        self.instance = instance
        self.incarnation = incarnation
        self.sequence = sequence
        self.loads_by_endpoint = loads_by_endpoint


def encode_report(report: LoadReport) -> bytes:
    loads = [
        ttypes.EndpointLoad(
            id, load.runs, load.expected, load.unread, load.movable_tokens, load.movable_runs
        )
        for id, load in report.loads_by_endpoint.items()
    ]
    buffer = TMemoryBuffer()
    message = ttypes.PeerReport(report.instance, report.incarnation, report.sequence, loads)
    message.write(TCompactProtocol(buffer))
    return buffer.getvalue()


def decode_report(data: bytes) -> LoadReport:
    """Decode a datagram; raise BadReportError if it is no report."""
    message = ttypes.PeerReport()
    try:
        message.read(TCompactProtocol(TMemoryBuffer(data)))
        message.validate()
        loads_by_endpoint = {
            load.endpoint: EndpointLoad(
                load.runs,
                load.expected_tokens,
                load.unread_tokens,
                load.movable_tokens,
                load.movable_runs,
            )
            for load in message.loads
        }
    except Exception as exc:  # noqa: BLE001 - thrift raises many kinds on bytes it cannot read
        raise BadReportError(repr(exc)) from exc
    return LoadReport(message.instance, message.incarnation, message.sequence, loads_by_endpoint)
