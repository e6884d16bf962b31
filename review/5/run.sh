#!/bin/sh
# Runs the case and writes record.txt here; with TROUBLE=0 without the disruption.
cd "$(dirname "$0")" && PYTHONPATH=.. TROUBLE="${TROUBLE:-1}" exec python3 case.py
