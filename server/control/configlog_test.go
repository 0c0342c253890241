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

// appendLog is a log whose appends call a function; it is never read.
type appendLog struct {
	logclient.Log
	append func(data []byte) error
}

func (l appendLog) Append(_ context.Context, _ string, data [][]byte) (types.Offset, error) {
	return 0, l.append(data[0])
}

func newTestLog(f func([]byte) error) *ConfigLog {
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

// Guards against a lost answer that is reported as a refusal, and against a
// retry of an accepted change that is refused because of what it did.
func TestLostAnswerIsReadBack(t *testing.T) {
	var c *ConfigLog
	c = newTestLog(func(data []byte) error {
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

// Guards against a verdict that the log does not confirm.
func TestResultWithoutConfirmation(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for _, tc := range []struct{ cause, want error }{
		{logclient.ErrUnavailable, ErrNotPublished},
		{logclient.ErrAmbiguous, ErrResultUnknown},
		{nil, ErrResultUnknown},
	} {
		c := newTestLog(func([]byte) error { return tc.cause })
		_, err := c.Apply(ctx, change("c", 0, false))
		assert.Assert(t, errors.Is(err, tc.want), "%v", tc.cause)
	}
}

// Guards against a daemon that starts from a peer and then reads the log from
// another position than the snapshot's, or forgets when the next one is due.
func TestStartFromPeerThenFollow(t *testing.T) {
	at := time.Now().Add(-time.Hour)
	peer, c := newTestLog(nil), newTestLog(nil)
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

// Guards against a gap that is skipped and against a snapshot that claims
// records that follow it.
func TestExpiredRecordsNeedSnapshot(t *testing.T) {
	now := time.Now()
	c := newTestLog(nil)
	c.HandleExpired(5)
	bad, err := records.EncodeSnapshot(&configuration.Snapshot{Next: 9, Config: configuration.New()})
	assert.NilError(t, err)
	good, err := records.EncodeSnapshot(&configuration.Snapshot{Next: 6, Config: configuration.New()})
	assert.NilError(t, err)
	assert.NilError(t, c.HandleRecords(batch(5, now, encoded(t, change("c", 0, false)), bad)))
	assert.Assert(t, c.Scanning())
	assert.Equal(t, c.Config().Revision, types.Revision(0))
	assert.NilError(t, c.HandleRecords(batch(7, now, good)))
	assert.Assert(t, !c.Scanning())
	assert.Equal(t, c.Next(), types.Offset(6))
}

// Guards against a daemon that cannot read the log and whose old snapshots put
// off those of the others until the records after them have expired.
func TestLaggingSnapshotDoesNotResetAge(t *testing.T) {
	now := time.Now()
	c := newTestLog(nil)
	old, err := records.EncodeSnapshot(c.Snapshot())
	assert.NilError(t, err)
	assert.NilError(t, c.HandleRecords(batch(0, now.Add(-time.Hour), encoded(t, change("c", 0, false)))))
	assert.NilError(t, c.HandleRecords(batch(1, now, old)))
	assert.Assert(t, c.SnapshotDue(now, time.Hour))
	complete, err := records.EncodeSnapshot(c.Snapshot())
	assert.NilError(t, err)
	assert.NilError(t, c.HandleRecords(batch(2, now, complete)))
	assert.Assert(t, !c.SnapshotDue(now, time.Hour))
}
