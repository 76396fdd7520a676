"""The command line of `archhatch`: one command for each program, and the operator tools.

Each group of commands is a module of this package, which declares its flags and registers its commands when it is
imported. What a command runs is imported only when it runs, so that each process loads only what it needs.
"""

from __future__ import annotations

import sys
from typing import NoReturn

from absl import flags

# The order of these imports is that of the help, hence no sorting here.
from . import common_flags, programs  # noqa: I001 - see above
from . import config_import, policy, evacuation, singleton_roles, doctor, version, capacity, simulation
from .common_flags import print_error
from .registry import COMMANDS, EXIT_OK, EXIT_USAGE

FLAGS = flags.FLAGS
FLAG_MODULES = (common_flags, programs, config_import, policy, evacuation, capacity, simulation)

for _module in FLAG_MODULES:
    flags.adopt_module_key_flags(_module)  # so that the help lists them all under this module, as one command line
_ = singleton_roles, doctor, version  # register their commands, and declare no flags


def usage() -> str:
    """Returns the help.

    >>> usage().splitlines()[0]
    'archhatch COMMAND [--flag=value ...]'
    """
    rows = "\n".join(f"  {command.name:<13} {command.summary}" for command in COMMANDS.values())
    return (
        f"archhatch COMMAND [--flag=value ...]\n\n{rows}\n\nFlags of all commands:\n{FLAGS.main_module_help()}"
        f"\n{FLAGS.module_help(__name__)}"
    )


def main(argv: list[str]) -> NoReturn:
    """Parses a command line, runs its command and ends the process with the command's exit status.

    Args:
        argv: The words of the command line, the program's name first.

    Raises:
        SystemExit: Always.
    """
    if "--help" in argv or "-h" in argv or len(argv) < 2:  # noqa: PLR2004 - a name and no command
        FLAGS.mark_as_parsed()
        print(usage())
        sys.exit(EXIT_OK if len(argv) > 1 else EXIT_USAGE)
    try:
        _, *words = FLAGS(argv)
    except flags.Error as error:
        print_error(error)
        sys.exit(EXIT_USAGE)
    name = words[0] if words else ""
    command = COMMANDS.get(name)
    if command is None:
        print_error(f"no such command: {name}\n\n{usage()}")
        sys.exit(EXIT_USAGE)
    sys.exit(command.handler(words[1:]))
