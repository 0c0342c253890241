#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/lentilpick-node ] && [ -x target/review-2/cases ] || { echo "build first: fleetbench build, review/build-2.sh"; exit 2; }
REVIEW_CASE=takeup REVIEW_RECORD=review/8/record.txt exec target/review-2/cases
