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
	// ErrNotPublished reports that a change was not appended to the log.
	ErrNotPublished = merry.New("this attempt did not reach the log; send the change again with the same change identifier")
	// ErrResultUnknown reports that a change may or may not have been accepted.
	ErrResultUnknown = merry.New("the result of the change is not known; send it again with the same change identifier")
)

// ConfigLog applies the records of the configuration stream and appends changes
// to it. Readers load the latest snapshot without taking the lock.
type ConfigLog struct {
	log     logclient.Log
	logger  *logrus.Entry
	current atomic.Pointer[configuration.Snapshot]

	mu       sync.Mutex
	fold     *configuration.Fold
	waiters  map[string][]chan configuration.Result
	changed  chan struct{}
	scanning bool
	scanNext types.Offset
	// loggedAt is the log's timestamp of the latest up-to-date snapshot record, or
	// of the first record if no snapshot has been read. It is part of the snapshots
	// sent to peers: a VM runs for less than a third of the retention, so a daemon
	// that counted from its own start would never append a snapshot.
	loggedAt time.Time
}

// NewConfigLog returns a configuration log that starts from the empty configuration.
func NewConfigLog(log logclient.Log, logger *logrus.Entry) *ConfigLog {
	c := &ConfigLog{
		log: log, logger: logger.WithField(daemon.FieldStream, logclient.StreamConfig),
		fold: configuration.NewFold(), waiters: map[string][]chan configuration.Result{}, changed: make(chan struct{}),
	}
	c.current.Store(c.fold.Snapshot())
	return c
}

// Snapshot returns the latest snapshot. The caller must not modify it.
func (c *ConfigLog) Snapshot() *configuration.Snapshot { return c.current.Load() }

// Config returns the configuration in force.
func (c *ConfigLog) Config() *configuration.Config { return c.current.Load().Config }

// Changed returns a channel that is closed the next time the configuration changes.
func (c *ConfigLog) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// UndecodedRecords returns the number of records that could not be decoded.
func (c *ConfigLog) UndecodedRecords() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fold.Undecoded()
}

// LoadSnapshot replaces the configuration by a peer's snapshot if that is newer,
// and reports whether it did.
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

// publish stores a new snapshot for readers and delivers results to the calls of
// Apply that wait for them. The caller holds the lock.
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
		return c.scanNext
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
		if err := c.applyRecord(r); err != nil {
			return err
		}
	}
	return nil
}

func (c *ConfigLog) applyRecord(r logclient.Record) error {
	rec, err := records.DecodeConfiguration(r.Data)
	if err != nil {
		c.logger.WithError(err).WithField(daemon.FieldOffset, r.Offset).Error("record does not decode; it is passed over")
	}
	if rec.Snapshot != nil && rec.Snapshot.Next > r.Offset {
		c.logger.WithField(daemon.FieldOffset, r.Offset).Error("snapshot covers records after its own offset; it is skipped")
		rec = configuration.Record{}
	}
	if c.loggedAt.IsZero() || c.isCurrent(rec.Snapshot) {
		c.loggedAt = r.At
	}
	if c.scanning {
		c.scanRecord(r.Offset, rec)
		return nil
	}
	return c.fold.Apply(r.Offset, rec)
}

// isCurrent reports whether a snapshot includes all changes that precede its
// record. An outdated snapshot, appended by a daemon that lags behind, must not
// delay the next one.
func (c *ConfigLog) isCurrent(s *configuration.Snapshot) bool {
	return s != nil && s.Config.Revision >= c.fold.Config().Revision
}

// scanRecord searches for a snapshot after unread records have expired. Once one
// is found, reading resumes at the snapshot's offset.
func (c *ConfigLog) scanRecord(o types.Offset, rec configuration.Record) {
	c.scanNext = o + 1
	if rec.Snapshot != nil && c.fold.Load(rec.Snapshot) {
		c.scanning = false
	}
}

// HandleExpired implements logclient.Reader.
func (c *ConfigLog) HandleExpired(oldest types.Offset) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.logger.WithField(daemon.FieldOffset, oldest).Warn("records have expired; looking for a snapshot")
	c.scanning, c.scanNext = true, oldest
}

// HandleFailure implements logclient.Reader.
func (c *ConfigLog) HandleFailure(err error) {
	c.logger.WithError(err).Debug("reading the stream failed")
}

// Apply appends a change to the log and waits for its result until the context
// ends. Only the fold decides whether a change fits the configuration, because
// this daemon may lag behind and an earlier attempt may have been accepted. The
// error is a *configuration.FieldError, ErrNotPublished or ErrResultUnknown.
func (c *ConfigLog) Apply(ctx context.Context, ch *configuration.Change) (configuration.Result, error) {
	if err := configuration.ValidateContent(ch); err != nil {
		return configuration.Result{}, err
	}
	data, err := records.EncodeChange(ch)
	if err != nil {
		return configuration.Result{}, err
	}
	result, decided := c.awaitResult(ch.ID)
	if !decided {
		defer c.removeWaiter(ch.ID, result)
		_, err = c.log.Append(ctx, logclient.StreamConfig, [][]byte{data})
		if err != nil && !errors.Is(err, logclient.ErrAmbiguous) {
			return configuration.Result{}, merry.Wrap(ErrNotPublished, merry.WithCause(err))
		}
	}
	select {
	case r := <-result:
		if r.Kind != ch.Kind || r.ObjectID != ch.ObjectID || (r.Accepted() && r.Deleted != ch.Delete) {
			return configuration.Result{}, &configuration.FieldError{Field: "change_id", Reason: "was used for another change"}
		}
		return r, nil
	case <-ctx.Done():
		return configuration.Result{}, ErrResultUnknown
	}
}

// awaitResult returns a channel that receives the result of a change. decided
// reports that the result is already available.
func (c *ConfigLog) awaitResult(id string) (w chan configuration.Result, decided bool) {
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

func (c *ConfigLog) removeWaiter(id string, w chan configuration.Result) {
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

// SnapshotDue reports whether the latest snapshot in the log is at least maxAge old,
// so that a new one must be appended before the records since then expire. It is
// false while Scanning.
func (c *ConfigLog) SnapshotDue(now time.Time, maxAge time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.loggedAt.IsZero() && !c.scanning && now.Sub(c.loggedAt) >= maxAge
}

// Scanning reports whether records expired before they were read and no snapshot
// has been found since.
func (c *ConfigLog) Scanning() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scanning
}

// AppendSnapshot appends the current snapshot to the log.
func (c *ConfigLog) AppendSnapshot(ctx context.Context) error {
	data, err := records.EncodeSnapshot(c.Snapshot())
	if err != nil {
		return err
	}
	_, err = c.log.Append(ctx, logclient.StreamConfig, [][]byte{data})
	return err
}
