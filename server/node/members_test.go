package node

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// registered reports whether the store has a record of the node.
func (w *testEnv) registered() bool {
	key := string(w.vm)
	var newest string
	for _, r := range w.store.Records("keyed." + membersTopic) {
		if k := string(r[1 : 1+r[0]]); k == key {
			newest = string(r[1+r[0]:])
		}
	}
	return strings.Contains(newest, key)
}

// Guards against a node that runs without being a member, because the store carries out the removal
// of its record by the process before it only after it has registered.
func TestLateRemovalOfEarlierProcess(t *testing.T) {
	w := newEnvWithNode(t, 0)
	w.configure()
	w.awaitReady()
	w.waitFor("the node to register", w.registered)
	w.store.Put("keyed."+membersTopic, string(w.vm), nil)
	assert.Assert(t, !w.registered())
	removed := time.Now()
	for !w.registered() && time.Since(removed) < 15*time.Second {
		time.Sleep(50 * time.Millisecond)
	}
	assert.Assert(t, w.registered(), "no record %s after its removal", time.Since(removed))
	w.stop()
	assert.Assert(t, !w.registered(), "the record of a stopped node remains")
}
