#!/usr/bin/env bash
# Exit 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")"
exec python3 play.py
