package control

import (
	"net/netip"
	"sync"
	"time"

	peerv1 "github.com/lentilpick/lentilpick/api/peer/v1"

	"github.com/lentilpick/lentilpick/configuration"
	"github.com/lentilpick/lentilpick/logclient"
	"github.com/lentilpick/lentilpick/membership"
	"github.com/lentilpick/lentilpick/server/wire"
	"github.com/lentilpick/lentilpick/types"
)

// fleetState holds the newest load reports, the peers, and the signs that
// targets or VMs are leaving. It is on the control path only.
type fleetState struct {
	mu      sync.Mutex
	reports map[types.TargetID]types.LoadReport
	// own holds the targets that this daemon reads itself.
	own   map[types.TargetID]bool
	peers *membership.Table
	vms   vmList
	// told holds the leaving targets that each peer named.
	told map[types.VMID][]types.TargetID
	// named holds the daemons that each peer named: its entry daemon, or all
	// daemons of another data centre.
	named map[types.VMID][]DaemonStatus
	// demand holds the work that callers asked of each peer's entry daemon.
	demand map[types.VMID]vmDemand
	// lists belongs to the configuration revision listsAt.
	lists   map[types.DataCentreID]*membership.TargetList
	listsAt types.Revision
}

// vmDemand is the cumulative demand of one run of a daemon.
type vmDemand struct {
	vm          types.VMID
	dc          types.DataCentreID
	incarnation string
	models      []*peerv1.ModelDemand
}

// vmList is the platform's list of VMs as it was last read. names says of each
// VM that was ever listed whether it is in the newest list.
type vmList struct {
	names   map[types.VMID]bool
	leaving map[netip.Addr]bool
}

// suspectAfter is the time without a message after which a peer is not live.
// It is three heartbeats within a data centre.
const suspectAfter = 3 * time.Second

func newFleetState(self types.VMID) *fleetState {
	return &fleetState{
		reports: map[types.TargetID]types.LoadReport{}, own: map[types.TargetID]bool{},
		peers: membership.NewTable(self, suspectAfter), told: map[types.VMID][]types.TargetID{},
		named: map[types.VMID][]DaemonStatus{}, vms: vmList{names: map[types.VMID]bool{}},
		demand: map[types.VMID]vmDemand{},
	}
}

// put stores a report unless a newer one is known.
func (f *fleetState) put(id types.TargetID, r types.LoadReport, own bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.putLocked(id, r, own)
}

func (f *fleetState) putLocked(id types.TargetID, r types.LoadReport, own bool) {
	if old, ok := f.reports[id]; ok && old.At.After(r.At) {
		return
	}
	f.reports[id] = r
	if own {
		f.own[id] = true
	} else {
		delete(f.own, id)
	}
}

// putDigest stores the reports of a peer's digest.
func (f *fleetState) putDigest(c *configuration.Config, d *peerv1.LoadDigest, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.listsFor(c)[types.DataCentreID(d.GetDataCentre())]
	if l == nil {
		return
	}
	wire.FromDigest(d, l, c, now, func(id types.TargetID, r types.LoadReport) { f.putLocked(id, r, false) })
}

// listsFor returns the target lists of a configuration. The lock is held.
func (f *fleetState) listsFor(c *configuration.Config) map[types.DataCentreID]*membership.TargetList {
	if f.lists == nil || f.listsAt != c.Revision {
		f.lists, f.listsAt = wire.TargetLists(c), c.Revision
		f.forget(c)
	}
	return f.lists
}

// forget drops the reports of targets that are not configured any more. The
// lock is held.
func (f *fleetState) forget(c *configuration.Config) {
	for id := range f.reports {
		if _, ok := c.Targets[id]; !ok {
			delete(f.reports, id)
			delete(f.own, id)
		}
	}
}

// ownDigest returns the loads of the targets that this daemon reads.
func (f *fleetState) ownDigest(c *configuration.Config, dc types.DataCentreID, now time.Time) *peerv1.LoadDigest {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.listsFor(c)[dc]
	if l == nil {
		return nil
	}
	reports := make(map[types.TargetID]types.LoadReport, len(f.own))
	for id := range f.own {
		reports[id] = f.reports[id]
	}
	return wire.ToDigest(l, c, reports, now)
}

// digest returns the loads of all targets of a data centre.
func (f *fleetState) digest(c *configuration.Config, dc types.DataCentreID, now time.Time) *peerv1.LoadDigest {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.listsFor(c)[dc]
	if l == nil {
		return nil
	}
	return wire.ToDigest(l, c, f.reports, now)
}

// digests returns the loads of all targets, by data centre.
func (f *fleetState) digests(c *configuration.Config, now time.Time) []*peerv1.LoadDigest {
	f.mu.Lock()
	defer f.mu.Unlock()
	lists := f.listsFor(c)
	out := make([]*peerv1.LoadDigest, 0, len(lists))
	for _, l := range lists {
		out = append(out, wire.ToDigest(l, c, f.reports, now))
	}
	return out
}

func (f *fleetState) report(id types.TargetID) (types.LoadReport, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.reports[id]
	return r, ok
}

// heard records a message of a peer and the leaving targets that it named.
func (f *fleetState) heard(p membership.Peer, leaving []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peers.Update(p)
	told := make([]types.TargetID, len(leaving))
	for i, id := range leaving {
		told[i] = types.TargetID(id)
	}
	f.told[p.VM] = told
	f.forgetPeers(p.LastSeen)
}

// forgetAfter is how long a VM that is not heard of stays in the status.
const forgetAfter = 10 * time.Minute

// forgetPeers drops what is known of peers that are long gone, since VMs are
// replaced under new names. The lock is held.
func (f *fleetState) forgetPeers(now time.Time) {
	for _, vm := range f.peers.RemoveStale(now.Add(-forgetAfter)) {
		delete(f.told, vm)
		delete(f.named, vm)
		delete(f.demand, vm)
	}
}

// ahead returns the VMs of peers whose revision is above own.
func (f *fleetState) ahead(own types.Revision) map[types.VMID]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[types.VMID]bool{}
	for _, p := range f.peers.Peers() {
		if p.Revision > own {
			out[p.VM] = true
		}
	}
	return out
}

// setDemand records the cumulative demand of a peer's entry daemon.
func (f *fleetState) setDemand(p membership.Peer, models []*peerv1.ModelDemand) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.demand[p.VM] = vmDemand{p.VM, p.DataCentre, p.Incarnation, models}
}

// peerDemand returns the cumulative demand of the peers of a data centre.
func (f *fleetState) peerDemand(dc types.DataCentreID) []vmDemand {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []vmDemand
	for _, d := range f.demand {
		if d.dc == dc {
			out = append(out, d)
		}
	}
	return out
}

// setNamed records the daemons that a peer named.
func (f *fleetState) setNamed(by types.VMID, daemons []DaemonStatus) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.named[by] = daemons
}

func (f *fleetState) live(dc types.DataCentreID, now time.Time) []types.VMID {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.peers.Live(dc, now)
}

// daemons returns the peers and the daemons that they named.
func (f *fleetState) daemons(now time.Time) []DaemonStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	seen := map[types.VMID]bool{}
	var out []DaemonStatus
	for _, p := range f.peers.Peers() {
		seen[p.VM] = true
		out = append(out, DaemonStatus{p.VM, p.DataCentre, p.Revision, now.Sub(p.LastSeen), "control"})
	}
	for _, list := range f.named {
		for _, d := range list {
			if d.Kind == "entry" || !seen[d.VM] {
				out = append(out, d)
			}
		}
	}
	return out
}

func (f *fleetState) setVMs(vms []logclient.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := vmList{names: f.vms.names, leaving: map[netip.Addr]bool{}}
	for vm := range l.names {
		l.names[vm] = false
	}
	for _, v := range vms {
		l.names[v.Name] = true
		a, err := netip.ParseAddr(v.Address)
		if err == nil && v.Leaving {
			l.leaving[a] = true
		}
	}
	f.vms = l
}

// vmGone reports whether the platform has listed the VM and lists it no more.
// The list lags, so a VM that was never listed may be a new one.
func (f *fleetState) vmGone(vm types.VMID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	listed, seen := f.vms.names[vm]
	return seen && !listed
}

// ownLeaving returns the targets on VMs that the platform lists as leaving and
// those whose own report says so.
func (f *fleetState) ownLeaving(c *configuration.Config) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for id, t := range c.Targets {
		if f.reports[id].Leaving || f.listedLeaving(t.Value.Address) {
			out = append(out, string(id))
		}
	}
	return out
}

// addressLeaving reports whether the platform lists the VM at the address of a
// target as leaving.
func (f *fleetState) addressLeaving(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listedLeaving(address)
}

func (f *fleetState) listedLeaving(address string) bool {
	if len(f.vms.leaving) == 0 {
		return false
	}
	a, err := netip.ParseAddrPort(address)
	return err == nil && f.vms.leaving[a.Addr()]
}

// leaving returns the targets that are leaving by this daemon's signs or those
// of any peer that was heard of lately.
func (f *fleetState) leaving(c *configuration.Config, now time.Time) []string {
	out := f.ownLeaving(c)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.peers.Peers() {
		if now.Sub(p.LastSeen) > leavingKept {
			continue
		}
		for _, id := range f.told[p.VM] {
			out = append(out, string(id))
		}
	}
	return out
}

// leavingKept is how long a peer's notice of leaving targets holds after its
// last message, so that the notice outlives the peer by a few heartbeats.
const leavingKept = 10 * time.Second
