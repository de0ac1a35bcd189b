#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
program=target/review-3/open
[ -x "$program" ] && [ -x target/release/damaskweir ] || exit 2
exec timeout -k 5 110 "$program" "$here"
