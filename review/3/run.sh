#!/bin/sh
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. With TROUBLE=0 the store is never away.
folder=$(CDPATH='' cd -- "$(dirname -- "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review:target/deps:. \
  exec python3 "$folder/case.py"
