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
// daemon, over one stream per target. A stream takes about 140 bytes per report; a
// poll takes about 400 bytes with its headers.
type reportReader struct {
	self     types.VMID
	dc       types.DataCentreID
	log      *logrus.Entry
	config   func() *configuration.Config
	fleet    *fleetState
	client   *engine.Client
	pool     *ants.Pool
	interval time.Duration

	mu      sync.Mutex
	watched map[types.TargetID]string // address of the open stream
}

const (
	assignInterval = time.Second
	maxStreamAge   = 5 * time.Minute
)

// run updates the targets that are assigned to this daemon once per assignInterval,
// since the assignment depends on the live peers.
func (r *reportReader) run(ctx context.Context) {
	tick := time.NewTicker(assignInterval)
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
	live := r.fleet.livePeers(r.dc, now)
	r.fleet.mu.Lock()
	list := r.fleet.listsFor(r.config())[r.dc]
	r.fleet.mu.Unlock()
	if list == nil {
		return
	}
	assigned := map[types.TargetID]string{}
	c := r.config()
	for i := range list.Len() {
		id, _ := list.At(uint32(i))
		if t, ok := c.Targets[id]; ok && membership.IsReportReader(r.self, live, id) {
			assigned[id] = t.Value.Address
		}
	}
	r.startStreams(ctx, assigned)
}

// startStreams opens the streams of assigned targets that are not open yet. The stream
// of a target that is no longer assigned ends at its next report.
func (r *reportReader) startStreams(ctx context.Context, assigned map[types.TargetID]string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, address := range assigned {
		if r.watched[id] == address {
			continue
		}
		r.watched[id] = address
		// If the pool is full, the next assignment opens the stream.
		if r.pool.Submit(func() { r.watch(ctx, id, address) }) != nil {
			delete(r.watched, id)
		}
	}
	for id := range r.watched {
		if _, ok := assigned[id]; !ok {
			delete(r.watched, id)
		}
	}
}

func (r *reportReader) isAssigned(id types.TargetID, address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.watched[id] == address
}

// watch reads the reports of one target until its stream ends. The next
// assignment opens a new one.
func (r *reportReader) watch(ctx context.Context, id types.TargetID, address string) {
	err := r.client.WatchReports(address, r.interval, maxStreamAge, func(rep engine.Report) bool {
		r.fleet.putReport(id, wire.FromReport(rep, time.Now()), true)
		return ctx.Err() == nil && r.isAssigned(id, address)
	})
	var status *engine.StatusError
	if errors.As(err, &status) {
		err = r.poll(id, address)
	}
	if err != nil {
		r.log.WithError(err).WithField(daemon.FieldTarget, id).Debug("reading load reports failed")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.watched[id] == address {
		delete(r.watched, id)
	}
}

// poll reads one report of a target that does not support report streams.
func (r *reportReader) poll(id types.TargetID, address string) error {
	rep, err := r.client.Report(address)
	if err == nil {
		r.fleet.putReport(id, wire.FromReport(rep, time.Now()), true)
	}
	return err
}
