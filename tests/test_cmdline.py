"""The command registry: every command has a main; an unknown one prints the list of commands."""

import pytest

from guavacleat.cmdline import COMMANDS_BY_NAME, get_command_by_name, run


@pytest.mark.parametrize("name", sorted(COMMANDS_BY_NAME))
def test_every_command_has_a_documented_main(name):
    command = get_command_by_name(name)
    assert callable(command.main) and command.__doc__


def test_unknown_command_lists_commands(capsys):
    with pytest.raises(SystemExit) as caught:
        run(["guavacleat", "nope"])
    assert caught.value.code == 2
    listing = capsys.readouterr().err
    assert all(name in listing for name in COMMANDS_BY_NAME)
