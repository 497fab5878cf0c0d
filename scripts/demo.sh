#!/bin/sh
# The main job on loopback: the Tallow Brae example with stand-ins.
set -eu
cd "$(dirname "$0")/.."
. scripts/environment.sh
exec .venv/bin/python -m scripts.demo "$@"
