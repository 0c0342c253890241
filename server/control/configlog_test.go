package control

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/configuration"
	"github.com/lentilpick/lentilpick/logclient"
	"github.com/lentilpick/lentilpick/records"
	"github.com/lentilpick/lentilpick/types"
)

// appendLog is a log whose appends call a function. Its Read must not be called.
type appendLog struct {
	logclient.Log
	append func(data []byte) error
}

func (l appendLog) Append(_ context.Context, _ string, data [][]byte) (types.Offset, error) {
	return 0, l.append(data[0])
}

func newTestConfigLog(f func([]byte) error) *ConfigLog {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return NewConfigLog(appendLog{append: f}, logrus.NewEntry(l))
}

func change(id string, base types.Revision, remove bool) *configuration.Change {
	ch := &configuration.Change{ID: id, Kind: configuration.ObjectService, ObjectID: "s", Base: base, Delete: remove}
	if !remove {
		ch.Service = &configuration.Service{ID: "s"}
	}
	return ch
}

func batch(o types.Offset, at time.Time, data ...[]byte) logclient.Batch {
	b := logclient.Batch{}
	for i, d := range data {
		b.Records = append(b.Records, logclient.Record{Offset: o + types.Offset(i), At: at, Data: d})
	}
	return b
}

func encoded(t *testing.T, ch *configuration.Change) []byte {
	b, err := records.EncodeChange(ch)
	assert.NilError(t, err)
	return b
}

// Guards against a lost append response that is reported as a refusal, and against a
// retry of an accepted change that is refused because of its own effect.
func TestResultIsReadBackAfterLostResponse(t *testing.T) {
	var c *ConfigLog
	c = newTestConfigLog(func(data []byte) error {
		assert.NilError(t, c.HandleRecords(batch(c.Next(), time.Now(), data)))
		return logclient.ErrAmbiguous
	})
	_, err := c.Apply(t.Context(), change("put", 0, false))
	assert.NilError(t, err)
	for range 2 {
		r, err := c.Apply(t.Context(), change("delete", 1, true))
		assert.NilError(t, err)
		assert.Assert(t, r.Accepted())
	}
	assert.Equal(t, c.Config().Revision, types.Revision(2))
	_, err = c.Apply(t.Context(), change("delete", 2, false))
	assert.ErrorIs(t, err, configuration.ErrInvalid, "a change identifier that was used for another change")
}

// Guards against a result that is reported although the log did not confirm the append.
func TestResultWithoutConfirmation(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for _, tc := range []struct{ cause, want error }{
		{logclient.ErrUnavailable, ErrNotPublished},
		{logclient.ErrAmbiguous, ErrResultUnknown},
		{nil, ErrResultUnknown},
	} {
		c := newTestConfigLog(func([]byte) error { return tc.cause })
		_, err := c.Apply(ctx, change("c", 0, false))
		assert.Assert(t, errors.Is(err, tc.want), "%v", tc.cause)
	}
}

// Guards against a daemon that loads a peer's snapshot and then reads the log from
// another offset than the snapshot's, or loses the time at which the next snapshot is
// due.
func TestStartFromPeerThenFollow(t *testing.T) {
	at := time.Now().Add(-time.Hour)
	peer, c := newTestConfigLog(nil), newTestConfigLog(nil)
	first, second := encoded(t, change("c1", 0, false)), encoded(t, change("c2", 1, true))
	assert.NilError(t, peer.HandleRecords(batch(0, at, first)))
	b, err := records.EncodeSnapshot(peer.Snapshot())
	assert.NilError(t, err)
	rec, err := records.DecodeConfiguration(b)
	assert.NilError(t, err)
	assert.Assert(t, c.LoadSnapshot(rec.Snapshot))
	assert.Equal(t, c.Next(), types.Offset(1))
	assert.Assert(t, c.SnapshotDue(time.Now(), 30*time.Minute))
	assert.Assert(t, !c.SnapshotDue(time.Now(), 2*time.Hour))
	assert.NilError(t, c.HandleRecords(batch(1, at, second, first)))
	assert.NilError(t, peer.HandleRecords(batch(1, at, second, first)))
	assert.DeepEqual(t, c.Snapshot().Recent, peer.Snapshot().Recent)
	assert.Equal(t, c.Config().Revision, types.Revision(2))
}

// Guards against a daemon that skips a gap of expired records, and against a snapshot
// that covers records after its own offset.
func TestExpiredRecordsNeedSnapshot(t *testing.T) {
	now := time.Now()
	c := newTestConfigLog(nil)
	c.HandleExpired(5)
	invalid, err := records.EncodeSnapshot(&configuration.Snapshot{Next: 9, Config: configuration.New()})
	assert.NilError(t, err)
	valid, err := records.EncodeSnapshot(&configuration.Snapshot{Next: 6, Config: configuration.New()})
	assert.NilError(t, err)
	assert.NilError(t, c.HandleRecords(batch(5, now, encoded(t, change("c", 0, false)), invalid)))
	assert.Assert(t, c.Scanning())
	assert.Equal(t, c.Config().Revision, types.Revision(0))
	assert.NilError(t, c.HandleRecords(batch(7, now, valid)))
	assert.Assert(t, !c.Scanning())
	assert.Equal(t, c.Next(), types.Offset(6))
}

// Guards against a daemon that cannot read the log and appends outdated snapshots,
// which delay the snapshots of other daemons until the records after them expire.
func TestLaggingSnapshotDoesNotResetAge(t *testing.T) {
	now := time.Now()
	c := newTestConfigLog(nil)
	outdated, err := records.EncodeSnapshot(c.Snapshot())
	assert.NilError(t, err)
	assert.NilError(t, c.HandleRecords(batch(0, now.Add(-time.Hour), encoded(t, change("c", 0, false)))))
	assert.NilError(t, c.HandleRecords(batch(1, now, outdated)))
	assert.Assert(t, c.SnapshotDue(now, time.Hour))
	complete, err := records.EncodeSnapshot(c.Snapshot())
	assert.NilError(t, err)
	assert.NilError(t, c.HandleRecords(batch(2, now, complete)))
	assert.Assert(t, !c.SnapshotDue(now, time.Hour))
}
