#!/usr/bin/env bash
# Case 2; see claim.txt. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
program=target/review/release/review-standin
[ -x "$program" ] && [ -x target/release/marlwinch ] || exit 2
exec timeout --kill-after=5 110 "$program" 2 "$PWD" "$PWD/review/2/record.txt"
