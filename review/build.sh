#!/bin/sh
# Builds the stand-ins of the review's scripts. The nodes are built by deploy/system.toml.
set -eu
cd "$(dirname "$0")/harness"
mkdir -p ../../target/review
GOWORK=off go test -c -o ../../target/review/harness .
