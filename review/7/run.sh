#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 runs the same without the disruption; the program reads it (has_trouble in common-2/kit.rs).
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/apricotknot ] && [ -x target/review-2/case-7 ] || exit 2
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec target/review-2/case-7 review/7
