"""Fits a report into one datagram.

A report that is longer than a datagram can't be sent at all. What is left out of it is chosen so
that the rest stays true:

- The use of accounts and the waiting generations are left out first: the gateways do without them
  for a while, but would overload engines whose loads they don't know.
- Of the endpoint changes, those of endpoints that get no new requests are kept first, then the
  latest ones. ``changes_since`` is raised to the latest revision that is left out: a peer that
  lacks one of these changes notices the gap and queries the store.
- Of the loads, the largest are kept. The others count as none until a report contains them.
- If the rest alone is too long, parts that other reports repeat are left out one after the other.
"""

import copy
from collections.abc import Iterable

from guavacleat.membership.entries import EndpointChange, EndpointState
from guavacleat.peers.report import (
    GatewayReport,
    encode_report,
    encoded_change_bytes,
    encoded_load_bytes,
)

__all__ = [
    "MAX_DATAGRAM_BYTES",
    "MAX_REPORT_BYTES",
    "FittedReport",
    "fit_report",
    "latest_revision",
]

# Longest report that is sent: six packets of an Ethernet network, any of which may be lost, and
# what gateways of earlier releases receive whole.
MAX_REPORT_BYTES = 8192
# Longest payload of a UDP datagram over IPv4. Gateways of other releases may send longer reports.
MAX_DATAGRAM_BYTES = 65_507
# Encoding the header of a list takes a few bytes more for many elements than for none.
LIST_HEADER_BYTES = 8
# Every element is longer than this; more of them than fit need not be encoded to know so.
MIN_ELEMENT_BYTES = 8
# Parts that may be left out, in this order, and their values without content. A report without
# evacuations is no evidence of any.
OPTIONAL_PARTS = {
    "demands_by_service": {},
    "limits": None,
    "crashes": None,
    "backlogs_by_service": {},
    "evacuations": None,
}


class FittedReport:
    """An encoded report.

    :ivar data: at most ``MAX_REPORT_BYTES``; None if not even the sender's state fits.
    :ivar left_out: number of elements left out, by part.
    """

    __slots__ = ("data", "left_out")

    def __init__(self, data: bytes | None, left_out: dict[str, int]):
        self.data = data
        self.left_out = left_out


def fit_report(report: GatewayReport) -> FittedReport:
    """Encode ``report``, without what does not fit into a datagram."""
    left_out = {}
    for leave_out in (_keep_all, _without_accounts, _without_heads):
        report, counts = leave_out(report)
        left_out.update(counts)
        data = _encode_if_short(report)
        if data is not None:
            return FittedReport(data, left_out)
    return _Shortener(report, left_out).fit()


def _encode_if_short(report: GatewayReport) -> bytes | None:
    """The encoded report; None if it is too long."""
    elements = len(report.changes) + len(report.loads_by_endpoint)
    if elements * MIN_ELEMENT_BYTES > MAX_REPORT_BYTES:
        return None
    data = encode_report(report)
    return data if len(data) <= MAX_REPORT_BYTES else None


def _keep_all(report: GatewayReport) -> tuple[GatewayReport, dict[str, int]]:
    return report, {}


def _without_accounts(report: GatewayReport) -> tuple[GatewayReport, dict[str, int]]:
    """A copy without the use of accounts, and the number of elements left out by part."""
    if not report.tokens_by_account:
        return report, {}
    shorter = copy.copy(report)
    shorter.tokens_by_account = {}
    return shorter, {"tokens_by_account": len(report.tokens_by_account)}


def _without_heads(report: GatewayReport) -> tuple[GatewayReport, dict[str, int]]:
    """A copy without the waiting generations, and the number of elements left out by part."""
    count = sum(len(backlog.heads) for backlog in report.backlogs_by_service.values())
    if not count:
        return report, {}
    shorter = copy.copy(report)
    shorter.backlogs_by_service = {
        name: backlog.with_heads(()) for name, backlog in report.backlogs_by_service.items()
    }
    return shorter, {"heads": count}


class _Shortener:
    """Leaves out of one report what does not fit."""

    def __init__(self, report: GatewayReport, left_out: dict[str, int]):
        self.report = report
        self.fitted = copy.copy(report)
        self.left_out = left_out

    def fit(self) -> FittedReport:
        self.fitted.loads_by_endpoint, self.fitted.changes = {}, ()
        for part, nothing in OPTIONAL_PARTS.items():
            if self._room() >= 0:
                break
            if content := getattr(self.fitted, part):
                self.left_out[part] = 1 if part == "crashes" else len(content)
                setattr(self.fitted, part, nothing)
        room = self._room()
        if room < 0:
            return FittedReport(None, self.left_out)
        self._add_elements(room)
        return FittedReport(encode_report(self.fitted), self.left_out)

    def _room(self) -> int:
        """Bytes left for the elements of the lists; negative if the report is too long already."""
        return MAX_REPORT_BYTES - LIST_HEADER_BYTES - len(encode_report(self.fitted))

    def _add_elements(self, room: int) -> None:
        """Add loads and changes; each may use half of ``room``, and what the other one leaves."""
        loads = sorted(
            self.report.loads_by_endpoint.items(),
            key=lambda item: item[1].peak_tokens,
            reverse=True,
        )
        changes = sorted(filter(self._is_needed, self.report.changes), key=_urgency)
        _, load_bytes = self._count_fitting(loads, self._load_bytes, room // 2)
        kept, used = self._count_fitting(changes, self._change_bytes, room - load_bytes)
        kept_loads, _ = self._count_fitting(loads, self._load_bytes, room - used)
        self.fitted.loads_by_endpoint = dict(loads[:kept_loads])
        self.fitted.changes = tuple(changes[:kept])
        self.fitted.changes_since = latest_revision(self.report.changes_since, changes[kept:])
        self.left_out["loads"] = len(loads) - kept_loads
        self.left_out["changes"] = len(self.report.changes) - kept

    def _is_needed(self, change: EndpointChange) -> bool:
        """Whether a peer that is complete to ``changes_since`` may lack the change."""
        complete_to = self.report.changes_since
        return complete_to is None or change.revision > complete_to or not _is_ready(change)

    @staticmethod
    def _count_fitting(elements: list, size, room: int) -> tuple[int, int]:
        """The number of the first elements that fit into ``room`` bytes, and the bytes used."""
        used = 0
        for count, element in enumerate(elements):
            element_bytes = size(element)
            if used + element_bytes > room:
                return count, used
            used += element_bytes
        return len(elements), used

    @staticmethod
    def _load_bytes(item) -> int:
        return encoded_load_bytes(*item)

    def _change_bytes(self, change: EndpointChange) -> int:
        return encoded_change_bytes(change, self.report)


def latest_revision(changes_since: int | None, missing: Iterable[EndpointChange]) -> int | None:
    """The ``changes_since`` of a report without the ``missing`` changes; None if it has none."""
    if changes_since is None:
        return None
    return max([changes_since, *(change.revision for change in missing)])


def _is_ready(change: EndpointChange) -> bool:
    return change.entry is not None and change.entry.state is EndpointState.READY


def _urgency(change: EndpointChange) -> tuple[bool, int]:
    """Sort key: endpoints that get no new requests first, then the latest changes."""
    return _is_ready(change), -change.revision
