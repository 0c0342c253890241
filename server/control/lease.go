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

// LeaseStatus is the state of a data centre's lease as last read from the log.
type LeaseStatus struct {
	Holder    authority.Holder
	Fence     types.FencingNumber
	HasHolder bool
}

// leaseRelease is a request to stop holding the lease.
type leaseRelease struct {
	// resultsKnown reports that the results of all orders are known. Otherwise the lease
	// is left to expire, because after a release the next holder orders targets
	// without a quarantine.
	resultsKnown bool
	done         chan struct{}
}

// leaseRunner owns the lease state machine. The stream's follower passes batches
// to its goroutine, which also appends claims and renewals.
type leaseRunner struct {
	log    logclient.Log
	logger *logrus.Entry
	stream string
	gate   *authority.Gate
	lease  *authority.Lease
	status atomic.Pointer[LeaseStatus]

	next      atomic.Int64
	batches   chan logclient.Batch
	expired   chan types.Offset
	appended  chan error
	releases  chan leaseRelease
	stopped   chan struct{} // closed when run returns
	caughtUp  bool
	appending bool
}

func newLeaseRunner(log logclient.Log, logger *logrus.Entry, dc types.DataCentreID, s authority.Settings, gate *authority.Gate) *leaseRunner {
	r := &leaseRunner{
		log: log, stream: logclient.LeaseStream(dc), gate: gate, lease: authority.NewLease(s, time.Now()),
		batches: make(chan logclient.Batch), expired: make(chan types.Offset),
		appended: make(chan error, 1), releases: make(chan leaseRelease),
		stopped: make(chan struct{}),
	}
	r.logger = logger.WithField(daemon.FieldStream, r.stream)
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
	case <-r.stopped:
	}
	return nil
}

// HandleExpired implements logclient.Reader.
func (r *leaseRunner) HandleExpired(oldest types.Offset) {
	r.next.Store(int64(oldest))
	select {
	case r.expired <- oldest:
	case <-r.stopped:
	}
}

// HandleFailure implements logclient.Reader.
func (r *leaseRunner) HandleFailure(err error) {
	r.logger.WithError(err).Debug("reading the stream failed")
}

// run drives the state machine until the context ends.
func (r *leaseRunner) run(ctx context.Context) {
	defer close(r.stopped)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-r.batches:
			r.observeBatch(b)
		case o := <-r.expired:
			r.lease.SkipExpired(o, time.Now())
			r.caughtUp = false
		case err := <-r.appended:
			r.appending = false
			if err != nil {
				r.logger.WithError(err).Warn("appending a lease record failed")
			}
		case req := <-r.releases:
			r.releaseLease(req)
			return
		case <-timer.C:
		}
		r.gate.Publish(r.lease.Grant())
		r.publishStatus()
		timer.Reset(r.step(ctx))
	}
}

func (r *leaseRunner) observeBatch(b logclient.Batch) {
	now := time.Now()
	for _, rec := range b.Records {
		lr, err := records.DecodeLease(rec.Data)
		if err != nil {
			r.logger.WithError(err).WithField(daemon.FieldOffset, rec.Offset).Error("record does not decode; it is passed over")
		}
		if err := r.lease.Observe(rec.Offset, lr, now); err != nil {
			r.logger.WithError(err).Error("lease stream has a gap; reading again from the first missing offset")
			r.next.Store(int64(r.lease.NextOffset()))
			r.caughtUp = false
			return
		}
	}
	r.caughtUp = r.lease.NextOffset() == b.Next
}

// step appends a lease record if one is due and returns the time until the next step.
func (r *leaseRunner) step(ctx context.Context) time.Duration {
	const idleInterval = time.Second
	if !r.caughtUp || r.appending {
		return idleInterval
	}
	now := time.Now()
	rec, at := r.lease.Step(now)
	if rec != nil {
		r.appendRecord(ctx, rec)
	}
	return max(at.Sub(now), time.Millisecond)
}

func (r *leaseRunner) appendRecord(ctx context.Context, rec *authority.Record) {
	data, err := records.EncodeLease(rec)
	if err != nil {
		r.logger.WithError(err).Error("encoding a lease record failed")
		return
	}
	r.appending = true
	r.caughtUp = false
	go func() {
		_, err := r.log.Append(ctx, r.stream, [][]byte{data})
		r.appended <- err
	}()
}

// releaseLease stops holding the lease during a graceful shutdown.
func (r *leaseRunner) releaseLease(req leaseRelease) {
	defer close(req.done)
	rec := r.lease.Release(time.Now())
	r.gate.Publish(authority.Grant{})
	if rec == nil || !req.resultsKnown {
		return
	}
	data, err := records.EncodeLease(rec)
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		_, err = r.log.Append(ctx, r.stream, [][]byte{data})
	}
	if err != nil {
		r.logger.WithError(err).Warn("releasing the lease failed; it expires instead")
	}
}

func (r *leaseRunner) publishStatus() {
	h, f, ok := r.lease.Holder()
	old := r.status.Load()
	s := &LeaseStatus{Holder: h, Fence: f, HasHolder: ok}
	if *old != *s {
		r.logger.WithField(daemon.FieldVM, h.VM).WithField(daemon.FieldFencingNumber, f).Info("lease holder changed")
		r.status.Store(s)
	}
}
