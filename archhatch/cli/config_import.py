"""The command `import`: turns a configuration file of nginx into an operator configuration."""

from __future__ import annotations

import json
import sys

from absl import flags

from .common_flags import print_error
from .registry import EXIT_FAILURE, EXIT_OK, EXIT_USAGE, command

REVISION = flags.DEFINE_integer("revision", 1, "import: the Revision of the configuration", lower_bound=1)


@command("import", "turn a configuration file of nginx into an operator configuration, on standard output")
def _import(args: list[str]) -> int:
    from ..diagnostics.importer import ConfigImportError, Importer

    if len(args) != 1:
        print_error("import takes one file of nginx")
        return EXIT_USAGE
    try:
        config, notes = Importer(args[0]).read(REVISION.value)
    except ConfigImportError as error:
        print_error(error)
        return EXIT_FAILURE
    for note in notes:
        print(note, file=sys.stderr)
    print(json.dumps(config, indent=1))
    return EXIT_OK
