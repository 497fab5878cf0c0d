#!/bin/sh
# Runs the demonstration: gateways, upstreams and the store on loopback.
set -eu
cd "$(dirname "$0")/.."
. scripts/environment.sh
exec .venv/bin/python -m scripts.demo "$@"
