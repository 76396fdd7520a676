#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They are Python with the standard library alone: only their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q common ./*/
