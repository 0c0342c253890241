package control

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/sirupsen/logrus"

	peerv1 "github.com/lentilpick/lentilpick/api/peer/v1"

	"github.com/lentilpick/lentilpick/configuration"
	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/engine"
	"github.com/lentilpick/lentilpick/membership"
	"github.com/lentilpick/lentilpick/platform"
	"github.com/lentilpick/lentilpick/server/wire"
	"github.com/lentilpick/lentilpick/types"
)

// fleetState holds the newest load reports and the signs that targets or VMs
// are leaving. It is on the control path only.
type fleetState struct {
	mu      sync.Mutex
	reports map[types.TargetID]types.LoadReport
	// own holds the targets that this daemon reads itself.
	own map[types.TargetID]bool
	// leavingVMs holds the IP addresses of VMs that the platform lists as leaving.
	leavingVMs map[netip.Addr]bool
	// listedVMs says of each VM that the platform ever listed whether it is in
	// the newest list.
	listedVMs map[types.VMID]bool
	peers     *membership.Table
}

func newFleetState(self types.VMID) *fleetState {
	return &fleetState{
		reports: map[types.TargetID]types.LoadReport{}, own: map[types.TargetID]bool{},
		leavingVMs: map[netip.Addr]bool{}, listedVMs: map[types.VMID]bool{},
		peers: membership.NewTable(self, suspectAfter),
	}
}

// suspectAfter is the time without an exchange after which a peer is not live.
const suspectAfter = 3 * time.Second

// put stores a report unless a newer one is known.
func (f *fleetState) put(id types.TargetID, r types.LoadReport, own bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
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

// loads returns the digests of the targets; with ownOnly, of those that this
// daemon reads itself.
func (f *fleetState) loads(now time.Time, ownOnly bool) []*peerv1.TargetLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]*peerv1.TargetLoad, 0, len(f.reports))
	for id, r := range f.reports {
		if !ownOnly || f.own[id] {
			out = append(out, wire.ToLoad(id, &r, now))
		}
	}
	return out
}

func (f *fleetState) report(id types.TargetID) (types.LoadReport, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.reports[id]
	return r, ok
}

func (f *fleetState) heard(p membership.Peer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peers.Heard(p)
}

func (f *fleetState) live(dc types.DataCentreID, now time.Time) []types.VMID {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.peers.Live(dc, now)
}

func (f *fleetState) allPeers() []membership.Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.peers.Peers()
}

func (f *fleetState) setVMs(vms []platform.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.leavingVMs)
	for vm := range f.listedVMs {
		f.listedVMs[vm] = false
	}
	for _, v := range vms {
		f.listedVMs[v.Name] = true
		a, err := netip.ParseAddr(v.Address)
		if err == nil && v.Leaving {
			f.leavingVMs[a] = true
		}
	}
}

// vmGone reports whether the platform has listed the VM and lists it no more.
// The list lags, so a VM that was never listed may be a new one.
func (f *fleetState) vmGone(vm types.VMID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	listed, seen := f.listedVMs[vm]
	return seen && !listed
}

// leaving returns the targets on VMs that the platform lists as leaving.
func (f *fleetState) leaving(c *configuration.Config) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.leavingVMs) == 0 {
		return nil
	}
	var out []string
	for id, t := range c.Targets {
		a, err := netip.ParseAddrPort(t.Value.Address)
		if err == nil && f.leavingVMs[a.Addr()] {
			out = append(out, string(id))
		}
	}
	return out
}

// addressLeaving reports whether the platform lists the VM at the address of a
// target as leaving.
func (f *fleetState) addressLeaving(address string) bool {
	a, err := netip.ParseAddrPort(address)
	f.mu.Lock()
	defer f.mu.Unlock()
	return err == nil && f.leavingVMs[a.Addr()]
}

// forget drops the reports of targets that are not configured any more.
func (f *fleetState) forget(c *configuration.Config) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.reports {
		if _, ok := c.Targets[id]; !ok {
			delete(f.reports, id)
			delete(f.own, id)
		}
	}
}

// reportReader reads the load reports of the targets that are assigned to this
// daemon.
type reportReader struct {
	self   types.VMID
	dc     types.DataCentreID
	log    *logrus.Entry
	config func() *configuration.Config
	fleet  *fleetState
	client *engine.Client
	pool   *ants.Pool
	every  time.Duration
}

func (r *reportReader) run(ctx context.Context) {
	tick := time.NewTicker(r.every)
	defer tick.Stop()
	for {
		r.readAll(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (r *reportReader) readAll(now time.Time) {
	c := r.config()
	r.fleet.forget(c)
	live := r.fleet.live(r.dc, now)
	for id, t := range c.Targets {
		if t.Value.DataCentre != r.dc || !membership.Reads(r.self, live, id) {
			continue
		}
		// A full pool drops this read; the next tick reads again.
		_ = r.pool.Submit(func() { r.read(id, t.Value.Address) })
	}
}

func (r *reportReader) read(id types.TargetID, address string) {
	rep, err := r.client.Report(address)
	if err != nil {
		r.log.WithError(err).WithField(daemon.FieldTarget, id).Debug("load report was not read")
		return
	}
	r.fleet.put(id, wire.FromReport(rep, time.Now()), true)
}
