#!/usr/bin/env bash
# Plays the case: exit code 1 if the rule was broken, 0 if it held, 2 if it could not run.
# With TROUBLE=0, without the disruption.
cd "$(dirname "$0")" || exit 2
exec python3 scenario.py
