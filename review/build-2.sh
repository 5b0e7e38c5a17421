#!/usr/bin/env bash
# Build every stand-in that a script of the second review starts: plain Python, no
# dependencies.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standins2 4 5 6
