"""What the gateways of a deployment tell each other: their generations on each endpoint."""

from guavacleat.peers.book import PeerBook
from guavacleat.peers.exchange import PeerExchange

__all__ = ["PeerBook", "PeerExchange"]
