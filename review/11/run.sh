#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/apricotknot ] && [ -x target/review-2/case-11 ] || exit 2
exec target/review-2/case-11 review/11
