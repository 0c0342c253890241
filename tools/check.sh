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
go vet work
go run -C tools honnef.co/go/tools/cmd/staticcheck -version >/dev/null
bin=$(mktemp)
trap 'rm -f "$bin"' EXIT
go build -C tools -o "$bin" honnef.co/go/tools/cmd/staticcheck
for m in */go.mod; do
	(cd "$(dirname "$m")" && "$bin" ./...)
done
