package ctl

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const logs = `not JSON r1
   1.2 front-2 {"msg":"outcome","request_id":"r1","vm":"front-2","time":"2026-07-20T10:00:02Z","elapsed_ms":40.5,"outcome":"not_run","reason":"no_target","tries":1,"configuration":7}
   1.1 front-1 {"msg":"send","request_id":"r1","vm":"front-1","time":"2026-07-20T10:00:01Z","elapsed_ms":0.2,"target":"i-1","service":"desk","stage":"whole","predicted_ms":15,"route":"once","configuration":7}
   1.3 front-1 {"msg":"send","request_id":"r12","vm":"front-1","time":"2026-07-20T10:00:01Z"}
   1.4 front-1 {"msg":"no_retry","request_id":"r1","vm":"front-1","time":"2026-07-20T10:00:01.5Z","elapsed_ms":500,"target":"i-1","reason":"target_silent","error":"made no progress"}
   1.5 front-1 {"msg":"no_retry","request_id":"r2","vm":"front-1","time":"2026-07-20T10:00:01.5Z","elapsed_ms":500,"target":"i-1","reason":"truncated","error":"EOF","events":0,"parts":"5c1e07a2,91bd3f06"}
{"msg":"send","request_id":"r1"
`

// Guards against output with lines of another request or with the lines of several
// nodes out of order, and against a command that fails on a line it cannot decode.
func TestExplain(t *testing.T) {
	var out bytes.Buffer
	c := ExplainCmd{ID: "r1", in: strings.NewReader(logs)}
	assert.NilError(t, c.Run(&Globals{out: &out}))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Equal(t, len(lines), 3)
	assert.Equal(t, lines[0], "10:00:01.000 front-1 +0.2 ms: sent to i-1 of desk (whole), first result predicted in 15.0 ms, 0 tokens to read; route once, configuration 7")
	assert.Equal(t, lines[1], "10:00:01.500 front-1 +500.0 ms: i-1 failed (target_silent: made no progress), not tried again")
	assert.Equal(t, lines[2], "10:00:02.000 front-2 +40.5 ms: refused and not run: no_target, 1 calls, by configuration 7")
	err := (&ExplainCmd{ID: "r9", in: strings.NewReader(logs)}).Run(&Globals{out: &out})
	assert.ErrorContains(t, err, "r9")
}

// Guards against a broken stream that is explained without its prompt parts, so that requests
// that crash engines cannot be told from those that are in progress beside them.
func TestExplainNamesPromptParts(t *testing.T) {
	var out bytes.Buffer
	c := ExplainCmd{ID: "r2", in: strings.NewReader(logs)}
	assert.NilError(t, c.Run(&Globals{out: &out}))
	assert.Equal(t, strings.TrimSpace(out.String()), "10:00:01.500 front-1 +500.0 ms: i-1 failed (truncated: EOF) after 0 events, prompt parts 5c1e07a2,91bd3f06, not tried again")
}

// Guards against a missing request that is explained only as answered although its
// node was killed, and against a planned stop that counts as a kill.
func TestExplainNamesKilledNodes(t *testing.T) {
	const nodeLogs = `{"msg":"started","vm":"front-1","time":"2026-07-20T10:00:00Z"}
{"msg":"started","vm":"front-2","time":"2026-07-20T10:00:00Z"}
{"msg":"stopped","vm":"front-2","time":"2026-07-20T10:00:04Z"}
{"msg":"started","vm":"front-1","time":"2026-07-20T10:00:05Z"}
{"msg":"started","vm":"front-2","time":"2026-07-20T10:00:06Z"}
`
	err := (&ExplainCmd{ID: "r9", in: strings.NewReader(nodeLogs)}).Run(&Globals{out: &bytes.Buffer{}})
	assert.ErrorContains(t, err, "front-1 before 10:00:05.000")
	assert.Assert(t, !strings.Contains(err.Error(), "front-2"))
}
