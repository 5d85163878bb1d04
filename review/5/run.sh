#!/usr/bin/env bash
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 leaves out the disruption. record.txt says what was sent, answered and run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-standins ] && [ -x target/persimmonbay ] || { echo "could not run: not built"; exit 2; }
exec target/review-standins upkeep-after-move review/5/record.txt
