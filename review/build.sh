#!/bin/sh
# Checks that the stand-ins of the scripts can be imported with the packages of
# the deploy file's build. They are Python modules; nothing has to be compiled.
folder=$(CDPATH='' cd -- "$(dirname -- "$0")" && pwd) || exit 1
cd "$folder/.." || exit 1
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review:target/deps:. \
  exec python3 -c "import harness, store_stand_in, emulator.store_state"
