package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/clock/clocktest"
	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/directory"
	"github.com/lentilpick/lentilpick/feed"
	"github.com/lentilpick/lentilpick/platform"
	"github.com/lentilpick/lentilpick/types"
	"github.com/lentilpick/lentilpick/versions"
)

// Guards against records of other writers that become plans, and against a record that changes
// between nodes.
func TestVersionRecords(t *testing.T) {
	next := versions.NewPlan(3, map[types.SoftwareVersion]int{"v2": 4})
	r := versions.Record{
		Sequence: 3, Writer: 1<<64 - 1, Next: &next, Previous: []versions.EarlierPlan{{Age: 2500 * time.Millisecond}},
		Current: versions.NewPlan(1, map[types.SoftwareVersion]int{"": 1, "v1": 7}),
	}
	b, err := encodeVersions(r)
	assert.NilError(t, err)
	got, err := decodeVersions("chat", b)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, r)
	for _, bad := range []string{
		``, `{}`, `{"sequence":-1}`, `{"sequence":1,"current":{"shares":{"v1":0}}}`, `{"sequence":1,"next":{"shares":{"v1":-2}}}`,
		`{"sequence":1,"previous":[{"replaced_ms":-1}]}`, `{"sequence":1,"previous":[{"replaced_ms":9223372036854775807}]}`,
		`{"sequence":1,"previous":[` + strings.Repeat(`{},`, maxPlans) + `{}]}`,
	} {
		_, err := decodeVersions("chat", []byte(bad))
		assert.Assert(t, errors.Is(err, errVersionRecord), "%s", bad)
	}
}

// versionLog is a store of versionsTopic in memory. Calls take a moment, so that writers overlap.
type versionLog struct {
	feed.Source[versions.Record] // nil; only List is called
	mu                           sync.Mutex
	values                       []string
	conflicts                    int
}

func (s *versionLog) records() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.values)
}

func (s *versionLog) List(context.Context) (feed.Listing[versions.Record], error) {
	values := s.records()
	l := feed.Listing[versions.Record]{Next: types.Offset(len(values))}
	time.Sleep(time.Millisecond)
	if n := len(values); n > 0 {
		v, err := decodeVersions("chat", []byte(values[n-1]))
		l.Items = append(l.Items, feed.Item[versions.Record]{Key: "chat", Value: &v, Err: err})
	}
	return l, nil
}

func (s *versionLog) PutAt(_ context.Context, _, _ string, value []byte, end types.Offset) error {
	time.Sleep(time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if int(end) != len(s.values) {
		s.conflicts++
		return platform.ErrConflict
	}
	s.values = append(s.values, string(value))
	return nil
}

// Guards against two nodes that each put a plan of their own in force, and against plans that follow
// registrations that lapse for a moment.
func TestTwoWritersOfVersionPlans(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store, d := &versionLog{}, directory.New()
		put := func(id int, v types.SoftwareVersion) {
			d.Put(directory.Entry{ID: types.TargetID(fmt.Sprint(id)), Service: "chat", Version: v})
		}
		put(1, "v1")
		metrics, err := daemon.NewMetrics("test")
		assert.NilError(t, err)
		c, err := newCounters(metrics)
		assert.NilError(t, err)
		var tables [2]*versions.Table
		for i := range tables {
			tables[i] = newVersionTable(2*time.Second, clocktest.Virtual)
			p := &versionPlanner{
				log: daemon.NewLogger(io.Discard, "error", "node"), counters: c, table: tables[i], directory: d, store: store, source: store,
				now: clocktest.Virtual, rank: func() int { return 0 }, confirmed: func(now clock.Instant) clock.Instant { return now }, viewed: func(now clock.Instant) clock.Instant { return now },
				registered: func() bool { return true }, mayWrite: func() bool { return true }, due: map[types.ServiceID]dueProposal{},
			}
			go p.update(ctx)
			go p.plan(ctx)
		}
		time.Sleep(10 * time.Second)
		put(2, "v2")
		time.Sleep(2 * maxStreamAge)
		var sequences []uint64
		for _, v := range store.records() {
			var r versionRecord
			assert.NilError(t, json.Unmarshal([]byte(v), &r))
			sequences = append(sequences, r.Sequence)
		}
		assert.DeepEqual(t, sequences[:3], []uint64{1, 2, 3})
		store.mu.Lock()
		conflicts := store.conflicts
		store.mu.Unlock()
		assert.Assert(t, conflicts > 0)
		assert.DeepEqual(t, tables[0].Record("chat"), tables[1].Record("chat"))
		assert.Equal(t, len(tables[0].Record("chat").Current.Shares), 2)
		records := len(store.records())
		d.Remove("2", time.Now(), 0)
		time.Sleep(2 * time.Second)
		put(2, "v2")
		time.Sleep(10 * time.Second)
		assert.Equal(t, len(store.records()), records, "a registration that lapsed for 2 s changes the plan")
		cancel()
		synctest.Wait()
	})
}

// Guards against a node that writes no plan or does not learn it from the store.
func TestNodeWritesVersionPlan(t *testing.T) {
	w := newEnvWithNode(t, 0)
	w.configure()
	w.awaitReady()
	w.waitFor("a plan of the software versions", func() bool {
		services := w.node.versions.Services()
		return len(services) > 0 && w.node.versions.Record(services[0]) != nil && len(w.store.Records("keyed."+versionsTopic)) > 0
	})
}

// Guards against a node that is ready and refuses streams because it has not counted the versions yet.
func TestReadyNodeKnowsTheVersions(t *testing.T) {
	n := &Node{directory: directory.New(), versions: newVersionTable(time.Second, clocktest.Virtual)}
	h := &registrationHandler{outageLogger: outageLogger{log: daemon.NewLogger(io.Discard, "error", "node")}, directory: n.directory, onLoaded: n.recordRegistrationsLoaded}
	entry := directory.Entry{ID: "1", Service: "chat", Version: "v1"}
	h.HandleListing(feed.Listing[directory.Entry]{Items: []feed.Item[directory.Entry]{{Key: "1", Value: &entry}}}, 0)
	assert.Assert(t, n.registrationsLoaded.Load())
	v, ok := n.versions.Assign("chat", "r")
	assert.Assert(t, ok && v == "v1")
}
