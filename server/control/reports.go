package control

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/sirupsen/logrus"

	"github.com/lentilpick/lentilpick/configuration"
	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/engine"
	"github.com/lentilpick/lentilpick/membership"
	"github.com/lentilpick/lentilpick/server/wire"
	"github.com/lentilpick/lentilpick/types"
)

// reportReader reads the load reports of the targets that are assigned to this
// daemon, over one stream a target. A stream takes about 140 bytes a report;
// a poll takes about 400 with its headers.
type reportReader struct {
	self   types.VMID
	dc     types.DataCentreID
	log    *logrus.Entry
	config func() *configuration.Config
	fleet  *fleetState
	client *engine.Client
	pool   *ants.Pool
	every  time.Duration

	mu      sync.Mutex
	watched map[types.TargetID]string // address of the stream
}

const (
	assignEvery  = time.Second
	maxStreamAge = 5 * time.Minute
)

// run assigns targets to this daemon once a second, as peers come and go.
func (r *reportReader) run(ctx context.Context) {
	tick := time.NewTicker(assignEvery)
	defer tick.Stop()
	for {
		r.assign(ctx, time.Now())
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (r *reportReader) assign(ctx context.Context, now time.Time) {
	live := r.fleet.live(r.dc, now)
	r.fleet.mu.Lock()
	list := r.fleet.listsFor(r.config())[r.dc]
	r.fleet.mu.Unlock()
	if list == nil {
		return
	}
	wanted := map[types.TargetID]string{}
	c := r.config()
	for i := range list.Len() {
		id, _ := list.At(uint32(i))
		if t, ok := c.Targets[id]; ok && membership.IsReportReader(r.self, live, id) {
			wanted[id] = t.Value.Address
		}
	}
	r.start(ctx, wanted)
}

// start begins the streams that are wanted and not yet open. A stream that is
// not wanted any more ends at its next report.
func (r *reportReader) start(ctx context.Context, wanted map[types.TargetID]string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, address := range wanted {
		if r.watched[id] == address {
			continue
		}
		r.watched[id] = address
		// A full pool drops this stream; the next assignment begins it.
		if r.pool.Submit(func() { r.watch(ctx, id, address) }) != nil {
			delete(r.watched, id)
		}
	}
	for id := range r.watched {
		if _, ok := wanted[id]; !ok {
			delete(r.watched, id)
		}
	}
}

func (r *reportReader) wanted(id types.TargetID, address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.watched[id] == address
}

// watch reads the reports of one target until its stream ends. The next
// assignment opens a new one.
func (r *reportReader) watch(ctx context.Context, id types.TargetID, address string) {
	err := r.client.WatchReports(address, r.every, maxStreamAge, func(rep engine.Report) bool {
		r.fleet.put(id, wire.FromReport(rep, time.Now()), true)
		return ctx.Err() == nil && r.wanted(id, address)
	})
	var status *engine.StatusError
	if errors.As(err, &status) {
		err = r.poll(id, address)
	}
	if err != nil {
		r.log.WithError(err).WithField(daemon.FieldTarget, id).Debug("load reports ended")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.watched[id] == address {
		delete(r.watched, id)
	}
}

// poll reads one report of a target that offers no stream.
func (r *reportReader) poll(id types.TargetID, address string) error {
	rep, err := r.client.Report(address)
	if err == nil {
		r.fleet.put(id, wire.FromReport(rep, time.Now()), true)
	}
	return err
}
