#!/bin/sh
# Runs all scenarios, or those that the arguments for behave select.
set -eu
cd "$(dirname "$0")/.."
. scripts/environment.sh
exec .venv/bin/python -m scripts.run_features "$@"
