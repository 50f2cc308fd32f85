"""Parses JSON of which a part may be nested too deeply or have numbers that are too long.

The parser of the standard library then fails for the whole text, and one such object would make a
listing of many unreadable. Its time also grows with the square of a number's digits.
"""

import json
import re

__all__ = ["loads", "loads_partially"]

# More than any value has that is used here.
MAX_DEPTH = 64
MAX_DIGITS = 400
BRACKET_RUN = r"[\[{][\[{\s]*+|[\]}][\]}\s]*+"
# A string that doesn't end is a token too: each of its quotes would else be tried as a start.
STRING = r'"(?:[^"\\]++|\\.)*+"?'
NUMBER = r"-?\d++(?:\.\d++)?+(?:[eE][+-]?\d++)?+"
TOKEN = re.compile(f"(?P<brackets>{BRACKET_RUN})|{STRING}|(?P<number>{NUMBER})", re.DOTALL)


def loads(text: str | bytes):
    """Parse JSON of another process; raise ValueError if it is invalid or nested too deeply."""
    try:
        return json.loads(text)
    except RecursionError:
        raise ValueError("the JSON value is nested too deeply") from None


def loads_partially(text: str):
    """Parse JSON; what is nested too deeply, and numbers that are too long, become NaN.

    A field with NaN is refused, while one without a value may have a default. Raises ValueError if
    the text is invalid otherwise.
    """
    try:
        return json.loads(text)
    except (ValueError, RecursionError):
        return loads(_without_excess(text))


def _without_excess(text: str) -> str:
    """Replace values below ``MAX_DEPTH`` and numbers above ``MAX_DIGITS`` by NaN."""
    pieces, kept_from, depth = [], 0, 0
    for token in TOKEN.finditer(text):
        if token["brackets"] is not None:
            opens = token[0][0] in "[{"
            before, depth = depth, depth + (1 if opens else -1) * _count_brackets(token[0])
            if opens and before <= MAX_DEPTH < depth:
                kept = _bracket_offset(token[0], MAX_DEPTH - before)
                pieces += [text[kept_from : token.start() + kept], "NaN"]
            elif not opens and depth <= MAX_DEPTH < before:
                kept = _bracket_offset(token[0][::-1], MAX_DEPTH - depth)
                kept_from = token.end() - kept
        elif depth <= MAX_DEPTH and token["number"] and len(token[0]) > MAX_DIGITS:
            pieces += [text[kept_from : token.start()], "NaN"]
            kept_from = token.end()
    return "".join([*pieces, text[kept_from:]])


def _count_brackets(run: str) -> int:
    return sum(map(run.count, "[]{}"))


def _bracket_offset(run: str, index: int) -> int:
    """Position of the bracket ``index`` in a run of brackets and white space."""
    offsets = (match.start() for match in re.finditer(r"\S", run))
    return next(offset for number, offset in enumerate(offsets) if number == index)
