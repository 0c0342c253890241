#!/usr/bin/env bash
# Runs gofmt, go vet and staticcheck on all modules; exits non-zero on a finding.
set -euo pipefail
cd "$(dirname "$0")/.."
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
	echo "not formatted, run 'make fmt':" >&2
	echo "$unformatted" >&2
	exit 1
fi
# The wall clock may step, so ages and time-outs are stored as clock.Instant or
# clock.Nanos. Exceptions: package clock, timestamps of the log, and simulated time.
wall=$(git grep -nE 'Unix(Nano|Milli|Micro)\(\)|time\.Unix(Milli|Micro)?\(' -- '*.go' ':!*_test.go' ':!clock' ':!standin' ':!measure/sim.go' ':!logclient/http.go' || true)
if [ -n "$wall" ]; then
	echo "wall-clock times stored as numbers, use package clock:" >&2
	echo "$wall" >&2
	exit 1
fi
go vet work
go run -C tools honnef.co/go/tools/cmd/staticcheck -version >/dev/null
bin=$(mktemp)
trap 'rm -f "$bin"' EXIT
go build -C tools -o "$bin" honnef.co/go/tools/cmd/staticcheck
for m in */go.mod; do
	(cd "$(dirname "$m")" && "$bin" ./...)
done
