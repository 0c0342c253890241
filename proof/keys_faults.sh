#!/usr/bin/env bash
# Applies one fault at a time to a temporary copy of the code and checks that a test
# detects it. docs/testing.md lists the faults. Usage: keys_faults.sh
set -euo pipefail
cd "$(dirname "$0")/.."
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
missed=0

# fault NAME FILE SED PACKAGE TEST [FLAGS...]
fault() {
	local name=$1 file=$2 edit=$3 package=$4 test=$5
	shift 5
	rm -rf "${copy:?}"/*
	tar -c --exclude=./bin --exclude=./out . | tar -x -C "$copy"
	sed -i "$edit" "$copy/$file"
	if cmp -s "$file" "$copy/$file"; then
		echo "$name: the edit does not apply to $file"
		missed=1
	elif ! (cd "$copy" && go vet "$package" >/dev/null); then
		echo "$name: the changed code does not compile"
		missed=1
	elif (cd "$copy" && go test "$package" -run "^$test\$" -count=1 "$@" >"$copy/result" 2>&1); then
		echo "$name: NOT detected by $test $*"
		missed=1
	else
		echo "$name: detected by $test $*"
		grep -m1 -E "failed after|assertion failed" "$copy/result" | sed 's/^/  /' || true
	fi
}

stateful() { fault "$1" "$2" "$3" ./proof TestStatefulKeys -rapid.seed="$4" -rapid.checks=2000 -rapid.steps=60; }

stateful "second intent wins" idempotency/table.go 's/released || e.state != StateFree {/released {/' 1
stateful "released attempt revived" idempotency/table.go 's/if _, released := e.released\[r.Attempt\]; released || e.state/if e.state/' 1
stateful "judge before read-back" idempotency/claims.go 's/cl.intentIssued, cl.intentRead = true, false/cl.intentIssued, cl.Verdict = true, VerdictRun/' 1
stateful "key expires early" idempotency/table.go 's/Sub(t.expiryQueue\[n\].recordedAt) > t.settings.Window {/Sub(t.expiryQueue[n].recordedAt) > t.settings.Window\/4 {/' 1
stateful "release before intent is forgotten" idempotency/table.go 's/e = &entry{}/return/' 1
stateful "released key stays blocked" idempotency/table.go 's/e.state = StateFree$/e.state = StateUnknown/' 1
fault "retry of a call that is not idempotent" server/entry/call.go 's/ || (c.Class != types.ClassIdempotent \&\& a.Sent())//' ./server/entry TestKeyedCall
exit $missed
