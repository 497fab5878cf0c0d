#!/bin/sh
# Runs the scenarios; with arguments, those that behave is given.
set -eu
cd "$(dirname "$0")/.."
. scripts/environment.sh
exec .venv/bin/python -m scripts.run_features "$@"
