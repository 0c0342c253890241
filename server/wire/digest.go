package wire

import (
	"slices"
	"time"

	peerv1 "github.com/lentilpick/lentilpick/api/peer/v1"

	"github.com/lentilpick/lentilpick/configuration"
	"github.com/lentilpick/lentilpick/membership"
	"github.com/lentilpick/lentilpick/types"
)

// Units of the values of a digest. With these units the load of a target takes seven bytes, unless its
// report is older than 6 s or more than 32,000 tokens wait for prefill.
const (
	ageUnit           = 50 * time.Millisecond
	prefillUnitTokens = 256
	kvUnitTokens      = 4 * types.BlockTokens
)

// Bits of the flags of a report.
const (
	flagRoleMask = 1<<2 - 1
	flagLeaving  = 1 << 2
	flagChanging = 1 << 3
	flagCarried  = 1 << 4 // model, version or adapters differ from the configuration and are in Carried
)

// ToDigest encodes the reports of the targets of one list.
func ToDigest(l *membership.TargetList, c *configuration.Config, reports map[types.TargetID]types.LoadReport, now time.Time) *peerv1.LoadDigest {
	d := &peerv1.LoadDigest{DataCentre: string(l.DataCentre), List: l.Hash}
	last := uint32(0) // index of the last encoded target
	for i := range uint32(l.Len()) {
		id, _ := l.At(i)
		r, ok := reports[id]
		if !ok {
			continue
		}
		appendLoad(d, i, i-last+1, c.Targets[id].Value, &r, now)
		last = i
	}
	return d
}

func appendLoad(d *peerv1.LoadDigest, i, step uint32, t configuration.Target, r *types.LoadReport, now time.Time) {
	flags := uint32(r.Role) & flagRoleMask
	if r.Leaving {
		flags |= flagLeaving
	}
	if r.Changing {
		flags |= flagChanging
	}
	if r.Model != t.Model || r.Version != t.Version || !slices.Equal(r.Adapters, t.Adapters) {
		flags |= flagCarried
		d.Carried = append(d.Carried, newCarried(i, r))
	}
	d.Step = append(d.Step, step)
	d.Age = append(d.Age, uint32(max(now.Sub(r.At), 0)/ageUnit))
	d.Prefill = append(d.Prefill, uint32((r.QueuedPrefillTokens+prefillUnitTokens-1)/prefillUnitTokens))
	d.DecodeStreams = append(d.DecodeStreams, uint32(r.DecodeStreams))
	d.Running = append(d.Running, uint32(r.Running))
	d.KvFree = append(d.KvFree, uint32(r.KVFreeTokens/kvUnitTokens))
	d.Flags = append(d.Flags, flags)
}

func newCarried(i uint32, r *types.LoadReport) *peerv1.Carried {
	c := &peerv1.Carried{Index: i, Model: string(r.Model), Version: r.Version}
	for _, a := range r.Adapters {
		c.Adapters = append(c.Adapters, string(a))
	}
	return c
}

// FromDigest calls visit for every report of a digest. A digest for a different target list, or one
// whose lists differ in length, is dropped; ok is then false.
func FromDigest(d *peerv1.LoadDigest, l *membership.TargetList, c *configuration.Config, now time.Time, visit func(types.TargetID, types.LoadReport)) (ok bool) {
	n := len(d.GetStep())
	if d.GetList() != l.Hash || !allHaveLength(n, d.GetAge(), d.GetPrefill(), d.GetDecodeStreams(), d.GetRunning(), d.GetKvFree(), d.GetFlags()) {
		return false
	}
	carried := make(map[uint32]*peerv1.Carried, len(d.GetCarried()))
	for _, v := range d.GetCarried() {
		carried[v.GetIndex()] = v
	}
	i := uint32(0)
	for k := range n {
		i += d.Step[k] - 1
		id, ok := l.At(i)
		if !ok || d.Flags[k]&flagRoleMask >= uint32(types.RoleCount) {
			continue
		}
		visit(id, decodeReport(d, k, c.Targets[id].Value, carried[i], now))
	}
	return true
}

func allHaveLength(n int, lists ...[]uint32) bool {
	for _, l := range lists {
		if len(l) != n {
			return false
		}
	}
	return true
}

func decodeReport(d *peerv1.LoadDigest, k int, t configuration.Target, carried *peerv1.Carried, now time.Time) types.LoadReport {
	r := types.LoadReport{
		At: now.Add(-time.Duration(d.Age[k]) * ageUnit), Role: types.Role(d.Flags[k] & flagRoleMask),
		Model: t.Model, Version: t.Version, Adapters: t.Adapters,
		QueuedPrefillTokens: int(d.Prefill[k]) * prefillUnitTokens, DecodeStreams: int(d.DecodeStreams[k]),
		Running: int(d.Running[k]), KVFreeTokens: int(d.KvFree[k]) * kvUnitTokens,
		Leaving: d.Flags[k]&flagLeaving != 0, Changing: d.Flags[k]&flagChanging != 0,
	}
	if d.Flags[k]&flagCarried != 0 && carried != nil {
		r.Model, r.Version, r.Adapters = types.ModelID(carried.GetModel()), carried.GetVersion(), nil
		for _, a := range carried.GetAdapters() {
			r.Adapters = append(r.Adapters, types.AdapterID(a))
		}
	}
	return r
}

// TargetLists returns the target list of each data centre in a configuration.
func TargetLists(c *configuration.Config) map[types.DataCentreID]*membership.TargetList {
	ids := map[types.DataCentreID][]types.TargetID{}
	for id, t := range c.Targets {
		ids[t.Value.DataCentre] = append(ids[t.Value.DataCentre], id)
	}
	out := make(map[types.DataCentreID]*membership.TargetList, len(ids))
	for dc, list := range ids {
		out[dc] = membership.NewTargetList(dc, list)
	}
	return out
}
