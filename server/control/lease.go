package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lentilpick/lentilpick/authority"
	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/logclient"
	"github.com/lentilpick/lentilpick/records"
	"github.com/lentilpick/lentilpick/types"
)

// LeaseStatus is what a daemon knows of the lease of its data centre.
type LeaseStatus struct {
	Holder    authority.Holder
	Fence     types.FencingNumber
	HasHolder bool
}

// leaseRelease asks to give up the lease.
type leaseRelease struct {
	// settled says that the result of each order is known. Without it the lease
	// expires, because the next holder trusts a release.
	settled bool
	done    chan struct{}
}

// leaseRunner owns the lease state machine. The follower hands batches to its
// goroutine, which also appends claims and renewals.
type leaseRunner struct {
	log    logclient.Log
	entry  *logrus.Entry
	stream string
	gate   *authority.Gate
	lease  *authority.Lease
	status atomic.Pointer[LeaseStatus]

	next     atomic.Int64
	batches  chan logclient.Batch
	expired  chan types.Offset
	appended chan error
	release  chan leaseRelease
	ended    chan struct{} // closed when run returns
	caughtUp bool
	pending  bool
}

func newLeaseRunner(log logclient.Log, entry *logrus.Entry, dc types.DataCentreID, s authority.Settings, gate *authority.Gate) *leaseRunner {
	r := &leaseRunner{
		log: log, stream: logclient.LeaseStream(dc), gate: gate, lease: authority.NewLease(s, time.Now()),
		batches: make(chan logclient.Batch), expired: make(chan types.Offset),
		appended: make(chan error, 1), release: make(chan leaseRelease),
		ended: make(chan struct{}),
	}
	r.entry = entry.WithField(daemon.FieldStream, r.stream)
	r.status.Store(&LeaseStatus{})
	return r
}

// Next implements logclient.Reader.
func (r *leaseRunner) Next() types.Offset { return types.Offset(r.next.Load()) }

// HandleRecords implements logclient.Reader.
func (r *leaseRunner) HandleRecords(b logclient.Batch) error {
	if n := len(b.Records); n > 0 {
		r.next.Store(int64(b.Records[n-1].Offset) + 1)
	}
	select {
	case r.batches <- b:
	case <-r.ended:
	}
	return nil
}

// HandleExpired implements logclient.Reader.
func (r *leaseRunner) HandleExpired(oldest types.Offset) {
	r.next.Store(int64(oldest))
	select {
	case r.expired <- oldest:
	case <-r.ended:
	}
}

// HandleFailure implements logclient.Reader.
func (r *leaseRunner) HandleFailure(err error) { r.entry.WithError(err).Debug("read failed") }

// run drives the state machine until the context ends.
func (r *leaseRunner) run(ctx context.Context) {
	defer close(r.ended)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-r.batches:
			r.observe(b)
		case o := <-r.expired:
			r.lease.SkipExpired(o, time.Now())
			r.caughtUp = false
		case err := <-r.appended:
			r.pending = false
			if err != nil {
				r.entry.WithError(err).Warn("lease record was not appended")
			}
		case req := <-r.release:
			r.giveUp(req)
			return
		case <-timer.C:
		}
		r.gate.Publish(r.lease.Grant())
		r.publishStatus()
		timer.Reset(r.step(ctx))
	}
}

func (r *leaseRunner) observe(b logclient.Batch) {
	now := time.Now()
	for _, rec := range b.Records {
		lr, err := records.DecodeLease(rec.Data)
		if err != nil {
			r.entry.WithError(err).WithField(daemon.FieldOffset, rec.Offset).Error("record does not decode; it is passed over")
		}
		if err := r.lease.Observe(rec.Offset, lr, now); err != nil {
			r.entry.WithError(err).Error("lease stream has a gap; reading again")
			r.next.Store(int64(r.lease.NextOffset()))
			r.caughtUp = false
			return
		}
	}
	r.caughtUp = r.lease.NextOffset() == b.Next
}

// step appends what is due and returns the time until the next step.
func (r *leaseRunner) step(ctx context.Context) time.Duration {
	const idle = time.Second
	if !r.caughtUp || r.pending {
		return idle
	}
	now := time.Now()
	rec, at := r.lease.Step(now)
	if rec != nil {
		r.append(ctx, rec)
	}
	return max(at.Sub(now), time.Millisecond)
}

func (r *leaseRunner) append(ctx context.Context, rec *authority.Record) {
	data, err := records.EncodeLease(rec)
	if err != nil {
		r.entry.WithError(err).Error("lease record does not encode")
		return
	}
	r.pending = true
	r.caughtUp = false
	go func() {
		_, err := r.log.Append(ctx, r.stream, [][]byte{data})
		r.appended <- err
	}()
}

// giveUp releases the lease during a graceful shutdown.
func (r *leaseRunner) giveUp(req leaseRelease) {
	defer close(req.done)
	rec := r.lease.Release(time.Now())
	r.gate.Publish(authority.Grant{})
	if rec == nil || !req.settled {
		return
	}
	data, err := records.EncodeLease(rec)
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		_, err = r.log.Append(ctx, r.stream, [][]byte{data})
	}
	if err != nil {
		r.entry.WithError(err).Warn("lease was not released")
	}
}

func (r *leaseRunner) publishStatus() {
	h, f, ok := r.lease.Holder()
	old := r.status.Load()
	s := &LeaseStatus{Holder: h, Fence: f, HasHolder: ok}
	if *old != *s {
		r.entry.WithField(daemon.FieldVM, h.VM).WithField(daemon.FieldFencingNumber, f).Info("lease holder changed")
		r.status.Store(s)
	}
}
