#!/usr/bin/env bash
# Build every stand-in that a script starts: they are plain Python without dependencies.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standins
