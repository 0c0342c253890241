package control

import (
	"time"

	"github.com/lentilpick/lentilpick/types"
)

// Status is the state of the deployment as last reported to this daemon.
type Status struct {
	VM         types.VMID
	DataCentre types.DataCentreID
	Revision   types.Revision
	Lease      LeaseStatus
	LeaseHeld  bool
	Undecoded  int // configuration records that could not be decoded
	Daemons    []DaemonStatus
	Targets    []TargetStatus
}

// DaemonStatus is the state of one daemon.
type DaemonStatus struct {
	VM         types.VMID
	DataCentre types.DataCentreID
	Revision   types.Revision
	Age        time.Duration // since its last report
	Kind       string        // "control" or "entry"
}

// TargetStatus is the state of one target.
type TargetStatus struct {
	ID        types.TargetID
	Report    types.LoadReport
	HasReport bool // if false, Report and Age have no meaning
	Age       time.Duration
	Order     string // state of the last order
}

// Status returns the state of the deployment: of all daemons and targets, and of the
// lease of this data centre.
func (d *Daemon) Status(now time.Time) Status {
	c := d.config.Config()
	_, err := d.gate.Check(now, true, true)
	s := Status{
		VM: vmID(d.settings.VM), DataCentre: d.dc, Revision: c.Revision, Lease: *d.lease.status.Load(),
		LeaseHeld: err == nil, Undecoded: d.config.UndecodedRecords(),
	}
	s.Daemons = d.localDaemons(now)
	for _, r := range d.fleet.daemons(now) {
		if r.DataCentre != d.dc {
			s.Daemons = append(s.Daemons, r)
		}
	}
	for id := range c.Targets {
		r, ok := d.fleet.report(id)
		s.Targets = append(s.Targets, TargetStatus{id, r, ok, now.Sub(r.At), d.orders.status(id)})
	}
	return s
}
