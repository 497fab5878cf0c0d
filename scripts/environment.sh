# Creates the project's virtual environment in .venv and creates it again when
# requirements.txt or pyproject.toml changes. Source it from the root of the
# checkout.
PYTHON="${PYTHON:-python3}"
if ! "$PYTHON" -c 'import sys; sys.exit(sys.version_info < (3, 11))'; then
  echo "almondstair needs Python 3.11 or newer; set PYTHON=/path/to/it" >&2
  exit 2
fi
wanted="$(cat requirements.txt pyproject.toml | cksum)"
if [ ! -x .venv/bin/python ] || [ "$(cat .venv/made-for 2>/dev/null)" != "$wanted" ]; then
  echo "making .venv (a minute or so) ..." >&2
  "$PYTHON" -m venv --clear .venv
  .venv/bin/python -m pip install --quiet --quiet --disable-pip-version-check \
    --requirement requirements.txt
  .venv/bin/python -m pip install --quiet --quiet --disable-pip-version-check \
    --no-deps --no-build-isolation --editable .
  echo "$wanted" > .venv/made-for
fi
