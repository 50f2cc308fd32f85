"""Endpoint membership: leases that sidecars renew in the object API, and the gateways' view."""

from guavacleat.membership.lease import Lease
from guavacleat.membership.records import EndpointRecord
from guavacleat.membership.view import MembershipView

__all__ = ["EndpointRecord", "Lease", "MembershipView"]
