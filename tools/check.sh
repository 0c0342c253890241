#!/usr/bin/env bash
# Formatter, vet and staticcheck over all modules; exits non-zero on a finding.
set -euo pipefail
cd "$(dirname "$0")/.."
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
	echo "gofmt: run 'make fmt' for:" >&2
	echo "$unformatted" >&2
	exit 1
fi
# Times of day jump: ages and pauses are kept as clock.Instant or clock.Nanos. The
# exceptions are the clock itself, the log's own times and simulated ones.
wall=$(git grep -nE 'Unix(Nano|Milli|Micro)\(\)|time\.Unix(Milli|Micro)?\(' -- '*.go' ':!*_test.go' ':!clock' ':!standin' ':!measure/sim.go' ':!logclient/http.go' || true)
if [ -n "$wall" ]; then
	echo "times of day that are kept as numbers; use package clock:" >&2
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
