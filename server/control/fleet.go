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

// fleetState holds the latest load reports, the peers, and which targets and VMs
// are leaving. Only the control path uses it, not the path of a request.
type fleetState struct {
	mu      sync.Mutex
	reports map[types.TargetID]types.LoadReport
	// direct holds the targets whose latest report this daemon read itself.
	direct map[types.TargetID]bool
	peers  *membership.Table
	vms    vmList
	// leavingByPeer holds the leaving targets that each peer reported.
	leavingByPeer map[types.VMID][]types.TargetID
	// daemonsByPeer holds the daemons that each peer reported: its entry daemon or,
	// for a peer in another data centre, all daemons there.
	daemonsByPeer map[types.VMID][]DaemonStatus
	// demandByPeer holds the demand that each peer's entry daemon received from callers.
	demandByPeer map[types.VMID]vmDemand
	// lists are the target lists of configuration revision listsRevision.
	lists         map[types.DataCentreID]*membership.TargetList
	listsRevision types.Revision
}

// vmDemand is the cumulative demand at one incarnation of a daemon.
type vmDemand struct {
	vm          types.VMID
	dc          types.DataCentreID
	incarnation string
	models      []*peerv1.ModelDemand
}

// vmList is the platform's list of VMs as last read. listed maps each VM that was
// ever listed to whether the latest list contains it.
type vmList struct {
	listed  map[types.VMID]bool
	leaving map[netip.Addr]bool
}

// peerTimeout is the time without a message after which a peer counts as down: three
// heartbeat intervals within a data centre.
const peerTimeout = 3 * time.Second

func newFleetState(self types.VMID) *fleetState {
	return &fleetState{
		reports: map[types.TargetID]types.LoadReport{}, direct: map[types.TargetID]bool{},
		peers: membership.NewTable(self, peerTimeout), leavingByPeer: map[types.VMID][]types.TargetID{},
		daemonsByPeer: map[types.VMID][]DaemonStatus{}, vms: vmList{listed: map[types.VMID]bool{}},
		demandByPeer: map[types.VMID]vmDemand{},
	}
}

// putReport stores a report unless a newer one is stored. direct reports that this
// daemon read it from the target.
func (f *fleetState) putReport(id types.TargetID, r types.LoadReport, direct bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.putReportLocked(id, r, direct)
}

func (f *fleetState) putReportLocked(id types.TargetID, r types.LoadReport, direct bool) {
	if old, ok := f.reports[id]; ok && old.At.After(r.At) {
		return
	}
	f.reports[id] = r
	if direct {
		f.direct[id] = true
	} else {
		delete(f.direct, id)
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
	wire.FromDigest(d, l, c, now, func(id types.TargetID, r types.LoadReport) { f.putReportLocked(id, r, false) })
}

// listsFor returns the target lists of a configuration. The caller holds the lock.
func (f *fleetState) listsFor(c *configuration.Config) map[types.DataCentreID]*membership.TargetList {
	if f.lists == nil || f.listsRevision != c.Revision {
		f.lists, f.listsRevision = wire.TargetLists(c), c.Revision
		f.dropUnconfigured(c)
	}
	return f.lists
}

// dropUnconfigured removes the reports of targets that are no longer configured. The
// caller holds the lock.
func (f *fleetState) dropUnconfigured(c *configuration.Config) {
	for id := range f.reports {
		if _, ok := c.Targets[id]; !ok {
			delete(f.reports, id)
			delete(f.direct, id)
		}
	}
}

// directDigest returns the loads of the targets in dc whose reports this daemon reads.
func (f *fleetState) directDigest(c *configuration.Config, dc types.DataCentreID, now time.Time) *peerv1.LoadDigest {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.listsFor(c)[dc]
	if l == nil {
		return nil
	}
	reports := make(map[types.TargetID]types.LoadReport, len(f.direct))
	for id := range f.direct {
		reports[id] = f.reports[id]
	}
	return wire.ToDigest(l, c, reports, now)
}

// digest returns the loads of all targets in a data centre.
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

// recordPeer records that a peer sent a message, and the leaving targets in it.
func (f *fleetState) recordPeer(p membership.Peer, leaving []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peers.Update(p)
	targets := make([]types.TargetID, len(leaving))
	for i, id := range leaving {
		targets[i] = types.TargetID(id)
	}
	f.leavingByPeer[p.VM] = targets
	f.removeExpiredPeers(p.LastSeen)
}

// peerRetention is how long a VM stays in the status after its last message.
const peerRetention = 10 * time.Minute

// removeExpiredPeers removes peers that have sent nothing within peerRetention, since
// VMs are replaced under new names. The caller holds the lock.
func (f *fleetState) removeExpiredPeers(now time.Time) {
	for _, vm := range f.peers.RemoveStale(now.Add(-peerRetention)) {
		delete(f.leavingByPeer, vm)
		delete(f.daemonsByPeer, vm)
		delete(f.demandByPeer, vm)
	}
}

// peersAhead returns the VMs of peers with a newer revision than the given one.
func (f *fleetState) peersAhead(revision types.Revision) map[types.VMID]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[types.VMID]bool{}
	for _, p := range f.peers.Peers() {
		if p.Revision > revision {
			out[p.VM] = true
		}
	}
	return out
}

// setPeerDemand records the cumulative demand at a peer's entry daemon.
func (f *fleetState) setPeerDemand(p membership.Peer, models []*peerv1.ModelDemand) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.demandByPeer[p.VM] = vmDemand{p.VM, p.DataCentre, p.Incarnation, models}
}

// peerDemand returns the cumulative demand at the peers in a data centre.
func (f *fleetState) peerDemand(dc types.DataCentreID) []vmDemand {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []vmDemand
	for _, d := range f.demandByPeer {
		if d.dc == dc {
			out = append(out, d)
		}
	}
	return out
}

// setPeerDaemons records the daemons that a peer reported.
func (f *fleetState) setPeerDaemons(by types.VMID, daemons []DaemonStatus) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.daemonsByPeer[by] = daemons
}

// livePeers returns this daemon and the live peers in a data centre, sorted.
func (f *fleetState) livePeers(dc types.DataCentreID, now time.Time) []types.VMID {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.peers.Live(dc, now)
}

// daemons returns the peers and the daemons that they reported.
func (f *fleetState) daemons(now time.Time) []DaemonStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	seen := map[types.VMID]bool{}
	var out []DaemonStatus
	for _, p := range f.peers.Peers() {
		seen[p.VM] = true
		out = append(out, DaemonStatus{p.VM, p.DataCentre, p.Revision, now.Sub(p.LastSeen), "control"})
	}
	for _, list := range f.daemonsByPeer {
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
	l := vmList{listed: f.vms.listed, leaving: map[netip.Addr]bool{}}
	for vm := range l.listed {
		l.listed[vm] = false
	}
	for _, v := range vms {
		l.listed[v.Name] = true
		a, err := netip.ParseAddr(v.Address)
		if err == nil && v.Leaving {
			l.leaving[a] = true
		}
	}
	f.vms = l
}

// vmRemoved reports whether the platform has listed the VM earlier and no longer
// does. The list lags, so a VM that was never listed may be new.
func (f *fleetState) vmRemoved(vm types.VMID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	listed, seen := f.vms.listed[vm]
	return seen && !listed
}

// localLeaving returns the targets that this daemon takes as leaving: those on VMs
// that the platform lists as leaving and those whose load report says so.
func (f *fleetState) localLeaving(c *configuration.Config) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for id, t := range c.Targets {
		if f.reports[id].Leaving || f.addressLeavingLocked(t.Value.Address) {
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
	return f.addressLeavingLocked(address)
}

func (f *fleetState) addressLeavingLocked(address string) bool {
	if len(f.vms.leaving) == 0 {
		return false
	}
	a, err := netip.ParseAddrPort(address)
	return err == nil && f.vms.leaving[a.Addr()]
}

// leavingTargets returns the targets that are leaving according to this daemon or to
// a peer that sent a message within leavingNoticeTTL. It may list a target repeatedly.
func (f *fleetState) leavingTargets(c *configuration.Config, now time.Time) []string {
	out := f.localLeaving(c)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.peers.Peers() {
		if now.Sub(p.LastSeen) > leavingNoticeTTL {
			continue
		}
		for _, id := range f.leavingByPeer[p.VM] {
			out = append(out, string(id))
		}
	}
	return out
}

// leavingNoticeTTL is how long a peer's list of leaving targets stays valid after its
// last message, so that it outlasts the peer by a few heartbeats.
const leavingNoticeTTL = 10 * time.Second
