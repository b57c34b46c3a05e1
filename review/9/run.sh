#!/bin/sh
# Case 9. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays it without the disruption. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/release/review-stand-ins-2 ] || exit 2
exec timeout -k 2 115 target/review-2/release/review-stand-ins-2 core review/9/record.txt
