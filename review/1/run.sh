#!/usr/bin/env bash
# Plays case 1: exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
exec target/review/case-1 review/1/record.txt
