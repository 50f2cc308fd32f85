"""Sections of text prompts."""

from guavacleat.streams.sections import split_sections


def words(name, count):
    return [f"{name}{number}" for number in range(count)]


def test_a_passage_has_the_same_sections_wherever_it_stands():
    """Guards against a bad passage that moves by a word in each prompt."""
    passage = words("passage", 200)
    alone = set(split_sections(passage))
    shifted = set(split_sections([*words("own", 7), *passage, "end"]))
    assert len(alone) > 4
    assert len(alone - shifted) <= 1


def test_what_follows_the_last_section_is_the_prompts_own():
    passage = words("passage", 200)
    assert set(split_sections(passage)) <= set(split_sections([*passage, "a"]))
    assert list(split_sections([])) == []
