package control

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/logclient"
)

// Guards against a quarantine that ends early because the platform's list lags and
// does not contain a new VM yet, and against an order that reopens a leaving target.
func TestVMList(t *testing.T) {
	f := newFleetState("self")
	f.setVMs([]logclient.VM{{Name: "old", Address: "127.0.0.1"}})
	assert.Assert(t, !f.vmRemoved("new"))
	assert.Assert(t, !f.addressLeaving("127.0.0.1:80"))
	f.setVMs([]logclient.VM{{Name: "new", Address: "127.0.0.1", Leaving: true}})
	assert.Assert(t, f.vmRemoved("old"))
	assert.Assert(t, !f.vmRemoved("new"))
	assert.Assert(t, f.addressLeaving("127.0.0.1:80"))
}
