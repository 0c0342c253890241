package control

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/configuration"
	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/logclient"
	"github.com/lentilpick/lentilpick/records"
	"github.com/lentilpick/lentilpick/types"
)

// maxChangeDelay is the time within which an accepted change must be in force on every
// daemon.
const maxChangeDelay = 3 * time.Second

// faultyLog is a log in virtual time with one fault. It implements logclient.Log for a
// single stream.
type faultyLog struct {
	mu       sync.Mutex
	records  []logclient.Record
	changed  chan struct{}
	kind     string
	from, to time.Time
}

// The faults of a faultyLog.
const (
	faultDown         = "down"
	faultSlow         = "slow"
	faultUnresponsive = "unresponsive"
)

// responseTimeout is the time after which the client detects an unresponsive connection.
const responseTimeout = 1500 * time.Millisecond

func (l *faultyLog) active(kind string) bool {
	now := time.Now()
	return l.kind == kind && !now.Before(l.from) && now.Before(l.to)
}

func (l *faultyLog) Append(_ context.Context, _ string, data [][]byte) (types.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := types.Offset(len(l.records))
	for _, d := range data {
		l.records = append(l.records, logclient.Record{Offset: types.Offset(len(l.records)), At: time.Now(), Data: d})
	}
	close(l.changed)
	l.changed = make(chan struct{})
	return first, nil
}

func (l *faultyLog) Read(ctx context.Context, _ string, from types.Offset, _ int, wait time.Duration) (logclient.Batch, error) {
	if l.active(faultDown) {
		return logclient.Batch{}, logclient.ErrUnavailable
	}
	end := time.After(wait)
	for {
		l.mu.Lock()
		b := logclient.Batch{Next: types.Offset(len(l.records)), Records: append([]logclient.Record(nil), l.records[min(int(from), len(l.records)):]...)}
		changed := l.changed
		l.mu.Unlock()
		if len(b.Records) > 0 || wait == 0 {
			if l.active(faultSlow) {
				time.Sleep(500 * time.Millisecond)
			}
			if l.active(faultUnresponsive) {
				time.Sleep(responseTimeout)
				return logclient.Batch{}, logclient.ErrUnavailable
			}
			return b, ctx.Err()
		}
		select {
		case <-ctx.Done():
			return logclient.Batch{}, ctx.Err()
		case <-changed:
		case <-end:
			wait = 0
		}
	}
}

// Guards against a daemon on which an accepted change comes into force late or not at
// all because of a log fault at about the same time. It makes a change at each of many
// times before, during and after the fault.
func TestChangesAroundLogFaults(t *testing.T) {
	data, err := records.EncodeChange(&configuration.Change{
		ID: "c", Kind: configuration.ObjectWorkspace, ObjectID: "club", Workspace: &configuration.Workspace{ID: "club", Share: 1},
	})
	assert.NilError(t, err)
	const faultAt, step, steps = 5 * time.Second, 70 * time.Millisecond, 120
	for _, kind := range []string{faultDown, faultSlow, faultUnresponsive} {
		for _, length := range []time.Duration{300 * time.Millisecond, 2 * time.Second} {
			t.Run(fmt.Sprintf("%s for %s", kind, length), func(t *testing.T) {
				for k := range steps {
					synctest.Test(t, func(t *testing.T) {
						ctx, cancel := context.WithCancel(t.Context())
						defer cancel()
						start := time.Now().Add(faultAt)
						l := &faultyLog{changed: make(chan struct{}), kind: kind, from: start, to: start.Add(length)}
						c := NewConfigLog(l, daemon.NewLogger(io.Discard, "error", "test"))
						go logclient.Follow(ctx, l, logclient.StreamConfig, c)
						time.Sleep(faultAt - 2*time.Second + time.Duration(k)*step)
						_, err := l.Append(ctx, logclient.StreamConfig, [][]byte{data})
						assert.NilError(t, err)
						// The delay of a change during the fault counts from the end of the fault.
						time.Sleep(max(time.Until(l.to), 0) + maxChangeDelay)
						assert.Assert(t, c.Config().Workspaces["club"].Value.Share == 1, "change not in force: made %s after the start of the fault", time.Duration(k)*step-2*time.Second)
						cancel()
						synctest.Wait()
					})
				}
			})
		}
	}
}
