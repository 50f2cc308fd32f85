"""How much of an engine's memory could be copied elsewhere between its notice and its end."""

from guavacleat.routes import EngineTraits

__all__ = ["evacuable_tokens"]

# The shortest notice seen of engines that are taken away.
NOTICE_SECONDS = 1.5
# Of it, what passes until the first copy is under way and from the last one to its handover.
OVERHEAD_SECONDS = 0.2
# A copy to another data centre takes so many times as long.
ACROSS_FACTOR = 2.0
BITS_PER_BYTE = 8
# Of services that do not tell their links: as seen between data centres.
UNKNOWN_TOKENS_PER_SECOND = 9000.0


def link_tokens_per_second(engine: EngineTraits) -> float:
    """What an engine's link carries within a data centre."""
    if not engine.link_mbps or not engine.token_bytes:
        return UNKNOWN_TOKENS_PER_SECOND
    return engine.link_mbps * 1e6 / BITS_PER_BYTE / engine.token_bytes


def evacuable_tokens(engine: EngineTraits) -> float:
    """Tokens that could leave an engine in time, all to other data centres."""
    seconds = NOTICE_SECONDS - OVERHEAD_SECONDS
    return seconds * link_tokens_per_second(engine) / ACROSS_FACTOR
