#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/review_case ] || { echo "run review/build.sh first" >&2; exit 2; }
exec target/review/review_case advice_taken review/3/record.txt
