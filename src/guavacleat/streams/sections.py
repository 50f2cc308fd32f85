"""Sections of a text prompt that are the same in all prompts that contain the same passage.

Where a section ends depends on its last word alone, so a passage has the same sections whatever
precedes it, except for its first and its last one.
"""

import zlib
from collections.abc import Iterator

__all__ = ["split_sections"]

# One word in this many ends a section.
WORDS_PER_SECTION = 16


def split_sections(words: list[str]) -> Iterator[bytes]:
    """The complete sections of a prompt; what follows the last of them is the prompt's own."""
    start = 0
    for end, word in enumerate(words, 1):
        if zlib.crc32(word.encode()) % WORDS_PER_SECTION == 0:
            yield " ".join(words[start:end]).encode()
            start = end
