#!/bin/sh
# Checks that the stand-ins of the cases 4 to 8 can be loaded, after the build of
# the deploy file. They are Python modules, so that there is nothing to compile.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:. python3 -B -c "import emulator.store, review.trial"
