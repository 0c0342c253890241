package membership

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/types"
)

// Guards against a target whose load report is read by no daemon or by several ones, when all
// daemons see the same members.
func TestEachTargetHasOneReader(t *testing.T) {
	live := []types.VMID{"a", "b", "c", "d"}
	reads := map[types.VMID]int{}
	for i := range 370 {
		readers := 0
		for _, vm := range live {
			if IsReportReader(vm, live, types.TargetID(fmt.Sprint("target-", i))) {
				readers++
				reads[vm]++
			}
		}
		assert.Equal(t, readers, 1)
	}
	for _, vm := range live {
		assert.Assert(t, reads[vm] > 0, vm)
	}
}

// Guards against assigning work to a peer that is stopping or from which no report has arrived
// in time.
func TestLiveExcludesUnresponsiveAndStoppingPeers(t *testing.T) {
	now := time.Unix(1000, 0)
	tb := NewTable("a", 3*time.Second)
	tb.Update(Peer{VM: "b", DataCentre: "x", LastSeen: now})
	tb.Update(Peer{VM: "c", DataCentre: "x", LastSeen: now.Add(-4 * time.Second)})
	tb.Update(Peer{VM: "d", DataCentre: "x", LastSeen: now, Stopping: true})
	tb.Update(Peer{VM: "e", DataCentre: "y", LastSeen: now})
	assert.DeepEqual(t, tb.Live("x", now), []types.VMID{"a", "b"})
}

// Guards against decoding a digest with a list of other targets.
func TestTargetListHashDependsOnContent(t *testing.T) {
	a := NewTargetList("x", []types.TargetID{"t2", "t1"})
	b := NewTargetList("x", []types.TargetID{"t1", "t2"})
	c := NewTargetList("x", []types.TargetID{"t1", "t2", "t3"})
	assert.Equal(t, a.Hash, b.Hash)
	assert.Assert(t, a.Hash != c.Hash)
	i, ok := c.Index("t3")
	assert.Assert(t, ok)
	id, _ := c.At(i)
	assert.Equal(t, id, types.TargetID("t3"))
	_, ok = c.At(3)
	assert.Assert(t, !ok)
}

// Guards against a table that grows with each replaced VM.
func TestRemoveStale(t *testing.T) {
	now := time.Unix(1000, 0)
	tb := NewTable("a", 3*time.Second)
	tb.Update(Peer{VM: "b", LastSeen: now.Add(-time.Hour)})
	tb.Update(Peer{VM: "c", LastSeen: now})
	assert.DeepEqual(t, tb.RemoveStale(now.Add(-time.Minute)), []types.VMID{"b"})
	assert.Equal(t, len(tb.Peers()), 1)
}
