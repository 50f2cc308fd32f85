"""Endpoint membership: leases renewed by sidecars in the object API, and the gateway's view."""

from guavacleat.membership.lease import Lease
from guavacleat.membership.records import EndpointRecord
from guavacleat.membership.view import MembershipView

__all__ = ["EndpointRecord", "Lease", "MembershipView"]
