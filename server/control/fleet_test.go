package control

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/logclient"
)

// Guards against a quarantine that ends early because the lagging list does not
// show a new VM yet, and against an order that opens a leaving target again.
func TestListOfVMs(t *testing.T) {
	f := newFleetState("self")
	f.setVMs([]logclient.VM{{Name: "old", Address: "127.0.0.1"}})
	assert.Assert(t, !f.vmGone("new"))
	assert.Assert(t, !f.addressLeaving("127.0.0.1:80"))
	f.setVMs([]logclient.VM{{Name: "new", Address: "127.0.0.1", Leaving: true}})
	assert.Assert(t, f.vmGone("old"))
	assert.Assert(t, !f.vmGone("new"))
	assert.Assert(t, f.addressLeaving("127.0.0.1:80"))
}
