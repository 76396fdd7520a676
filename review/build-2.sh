#!/bin/sh
# Builds the stand-ins of cases 6 to 10, after the build of the deploy file. They are Python of the standard library, run by
# the cases themselves: this compiles them, so that a case does not start with one that cannot be read.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q common_2 $(ls -d [6-9] 10 2>/dev/null)
