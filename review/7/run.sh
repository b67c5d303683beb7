#!/bin/sh
# Plays the case holder. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays it without the drill.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-standins -case holder -record review/7/record.txt
