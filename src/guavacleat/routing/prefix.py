"""Blocks of a prompt's prefix, as the engines' prefix caches name them."""

import hashlib
import itertools

__all__ = ["BLOCK_TOKENS", "prefix_blocks"]

BLOCK_TOKENS = 16
DIGEST_BYTES = 8


def prefix_blocks(tokens: list[str], most: int | None = None) -> list[str]:
    """Names of the whole blocks of ``tokens``, in order, at most ``most`` of them.

    Each name depends on every token before the block's end, so two prompts share exactly the
    names of their common prefix.
    """
    blocks = itertools.islice(range(0, len(tokens) - BLOCK_TOKENS + 1, BLOCK_TOKENS), most)
    chained = itertools.accumulate(
        (" ".join(tokens[start : start + BLOCK_TOKENS]) for start in blocks), _chain, initial=""
    )
    return list(chained)[1:]


def _chain(previous: str, block: str) -> str:
    return hashlib.blake2b(f"{previous}|{block}".encode(), digest_size=DIGEST_BYTES).hexdigest()
