"""A gateway's report and its encoding (Thrift compact protocol).

The accelerated protocol is implemented in C and takes a small part of the CPU of the Python one.
"""

import math

from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from guavacleat.admission.backlog import Backlog
from guavacleat.evacuations import EvacuationChange
from guavacleat.membership.entries import EndpointChange, EndpointEntry, EndpointState
from guavacleat.peers.backlogs import (
    decode_account_tokens,
    decode_backlog,
    decode_load,
    encode_account_tokens,
    encode_backlog,
    encode_load,
)
from guavacleat.placement import EndpointLoad
from guavacleat.protocol.gen.peers import ttypes
from guavacleat.store import Revision
from guavacleat.throttling import ServiceDemand

__all__ = [
    "BadReportError",
    "GatewayReport",
    "decode_report",
    "encode_report",
    "encoded_change_bytes",
    "encoded_load_bytes",
]


class BadReportError(ValueError):
    """A datagram is not a report."""


class GatewayReport:
    """A gateway's load by endpoint id and its knowledge of the store, or a data centre's summary.

    :param incarnation: random number, drawn at each start of the sender.
    :param sequence: increases with each report of an incarnation.
    :param changes: recent endpoint changes: all those after revision ``changes_since``.
    :param stops_in: maximum seconds until its process ends; None unless it is being stopped.
    :param store_failing: whether its store calls failed recently.
    :param store_silence: seconds since the store last responded to it.
    :param configuration_version: version in force at the sender; None if there is none.
    :param configuration_age: seconds since that was known to be the latest version.
    :param data_centre: the sender's data centre; None if unknown.
    :param gateway_count: None in a gateway's own report; in a data centre's summary, the number of
        gateways that it covers.
    :param endpoints_revision: the store's revision up to which the sender knows the endpoints;
        None if it does not know them.
    :param endpoints_age: seconds since that was known to be the latest revision.
    :param changes_since: see ``changes``.
    :param crashes: requests that crash endpoints, see ``peers.crashes``.
    :param evacuations: the sender's register of evacuations, complete to ``endpoints_revision``;
        None from a sender of a release without evacuations.
    :param limits: what endpoints say of their request rates, see ``peers.limits``.
    :param backlogs_by_service: generations that wait for an engine; in a summary those of all
        gateways that it covers.
    :param demands_by_service: demand for services with endpoints that name a limit; likewise.
    :param tokens_by_account: the accounts with the largest use of contended services; likewise.
    """

    __slots__ = (
        "instance",
        "incarnation",
        "sequence",
        "loads_by_endpoint",
        "changes",
        "stops_in",
        "store_failing",
        "store_silence",
        "configuration_version",
        "configuration_age",
        "data_centre",
        "gateway_count",
        "endpoints_revision",
        "endpoints_age",
        "changes_since",
        "crashes",
        "evacuations",
        "backlogs_by_service",
        "limits",
        "demands_by_service",
        "tokens_by_account",
    )

    def __init__(
        self,
        instance: str,
        incarnation: int,
        sequence: int,
        loads_by_endpoint: dict[str, EndpointLoad],
        changes: tuple[EndpointChange, ...] = (),
        stops_in: float | None = None,
        store_failing: bool = False,
        store_silence: float = 0.0,
        configuration_version: int | None = None,
        configuration_age: float | None = None,
        data_centre: str | None = None,
        gateway_count: int | None = None,
        endpoints_revision: int | None = None,
        endpoints_age: float | None = None,
        changes_since: int | None = None,
        crashes: ttypes.Crashes | None = None,
        evacuations: tuple[EvacuationChange, ...] | None = (),
        backlogs_by_service: dict[str, Backlog] | None = None,
        limits: list[ttypes.EndpointLimit] | None = None,
        demands_by_service: dict[str, ServiceDemand] | None = None,
        tokens_by_account: dict[str, int] | None = None,
    ):
        self.instance = instance
        self.incarnation = incarnation
        self.sequence = sequence
        self.loads_by_endpoint = loads_by_endpoint
        self.changes = tuple(changes)
        self.stops_in = stops_in
        self.store_failing = store_failing
        self.store_silence = store_silence
        self.configuration_version = configuration_version
        self.configuration_age = configuration_age
        self.data_centre = data_centre
        self.gateway_count = gateway_count
        self.endpoints_revision = endpoints_revision
        self.endpoints_age = endpoints_age
        self.changes_since = changes_since
        self.crashes = crashes
        self.evacuations = evacuations
        self.backlogs_by_service = backlogs_by_service or {}
        self.limits = limits
        self.demands_by_service = demands_by_service or {}
        self.tokens_by_account = tokens_by_account or {}

    @property
    def is_summary(self) -> bool:
        return self.gateway_count is not None


def encode_report(report: GatewayReport) -> bytes:
    """Encode a report, whatever its length; see ``fitting`` for datagrams."""
    base_revision = _base_revision(report)
    message = ttypes.PeerReport(
        report.instance,
        report.incarnation,
        report.sequence,
        [encode_load(id, load) for id, load in report.loads_by_endpoint.items()],
        [_encode_change(change, base_revision) for change in report.changes],
        report.stops_in,
        report.store_failing,
        report.store_silence,
        _encodable_version(report.configuration_version),
        report.configuration_age,
        report.data_centre,
        report.gateway_count,
        _to_offset(base_revision, report.endpoints_revision),
        report.endpoints_age,
        _to_offset(base_revision, report.changes_since),
        report.crashes,
        int(base_revision) or None,
        _encode_evacuations(report.evacuations, base_revision),
        [encode_backlog(name, backlog) for name, backlog in report.backlogs_by_service.items()],
        report.limits,
        [
            ttypes.ServiceDemand(name, demand.gateways, demand.rate, list(demand.largest))
            for name, demand in report.demands_by_service.items()
        ]
        or None,
        encode_account_tokens(report.tokens_by_account),
    )
    return _to_bytes(message)


def encoded_load_bytes(id: str, load: EndpointLoad) -> int:
    """Bytes that the load of one endpoint takes in a report."""
    return len(_to_bytes(encode_load(id, load)))


def encoded_change_bytes(change: EndpointChange, report: GatewayReport) -> int:
    """Bytes that a change takes in ``report``."""
    return len(_to_bytes(_encode_change(change, _base_revision(report))))


def _to_bytes(message) -> bytes:
    buffer = TMemoryBuffer()
    message.write(TCompactProtocolAccelerated(buffer))
    return buffer.getvalue()


def _base_revision(report: GatewayReport) -> Revision:
    """The first revision of the report's era.

    Revisions contain the era in their high bits; offsets from the era's first revision are short.
    """
    return Revision.of(Revision(report.endpoints_revision or 0).era, 0)


def _encodable_version(version: int | None) -> int | None:
    """The version, or None if it does not fit the message's 64-bit field.

    Versions are unbounded, and an encoding error would stop all reports of this gateway.
    """
    return version if version is not None and abs(version) < 1 << 63 else None


def decode_report(data: bytes) -> GatewayReport:
    """Decode a datagram; raise BadReportError if it is not a report."""
    message = ttypes.PeerReport()
    try:
        message.read(TCompactProtocolAccelerated(TMemoryBuffer(data)))
        message.validate()
        loads_by_endpoint = {load.endpoint: decode_load(load) for load in message.loads}
        base_revision = message.revisions_from or 0
        changes = [_decode_change(change, base_revision) for change in message.changes or ()]
        evacuations = _decode_evacuations(message.evacuations, base_revision)
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
        _from_offset(base_revision, message.endpoints_revision),
        message.endpoints_age,
        _from_offset(base_revision, message.changes_since),
        message.crashes,
        evacuations,
        {backlog.service_name: decode_backlog(backlog) for backlog in message.backlogs or ()},
        message.limits,
        {
            demand.service_name: ServiceDemand(
                demand.gateways, demand.rate, tuple(demand.largest or ())
            )
            for demand in message.demands or ()
            if demand.gateways >= 0
            and all(0 <= rate < math.inf for rate in (demand.rate, *(demand.largest or ())))
        },
        decode_account_tokens(message.account_tokens),
    )


def _to_offset(base_revision: int, revision: int | None) -> int | None:
    return None if revision is None else int(revision) - int(base_revision)


def _from_offset(base_revision: int, offset: int | None) -> Revision | None:
    return None if offset is None else Revision(base_revision + offset)


def _encode_change(change: EndpointChange, base_revision: int) -> ttypes.EndpointChange:
    entry, offset = change.entry, _to_offset(base_revision, change.revision)
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
        entry.cold_for or None,
        entry.said_leaving or None,
    )


def _decode_change(change: ttypes.EndpointChange, base_revision: int) -> EndpointChange:
    revision = _from_offset(base_revision, change.revision)
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
        change.cold_for or 0.0,
        bool(change.said_leaving),
    )
    return EndpointChange(change.endpoint, revision, entry)


def _decode_state(change: ttypes.EndpointChange) -> EndpointState:
    if change.unusable:
        return EndpointState.UNUSABLE
    return EndpointState.DRAINING if change.draining else EndpointState.READY


def _encode_evacuations(
    changes: tuple[EvacuationChange, ...] | None, base_revision: int
) -> list[ttypes.Evacuation] | None:
    if changes is None:
        return None
    return [
        ttypes.Evacuation(
            change.data_centre, _to_offset(base_revision, change.revision), change.evacuated
        )
        for change in changes
    ]


def _decode_evacuations(
    changes: list[ttypes.Evacuation] | None, base_revision: int
) -> tuple[EvacuationChange, ...] | None:
    if changes is None:
        return None
    return tuple(
        EvacuationChange(
            change.data_centre, _from_offset(base_revision, change.revision), change.evacuated
        )
        for change in changes
    )
