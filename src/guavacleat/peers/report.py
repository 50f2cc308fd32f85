"""One gateway's report, and its form on the wire (thrift, compact).

The accelerated codec is the one in C: the one in Python takes some twenty times its CPU, which with
tens of gateways is a tenth of a small machine's.
"""

from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from guavacleat.membership.registry import EndpointChange, EndpointEntry, EndpointState
from guavacleat.placement import EndpointLoad
from guavacleat.protocol.gen.peers import ttypes
from guavacleat.store import Revision

__all__ = ["BadReportError", "GatewayReport", "decode_report", "encode_report"]


class BadReportError(ValueError):
    """A datagram is not a report."""


class GatewayReport:
    """What ``instance`` runs, by endpoint id, and what it knows of the store.

    :param incarnation: drawn at each start of the sender.
    :param sequence: grows with each report of an incarnation.
    :param changes: what it learnt of endpoints lately: all that came after ``changes_since``.
    :param stops_in: seconds until its process ends at the latest; None unless it is being stopped.
    :param store_away: whether the store did not answer its calls lately.
    :param store_silence: seconds since the store last answered it.
    :param configuration: version in force there; None while it has none.
    :param configuration_age: seconds ago at which that was the newest version.
    :param data_centre: the sender's; None if it does not say.
    :param gateways: None in a gateway's own report. In a summary of the sender's data centre, which
        goes to other data centres, how many gateways it adds up.
    :param endpoints_revision: the store's revision up to which it knows the endpoints; None while
        it does not.
    :param endpoints_age: seconds ago at which that was the newest revision.
    :param changes_since: see ``changes``.
    :param crashes: what it knows of requests that crash endpoints, as ``peers.crashes`` reads it.
    """

    __slots__ = (
        "instance",
        "incarnation",
        "sequence",
        "loads_by_endpoint",
        "changes",
        "stops_in",
        "store_away",
        "store_silence",
        "configuration",
        "configuration_age",
        "data_centre",
        "gateways",
        "endpoints_revision",
        "endpoints_age",
        "changes_since",
        "crashes",
    )

    def __init__(
        self,
        instance: str,
        incarnation: int,
        sequence: int,
        loads_by_endpoint: dict[str, EndpointLoad],
        changes: tuple[EndpointChange, ...] = (),
        stops_in: float | None = None,
        store_away: bool = False,
        store_silence: float = 0.0,
        configuration: int | None = None,
        configuration_age: float | None = None,
        data_centre: str | None = None,
        gateways: int | None = None,
        endpoints_revision: int | None = None,
        endpoints_age: float | None = None,
        changes_since: int | None = None,
        crashes: ttypes.Crashes | None = None,
    ):
        self.instance = instance
        self.incarnation = incarnation
        self.sequence = sequence
        self.loads_by_endpoint = loads_by_endpoint
        self.changes = tuple(changes)
        self.stops_in = stops_in
        self.store_away = store_away
        self.store_silence = store_silence
        self.configuration = configuration
        self.configuration_age = configuration_age
        self.data_centre = data_centre
        self.gateways = gateways
        self.endpoints_revision = endpoints_revision
        self.endpoints_age = endpoints_age
        self.changes_since = changes_since
        self.crashes = crashes

    @property
    def is_summary(self) -> bool:
        return self.gateways is not None


def encode_report(report: GatewayReport) -> bytes:
    # Revisions of a later era are large numbers: told from the era's first on, they are short.
    first = Revision.of(Revision(report.endpoints_revision or 0).era, 0)
    loads = [
        ttypes.EndpointLoad(id, load.runs, load.peak_tokens, load.unread_tokens)
        for id, load in report.loads_by_endpoint.items()
    ]
    message = ttypes.PeerReport(
        report.instance,
        report.incarnation,
        report.sequence,
        loads,
        [_encode_change(change, first) for change in report.changes],
        report.stops_in,
        report.store_away,
        report.store_silence,
        _fitting(report.configuration),
        report.configuration_age,
        report.data_centre,
        report.gateways,
        _from(first, report.endpoints_revision),
        report.endpoints_age,
        _from(first, report.changes_since),
        report.crashes,
        int(first) or None,
    )
    buffer = TMemoryBuffer()
    message.write(TCompactProtocolAccelerated(buffer))
    return buffer.getvalue()


def _fitting(version: int | None) -> int | None:
    """A version that the message's 64 bits hold; any other is not told.

    Versions have no bound. Failing to encode one would end all reports of this gateway.
    """
    return version if version is not None and abs(version) < 1 << 63 else None


def decode_report(data: bytes) -> GatewayReport:
    """Decode a datagram; raise BadReportError if it is no report."""
    message = ttypes.PeerReport()
    try:
        message.read(TCompactProtocolAccelerated(TMemoryBuffer(data)))
        message.validate()
        loads_by_endpoint = {
            load.endpoint: EndpointLoad(load.runs, load.expected_tokens, load.unread_tokens)
            for load in message.loads
        }
        first = message.revisions_from or 0
        changes = [_decode_change(change, first) for change in message.changes or ()]
    except Exception as exc:  # noqa: BLE001 - thrift raises many kinds on bytes it cannot read
        raise BadReportError(repr(exc)) from exc
    return GatewayReport(
        message.instance,
        message.incarnation,
        message.sequence,
        loads_by_endpoint,
        changes,
        message.stops_in,
        bool(message.store_away),
        message.store_silence or 0.0,
        message.configuration,
        message.configuration_age,
        message.data_centre,
        message.gateways,
        _to(first, message.endpoints_revision),
        message.endpoints_age,
        _to(first, message.changes_since),
        message.crashes,
    )


def _from(first: int, revision: int | None) -> int | None:
    return None if revision is None else int(revision) - int(first)


def _to(first: int, offset: int | None) -> Revision | None:
    return None if offset is None else Revision(first + offset)


def _encode_change(change: EndpointChange, first: int) -> ttypes.EndpointChange:
    entry, offset = change.entry, _from(first, change.revision)
    if entry is None:
        return ttypes.EndpointChange(change.id, offset)
    return ttypes.EndpointChange(
        change.id,
        offset,
        entry.service,
        *entry.address,
        entry.data_centre,
        entry.slots,
        entry.state is EndpointState.DRAINING,
        entry.started_ms,
        entry.state is EndpointState.UNUSABLE,
    )


def _decode_change(change: ttypes.EndpointChange, first: int) -> EndpointChange:
    revision = _to(first, change.revision)
    if change.service_name is None:
        return EndpointChange(change.endpoint, revision, None)
    entry = EndpointEntry(
        change.endpoint,
        change.service_name,
        (change.ip, change.port),
        change.data_centre,
        change.slots,
        _decode_state(change),
        revision,
        change.started_ms,
    )
    return EndpointChange(change.endpoint, revision, entry)


def _decode_state(change: ttypes.EndpointChange) -> EndpointState:
    if change.unusable:
        return EndpointState.UNUSABLE
    return EndpointState.DRAINING if change.draining else EndpointState.READY
