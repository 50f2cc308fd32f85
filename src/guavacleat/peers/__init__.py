"""What the gateways of a deployment tell each other: their generations on each endpoint."""

from guavacleat.peers.exchange import PeerExchange
from guavacleat.peers.table import PeerTable

__all__ = ["PeerTable", "PeerExchange"]
