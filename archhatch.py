#!/usr/bin/env python3
"""archhatch: a rollout scheduler for trainers. See README.md."""

import os
import sys

# Nodes speak plain HTTP among themselves and to replicas. Importing aiohttp makes a TLS context with every
# certificate of the machine's trust store, which costs each start 50 ms of processor time and each process 2 MB; what
# calls the outside over TLS makes a context of its own.
os.environ.setdefault("SSL_CERT_FILE", os.devnull)
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "target", "deps"))

from lines.frame.commands import main  # noqa: E402

if __name__ == "__main__":
    main(sys.argv)
