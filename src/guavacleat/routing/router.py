"""Picks the endpoint for a request from the live ones, by this gateway's own in-flight count.

Among the endpoints with the fewest generations this gateway has in flight, the tie is broken by
rendezvous hashing of the prompt's first words, so requests sharing a prefix tend to land on the
same engine (whose prefix cache then holds it) and every gateway breaks ties the same way without
talking to the others. Endpoints at the per-endpoint in-flight limit are skipped.
"""

import hashlib

from guavacleat.membership.records import EndpointRecord

__all__ = ["Router", "prefix_key"]

PREFIX_WORDS = 16


def prefix_key(prompt: str) -> str:
    """The part of a prompt that decides cache affinity."""
    return " ".join(prompt.split()[:PREFIX_WORDS])


def _rendezvous(key: str, endpoint: str) -> int:
    digest = hashlib.blake2b(f"{key}|{endpoint}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


class Router:
    """Keeps in-flight counts by endpoint name and picks an endpoint for each request."""

    def __init__(self):
        self.in_flight_by_name: dict[str, int] = {}

    def choose(
        self, candidates: list[EndpointRecord], prompt: str, limit: int, excluded=()
    ) -> EndpointRecord | None:
        """The endpoint to try, or None if every candidate is excluded or full."""
        open_ones = [
            record
            for record in candidates
            if record.name not in excluded and self.in_flight_by_name.get(record.name, 0) < limit
        ]
        if not open_ones:
            return None
        key = prefix_key(prompt)
        return min(
            open_ones,
            key=lambda record: (
                self.in_flight_by_name.get(record.name, 0),
                -_rendezvous(key, record.name),
            ),
        )

    def begin(self, name: str) -> None:
        self.in_flight_by_name[name] = self.in_flight_by_name.get(name, 0) + 1

    def end(self, name: str) -> None:
        self.in_flight_by_name[name] -= 1
