#!/bin/sh
# Plays case 8; TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps:. exec python3 -B review/8/case.py
