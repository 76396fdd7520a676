"""Entry point of `python3 -m archhatch`: prepares the process, then runs the command line."""

import os
import sys

# Importing aiohttp creates a TLS context that loads every certificate of the machine's trust store: 50 ms of processor
# time and 2 MB for each process. Nodes and replicas use plain HTTP; code that calls out over TLS makes its own context.
os.environ.setdefault("SSL_CERT_FILE", os.devnull)
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "target", "deps"))

from .early_signals import hold_signals  # noqa: E402

PROGRAMS = {"data-plane", "control-plane", "store"}

if PROGRAMS.intersection(sys.argv[1:]):
    hold_signals()  # before the imports that take long

EXIT_NOT_BUILT = 4  # a library is missing, or was built for another machine or interpreter


def run() -> None:
    """Runs the command line of this process and ends with its exit status."""
    try:
        from .cli.commands import main

        main(sys.argv)
    except ImportError as error:
        if (error.name or "").partition(".")[0] == __package__:
            raise  # a fault of ours, and not of what was built
        why = " ".join(str(error).split())
        print(f"archhatch: a library cannot be loaded, build with deploy/build.py: {why}", file=sys.stderr)
        sys.exit(EXIT_NOT_BUILT)


if __name__ == "__main__":
    run()
