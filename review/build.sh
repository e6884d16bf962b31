#!/bin/sh
# Builds the stand-ins of the cases: plain Python without dependencies, which is only
# compiled. The daemons are built by the line `build` of deploy/system.toml.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q standins
