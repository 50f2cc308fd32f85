"""Hashes of the blocks of a prompt, as used by the engines' prefix caches."""

import hashlib
import itertools

__all__ = ["BLOCK_TOKENS", "prefix_blocks"]

BLOCK_TOKENS = 16
DIGEST_BYTES = 8


def prefix_blocks(tokens: list[str], limit: int | None = None) -> list[str]:
    """Hashes of the first ``limit`` complete blocks of ``tokens``, in order.

    Each hash covers all tokens up to the end of its block, so two prompts have equal hashes exactly
    for the blocks of their common prefix.
    """
    blocks = itertools.islice(range(0, len(tokens) - BLOCK_TOKENS + 1, BLOCK_TOKENS), limit)
    chained = itertools.accumulate(
        (" ".join(tokens[start : start + BLOCK_TOKENS]) for start in blocks), _chain, initial=""
    )
    return list(chained)[1:]


def _chain(previous: str, block: str) -> str:
    return hashlib.blake2b(f"{previous}|{block}".encode(), digest_size=DIGEST_BYTES).hexdigest()
