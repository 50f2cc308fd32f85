"""Parses the list of a prompt's parts that a caller sends."""

from guavacleat.forwarding.messages import PromptPart
from guavacleat.forwarding.numbers import parse_token_count

__all__ = ["parse_prompt_parts"]


def parse_prompt_parts(value: bytes) -> tuple[PromptPart, ...]:
    """Parse ``ID:TOKENS`` entries, separated by commas; entries without tokens are ignored."""
    pairs = (item.partition(b":") for item in value.split(b",") if b":" in item)
    parts = [(id.strip(), parse_token_count(tokens)) for id, _, tokens in pairs]
    return tuple(PromptPart(id.decode("latin-1"), tokens) for id, tokens in parts if tokens)
