#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 runs the same without the disruption; the program of the case reads it.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case-1 ] && [ -x target/release/apricotknot ] || exit 2
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec target/review/case-1
