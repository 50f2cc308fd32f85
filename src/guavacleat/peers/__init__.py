"""Gossip between the gateways: their load per endpoint and their knowledge of the store."""

from guavacleat.peers.exchange import PeerExchange
from guavacleat.peers.table import PeerTable

__all__ = ["PeerTable", "PeerExchange"]
