package control

import (
	"context"
	"errors"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	peerv1 "github.com/lentilpick/lentilpick/api/peer/v1"
	"github.com/lentilpick/lentilpick/api/peer/v1/peerv1connect"

	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/idempotency"
	"github.com/lentilpick/lentilpick/logclient"
	"github.com/lentilpick/lentilpick/types"
)

// memoryLog is a log in memory that retains all records.
type memoryLog struct {
	mu      sync.Mutex
	streams map[string][]logclient.Record
	appends int
	down    bool
	changed chan struct{}
	running sync.WaitGroup // goroutines that use the log
}

func newMemoryLog() *memoryLog {
	return &memoryLog{streams: map[string][]logclient.Record{}, changed: make(chan struct{})}
}

func (l *memoryLog) Append(_ context.Context, stream string, data [][]byte) (types.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, logclient.ErrUnavailable
	}
	l.appends++
	recs := l.streams[stream]
	first := types.Offset(len(recs))
	for _, d := range data {
		recs = append(recs, logclient.Record{Offset: types.Offset(len(recs)), At: time.Now(), Data: d})
	}
	l.streams[stream] = recs
	close(l.changed)
	l.changed = make(chan struct{})
	return first, nil
}

func (l *memoryLog) Read(ctx context.Context, stream string, from types.Offset, _ int, wait time.Duration) (logclient.Batch, error) {
	b, changed, err := l.read(stream, from)
	if err != nil || len(b.Records) > 0 || wait == 0 {
		return b, err
	}
	sleep, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	select {
	case <-changed:
	case <-sleep.Done():
	}
	b, _, err = l.read(stream, from)
	return b, err
}

func (l *memoryLog) read(stream string, from types.Offset) (logclient.Batch, chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return logclient.Batch{}, nil, logclient.ErrUnavailable
	}
	recs := l.streams[stream]
	return logclient.Batch{Next: types.Offset(len(recs)), Records: recs[from:]}, l.changed, nil
}

func (l *memoryLog) setDown(v bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = v
}

type peerStub struct {
	peerv1connect.PeerServiceClient
	calls int
	err   error
}

func (p *peerStub) AppendKeys(context.Context, *connect.Request[peerv1.AppendKeysRequest]) (*connect.Response[peerv1.AppendKeysResponse], error) {
	p.calls++
	return connect.NewResponse(&peerv1.AppendKeysResponse{}), p.err
}

// startKeyLog runs the key log of data centre a over l until ctx ends.
func startKeyLog(ctx context.Context, t *testing.T, l *memoryLog, writer peerv1connect.PeerServiceClient) *keyLog {
	t.Helper()
	homes := func() (types.Revision, []types.DataCentreID) { return 1, []types.DataCentreID{"a"} }
	return startKeyLogIn(ctx, t, "a", l, writer, homes)
}

func startKeyLogIn(ctx context.Context, t *testing.T, dc string, l *memoryLog, writer peerv1connect.PeerServiceClient, homes func() (types.Revision, []types.DataCentreID)) *keyLog {
	t.Helper()
	m, err := daemon.NewMetrics("test")
	assert.NilError(t, err)
	c, err := newKeyCounters(m)
	assert.NilError(t, err)
	s := DefaultSettings()
	s.DataCentre = dc
	k := newKeyLog(l, daemon.NewLogger(io.Discard, "error", "test"), s, keyDeps{
		writer: func() peerv1connect.PeerServiceClient { return writer },
		homes:  homes,
		runsWithoutLog: func(s types.ServiceID) bool {
			return s == "allowed"
		},
	}, c)
	l.running.Go(func() { logclient.Follow(ctx, l, k.stream, k) })
	l.running.Go(func() { k.run(ctx) })
	return k
}

func testKey(service types.ServiceID, key string) idempotency.Key {
	return idempotency.Key{Service: service, Workspace: "club", Key: key}
}

// runWithLog calls f in a synctest bubble with an empty log.
func runWithLog(t *testing.T, f func(ctx context.Context, l *memoryLog)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		l := newMemoryLog()
		defer l.running.Wait()
		defer cancel()
		f(ctx, l)
	})
}

// Guards against one append to the log per daemon or request, which exceeds the rate
// of appends that the log supports.
func TestOneAppendPerPeriod(t *testing.T) {
	runWithLog(t, func(ctx context.Context, l *memoryLog) {
		k := startKeyLog(ctx, t, l, nil)
		var wg sync.WaitGroup
		for range 12 {
			wg.Go(func() { assert.Check(t, k.localWriter.Append(ctx, [][]byte{[]byte("[]")})) })
		}
		wg.Wait()
		assert.Equal(t, l.appends, 1)
		assert.Equal(t, len(l.streams[k.stream]), 12)
	})
}

// Guards against claims that are lost while the data centre's writer is down, and
// against a daemon that never uses that writer.
func TestWriterUnreachable(t *testing.T) {
	runWithLog(t, func(ctx context.Context, l *memoryLog) {
		p := &peerStub{err: errors.New("unreachable")}
		k := startKeyLog(ctx, t, l, p)
		v, _, err := k.Claim(ctx, testKey("s", "k"), "a", 1)
		assert.NilError(t, err)
		assert.Equal(t, v, idempotency.VerdictRun)
		assert.Assert(t, p.calls > 0)
	})
}

// Guards against a repeated request that is refused while the record of the first
// attempt's response is being appended, and against one that waits without limit.
func TestRepeatWaitsForResponse(t *testing.T) {
	runWithLog(t, func(ctx context.Context, l *memoryLog) {
		k := startKeyLog(ctx, t, l, nil)
		key := testKey("s", "k")
		v, _, err := k.Claim(ctx, key, "a", 1)
		assert.NilError(t, err)
		assert.Equal(t, v, idempotency.VerdictRun)
		v, _, err = k.Claim(ctx, key, "b", 1)
		assert.NilError(t, err)
		assert.Equal(t, v, idempotency.VerdictInProgress)
		time.AfterFunc(time.Second, func() {
			_ = k.Finish(ctx, idempotency.Record{Kind: idempotency.KindCompleted, Key: key, Attempt: "a", Response: &idempotency.Response{Status: 201}})
		})
		v, resp, err := k.Claim(ctx, key, "c", 1)
		assert.NilError(t, err)
		assert.Equal(t, v, idempotency.VerdictCompleted)
		assert.Equal(t, resp.Status, 201)
	})
}

// Guards against a claim that is granted without a record while the log is up or for a
// service that does not allow it, against a second such grant of the same key on the
// same daemon, and against a key that is granted again after the outage.
func TestRunWithoutLog(t *testing.T) {
	runWithLog(t, func(ctx context.Context, l *memoryLog) {
		k := startKeyLog(ctx, t, l, nil)
		_, _, err := k.Claim(ctx, testKey("s", "first"), "a", 1)
		assert.NilError(t, err)
		l.setDown(true)
		_, _, err = k.Claim(ctx, testKey("allowed", "k"), "early", 1)
		assert.Assert(t, errors.Is(err, ErrKeyUnavailable), "one failed read must not count as an outage")
		time.Sleep(10 * time.Second)
		v, _, err := k.Claim(ctx, testKey("allowed", "k"), "b", 1)
		assert.NilError(t, err)
		assert.Equal(t, v, idempotency.VerdictLogDown)
		_, _, err = k.Claim(ctx, testKey("s", "k"), "c", 1)
		assert.Assert(t, errors.Is(err, ErrKeyUnavailable))
		v, _, err = k.Claim(ctx, testKey("allowed", "k"), "d", 1)
		assert.NilError(t, err)
		assert.Equal(t, v, idempotency.VerdictUnknown)
		l.setDown(false)
		time.Sleep(2 * time.Minute)
		v, _, err = k.Claim(ctx, testKey("allowed", "k"), "e", 1)
		assert.NilError(t, err)
		assert.Equal(t, v, idempotency.VerdictUnknown)
		assert.Equal(t, len(k.unrecorded), 0)
	})
}

// Guards against a key that is granted in two data centres because the set of data
// centres changed: by a daemon in the new data centre, also after its restart.
func TestMovedKeyIsRefused(t *testing.T) {
	runWithLog(t, func(ctx context.Context, l *memoryLog) {
		var revision atomic.Int64
		revision.Store(1)
		sets := [][]types.DataCentreID{nil, {"a", "b"}, {"a", "b", "c"}}
		homes := func() (types.Revision, []types.DataCentreID) {
			r := revision.Load()
			return types.Revision(r), sets[r]
		}
		key, moved := testKey("s", "k0"), testKey("s", "k0")
		for i := 0; homeOf(moved, sets[1]) != "a" || homeOf(moved, sets[2]) != "c"; i++ {
			moved = testKey("s", "k"+strconv.Itoa(i))
		}
		for i := 0; homeOf(key, sets[1]) != "a" || homeOf(key, sets[2]) != "a"; i++ {
			key = testKey("s", "k"+strconv.Itoa(i))
		}
		a := startKeyLogIn(ctx, t, "a", l, nil, homes)
		v, _, err := a.Claim(ctx, moved, "1", 1)
		assert.NilError(t, err)
		assert.Equal(t, v, idempotency.VerdictRun)
		revision.Store(2)
		time.Sleep(5 * time.Second)
		c := startKeyLogIn(ctx, t, "c", l, nil, homes)
		v, _, err = c.Claim(ctx, moved, "2", 1)
		assert.Assert(t, errors.Is(err, ErrKeyUnavailable))
		assert.Equal(t, v, idempotency.VerdictMoved)
		v, _, err = a.Claim(ctx, key, "3", 1)
		assert.NilError(t, err)
		assert.Equal(t, v, idempotency.VerdictRun)
		c = startKeyLogIn(ctx, t, "c", l, nil, homes) // a restarted daemon reads the earlier homes from the stream
		v, _, _ = c.Claim(ctx, moved, "4", 1)
		assert.Equal(t, v, idempotency.VerdictMoved)
		time.Sleep(DefaultSettings().KeyWindow)
		v, _, err = c.Claim(ctx, moved, "5", 1)
		assert.NilError(t, err)
		assert.Equal(t, v, idempotency.VerdictRun)
	})
}

// Guards against the completion record of an answered request being lost because the
// log was down for longer than the timeout of one append.
func TestCompletionSurvivesOutage(t *testing.T) {
	runWithLog(t, func(ctx context.Context, l *memoryLog) {
		k := startKeyLog(ctx, t, l, nil)
		key := testKey("s", "k")
		_, _, err := k.Claim(ctx, key, "a", 1)
		assert.NilError(t, err)
		l.setDown(true)
		finished := make(chan error, 1)
		go func() {
			finished <- k.Finish(ctx, idempotency.Record{Kind: idempotency.KindCompleted, Key: key, Attempt: "a", Response: &idempotency.Response{Status: 201}})
		}()
		time.Sleep(time.Minute)
		// If Finish returned before the record is in the log, the record would be lost
		// when the daemon is killed, and the key would stay in progress until the limit
		// (make faults, scenario log-outage).
		assert.Equal(t, len(finished), 0, "Finish returned before the record was in the log")
		l.setDown(false)
		time.Sleep(10 * time.Second)
		assert.NilError(t, <-finished)
		v, resp, err := k.Claim(ctx, key, "b", 1)
		assert.NilError(t, err)
		assert.Equal(t, v, idempotency.VerdictCompleted)
		assert.Equal(t, resp.Status, 201)
	})
}

// Guards against a repeated request that is refused at once with key_in_progress during
// an outage of the log. A caller with ten attempts then fails before the log recovers
// (make faults, scenario log-outage: key_in_progress:1, cut=1).
func TestRepeatWaitsDuringOutage(t *testing.T) {
	runWithLog(t, func(ctx context.Context, l *memoryLog) {
		k := startKeyLog(ctx, t, l, nil)
		key := testKey("s", "k")
		_, _, err := k.Claim(ctx, key, "a", 1)
		assert.NilError(t, err)
		l.setDown(true)
		l.running.Go(func() {
			_ = k.Finish(ctx, idempotency.Record{Kind: idempotency.KindCompleted, Key: key, Attempt: "a", Response: &idempotency.Response{Status: 201}})
		})
		time.Sleep(10 * time.Second)
		start := time.Now()
		v, _, err := k.Claim(ctx, key, "b", 1)
		assert.NilError(t, err)
		assert.Equal(t, v, idempotency.VerdictInProgress)
		assert.Equal(t, time.Since(start), maxRepeatWait)
		time.AfterFunc(maxRepeatWait/4, func() { l.setDown(false) })
		v, resp, err := k.Claim(ctx, key, "c", 1)
		assert.NilError(t, err)
		assert.Equal(t, v, idempotency.VerdictCompleted)
		assert.Equal(t, resp.Status, 201)
	})
}
