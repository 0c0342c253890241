package control

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"github.com/lentilpick/lentilpick/configuration"
	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/logclient"
	"github.com/lentilpick/lentilpick/records"
	"github.com/lentilpick/lentilpick/types"
)

// Errors of the configuration log.
var (
	// ErrNotPublished reports that a change has not reached the log.
	ErrNotPublished = merry.New("this attempt did not reach the log; send the change again with the same change identifier")
	// ErrResultUnknown reports that a change may be in force.
	ErrResultUnknown = merry.New("the result of the change is not known; send it again with the same change identifier")
)

// ConfigLog follows the configuration stream and publishes changes to it. The
// fold is owned by the follower's goroutine; readers load the newest snapshot.
type ConfigLog struct {
	log     logclient.Log
	entry   *logrus.Entry
	current atomic.Pointer[configuration.Snapshot]

	mu       sync.Mutex
	fold     *configuration.Fold
	waiters  map[string][]chan configuration.Result
	changed  chan struct{}
	scanning bool
	scan     types.Offset
	// loggedAt is the log's time of the newest complete snapshot record, or of
	// the first record while no snapshot is known. It travels with snapshots to
	// peers: VMs live shorter than a third of the retention, so a daemon that
	// counted from its own start would never append one.
	loggedAt time.Time
}

// NewConfigLog returns a log at the empty configuration.
func NewConfigLog(log logclient.Log, entry *logrus.Entry) *ConfigLog {
	c := &ConfigLog{
		log: log, entry: entry.WithField(daemon.FieldStream, logclient.StreamConfig),
		fold: configuration.NewFold(), waiters: map[string][]chan configuration.Result{}, changed: make(chan struct{}),
	}
	c.current.Store(c.fold.Snapshot())
	return c
}

// Snapshot returns the newest snapshot. The caller must not change it.
func (c *ConfigLog) Snapshot() *configuration.Snapshot { return c.current.Load() }

// Config returns the configuration in force.
func (c *ConfigLog) Config() *configuration.Config { return c.current.Load().Config }

// Changed returns a channel that is closed at the next change of the configuration.
func (c *ConfigLog) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Undecoded returns the number of records that did not decode.
func (c *ConfigLog) UndecodedRecords() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fold.Undecoded()
}

// Load takes a snapshot from a peer if it is newer.
func (c *ConfigLog) LoadSnapshot(s *configuration.Snapshot) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.fold.Load(s) {
		return false
	}
	c.scanning = false
	if s.LoggedAt.After(c.loggedAt) {
		c.loggedAt = s.LoggedAt
	}
	c.publish()
	return true
}

// publish makes the fold's state visible and resolves waiters. The lock is held.
func (c *ConfigLog) publish() {
	snap := c.fold.Snapshot()
	snap.LoggedAt = c.loggedAt
	c.current.Store(snap)
	close(c.changed)
	c.changed = make(chan struct{})
	for id, list := range c.waiters {
		r, ok := c.fold.Result(id)
		if !ok {
			continue
		}
		for _, w := range list {
			w <- r
		}
		delete(c.waiters, id)
	}
}

// Next implements logclient.Reader.
func (c *ConfigLog) Next() types.Offset {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.scanning {
		return c.scan
	}
	return c.fold.Next()
}

// HandleRecords implements logclient.Reader.
func (c *ConfigLog) HandleRecords(b logclient.Batch) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.fold.Next()
	defer func() {
		if c.fold.Next() != before {
			c.publish()
		}
	}()
	for _, r := range b.Records {
		if err := c.record(r); err != nil {
			return err
		}
	}
	return nil
}

func (c *ConfigLog) record(r logclient.Record) error {
	rec, err := records.DecodeConfiguration(r.Data)
	if err != nil {
		c.entry.WithError(err).WithField(daemon.FieldOffset, r.Offset).Error("record does not decode; it is passed over")
	}
	if rec.Snapshot != nil && rec.Snapshot.Next > r.Offset {
		c.entry.WithField(daemon.FieldOffset, r.Offset).Error("snapshot claims records that follow it; it is passed over")
		rec = configuration.Record{}
	}
	if c.loggedAt.IsZero() || c.complete(rec.Snapshot) {
		c.loggedAt = r.At
	}
	if c.scanning {
		c.scanned(r.Offset, rec)
		return nil
	}
	return c.fold.Apply(r.Offset, rec)
}

// complete reports whether a snapshot has all changes before its record. One of
// a daemon that lags behind must not put off the next snapshot.
func (c *ConfigLog) complete(s *configuration.Snapshot) bool {
	return s != nil && s.Config.Revision >= c.fold.Config().Revision
}

// scanned looks for a snapshot after records before the oldest one have
// expired. The records after the snapshot's position are then read again.
func (c *ConfigLog) scanned(o types.Offset, rec configuration.Record) {
	c.scan = o + 1
	if rec.Snapshot != nil && c.fold.Load(rec.Snapshot) {
		c.scanning = false
	}
}

// HandleExpired implements logclient.Reader.
func (c *ConfigLog) HandleExpired(oldest types.Offset) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entry.WithField(daemon.FieldOffset, oldest).Warn("records have expired; looking for a snapshot")
	c.scanning, c.scan = true, oldest
}

// HandleFailure implements logclient.Reader.
func (c *ConfigLog) HandleFailure(err error) { c.entry.WithError(err).Debug("read failed") }

// Apply publishes a change and waits for its verdict until the context ends.
// Whether a change fits the configuration is decided by the fold only, because
// this daemon may lag and an earlier attempt may have been accepted. Errors: *configuration.FieldError, ErrNotPublished, ErrResultUnknown.
func (c *ConfigLog) Apply(ctx context.Context, ch *configuration.Change) (configuration.Result, error) {
	if err := configuration.ValidateContent(ch); err != nil {
		return configuration.Result{}, err
	}
	data, err := records.EncodeChange(ch)
	if err != nil {
		return configuration.Result{}, err
	}
	verdict, known := c.await(ch.ID)
	if !known {
		defer c.forget(ch.ID, verdict)
		_, err = c.log.Append(ctx, logclient.StreamConfig, [][]byte{data})
		if err != nil && !errors.Is(err, logclient.ErrAmbiguous) {
			return configuration.Result{}, merry.Wrap(ErrNotPublished, merry.WithCause(err))
		}
	}
	select {
	case r := <-verdict:
		if r.Kind != ch.Kind || r.ObjectID != ch.ObjectID || (r.Accepted() && r.Deleted != ch.Delete) {
			return configuration.Result{}, &configuration.FieldError{Field: "change_id", Reason: "was used for another change"}
		}
		return r, nil
	case <-ctx.Done():
		return configuration.Result{}, ErrResultUnknown
	}
}

// await returns a channel that gets the verdict on a change; known says that
// the verdict is there already.
func (c *ConfigLog) await(id string) (w chan configuration.Result, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w = make(chan configuration.Result, 1)
	if r, ok := c.fold.Result(id); ok {
		w <- r
		return w, true
	}
	c.waiters[id] = append(c.waiters[id], w)
	return w, false
}

func (c *ConfigLog) forget(id string, w chan configuration.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.waiters[id]
	for i, v := range list {
		if v == w {
			list = append(list[:i], list[i+1:]...)
			break
		}
	}
	if len(list) == 0 {
		delete(c.waiters, id)
		return
	}
	c.waiters[id] = list
}

// SnapshotDue reports whether a snapshot has to be appended now, so that one
// stands in the log before earlier records expire.
func (c *ConfigLog) SnapshotDue(now time.Time, every time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.loggedAt.IsZero() && !c.scanning && now.Sub(c.loggedAt) >= every
}

// Scanning reports whether records have expired before they were read and no
// snapshot was found yet.
func (c *ConfigLog) Scanning() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scanning
}

// AppendSnapshot appends the current snapshot.
func (c *ConfigLog) AppendSnapshot(ctx context.Context) error {
	data, err := records.EncodeSnapshot(c.Snapshot())
	if err != nil {
		return err
	}
	_, err = c.log.Append(ctx, logclient.StreamConfig, [][]byte{data})
	return err
}
