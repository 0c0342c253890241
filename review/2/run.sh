#!/bin/sh
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/harness ] && [ -x target/lentilpick-node ] || exit 2
export TROUBLE="${TROUBLE:-1}" REVIEW_CASE=crash-event REVIEW_FOLDER=review/2
exec target/review/harness
