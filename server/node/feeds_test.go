package node

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/demand"
	"github.com/lentilpick/lentilpick/directory"
	"github.com/lentilpick/lentilpick/feed"
	"github.com/lentilpick/lentilpick/gateway"
	"github.com/lentilpick/lentilpick/loadshare"
	"github.com/lentilpick/lentilpick/routes"
	"github.com/lentilpick/lentilpick/types"
	"github.com/lentilpick/lentilpick/workspaces"
)

// Guards against requests to a target whose registration expired during an outage and that has not
// registered again. A node that gets its updates from others may not read the store for a long time
// after the removal (kereru-tpl trouble-1 --seed 11: a request 3.5 s after the server had stopped).
func TestRemovalAfterOutageEndsWithoutAnotherRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := daemon.NewLogger(io.Discard, "error", "node")
		d := directory.New()
		f := &registrationHandler{outageLogger: outageLogger{log: log}, directory: d, onLoaded: func() {}}
		w := progressWatcher{log: log, directory: d, link: &fakeLink{}, notify: func(*directory.Target) {}}
		a, b := directory.Entry{ID: "a", Service: "s"}, directory.Entry{ID: "b", Service: "s"}
		f.HandleListing(feed.Listing[directory.Entry]{Items: []feed.Item[directory.Entry]{{Key: "a", Value: &a}, {Key: "b", Value: &b}}}, 0)
		f.HandleFailure(errors.New("down"), time.Second)
		f.HandleChanges([]feed.Item[directory.Entry]{{Key: "a"}, {Key: "b"}}, 3*time.Second)
		assert.Equal(t, d.Load().Len(), 2)
		for range int((reregistrationTime - time.Millisecond) / watchInterval) {
			time.Sleep(watchInterval)
			w.check(time.Now())
		}
		assert.Equal(t, d.Load().Len(), 2)
		f.HandleChanges([]feed.Item[directory.Entry]{{Key: "b", Value: &b}}, 0)
		time.Sleep(2 * watchInterval)
		w.check(time.Now())
		assert.Equal(t, d.Load().Len(), 1)
		assert.Assert(t, d.Load().Target("a") == nil)
	})
}

// Guards against a target that stays removed on other nodes after an outage: the node that reads for
// them published the removal, and must publish the new registration too, although its own directory
// still has the target.
func TestReregistrationAfterOutageIsPublished(t *testing.T) {
	d := directory.New()
	f := &registrationHandler{outageLogger: outageLogger{log: daemon.NewLogger(io.Discard, "error", "node")}, directory: d, onLoaded: func() {}}
	a := directory.Entry{ID: "a", Service: "s"}
	back := []feed.Item[directory.Entry]{{Key: "a", Value: &a, Next: 8}}
	f.HandleListing(feed.Listing[directory.Entry]{Items: []feed.Item[directory.Entry]{{Key: "a", Value: &a}}}, 0)
	assert.Equal(t, len(f.HandleChanges([]feed.Item[directory.Entry]{{Key: "a", Next: 7}}, time.Second)), 1)
	assert.Equal(t, len(f.HandleChanges(back, 0)), 1)
	assert.Equal(t, len(f.HandleChanges(back, 0)), 0, "a repeated registration is not a change")
}

// Guards against a known key that is refused while the store is away, when an older configuration or
// one that cannot be decoded is read, or because of invalid entries, which are logged once, and against
// an undecoded configuration that is not counted.
func TestKnownKeysStayValid(t *testing.T) {
	var out bytes.Buffer
	m, err := daemon.NewMetrics("test")
	assert.NilError(t, err)
	c, err := newCounters(m)
	assert.NilError(t, err)
	g := gateway.New(gateway.Settings{Now: time.Now, Demand: &demand.Table{}}, directory.New(), nil, nil, testObserver(t, io.Discard, 1))
	h := &configHandler{outageLogger: outageLogger{log: daemon.NewLogger(&out, "warn", "node")}, gateway: g, counters: c, onLoaded: func() {}, readState: func() loadshare.ReadState { return loadshare.ReadState{} }}
	table := func(version uint64, all ...*workspaces.Workspace) *routes.Table {
		x := routes.NewTable(version, routes.Limits{}, []routes.Route{{Name: "r", Host: "h", Prefix: "/", Timeout: time.Second}}, []routes.Service{{}})
		x.Workspaces = workspaces.Next(nil, all)
		return x
	}
	known, other := workspaces.NewWorkspace("a", nil, []string{"k-known"}), workspaces.NewWorkspace("b", nil, []string{"k-secret", "k-secret 2"})
	newest, older := table(2, known, other, workspaces.NewWorkspace("c", nil, []string{"k-secret"})), table(1)
	for name, step := range map[string]func(){
		"first": func() {
			h.HandleListing(feed.Listing[*routes.Table]{Items: []feed.Item[*routes.Table]{{Value: &newest}}}, 0)
		},
		"again": func() { h.HandlePeerUpdate([]feed.Item[*routes.Table]{{Value: &newest}}, 0) },
		"older": func() { h.HandleChanges([]feed.Item[*routes.Table]{{Value: &older}}, 0) },
		"listing of old": func() {
			h.HandleListing(feed.Listing[*routes.Table]{Items: []feed.Item[*routes.Table]{{Value: &older}}}, 0)
		},
		"empty listing": func() { h.HandleListing(feed.Listing[*routes.Table]{}, 0) },
		"not decoded":   func() { h.HandleChanges([]feed.Item[*routes.Table]{{Err: errors.New("malformed")}}, 0) },
		"removed":       func() { h.HandleChanges([]feed.Item[*routes.Table]{{Key: "config"}}, 0) },
		"store is away": func() { h.HandleFailure(errors.New("unavailable"), time.Hour) },
	} {
		h.HandleListing(feed.Listing[*routes.Table]{Items: []feed.Item[*routes.Table]{{Value: &newest}}}, 0)
		step()
		for key, want := range map[string]types.RefusalReason{"k-known": types.RefusedNoTarget, "k-secret": types.RefusedCredentialUnknown} {
			r := g.Serve(context.Background(), &gateway.Request{Host: "h", Path: "/", Credential: workspaces.ForKey(key), Arrived: time.Now()}, nil)
			reason, _ := types.ReasonOf(r.Outcome)
			assert.Equal(t, reason, want, "%s: %s", name, key)
		}
	}
	scrape := httptest.NewRecorder()
	m.Handler.ServeHTTP(scrape, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	assert.Assert(t, strings.Contains(scrape.Body.String(), "\nlentilpick_configurations_rejected_total 1\n"), "%s", scrape.Body)
	assert.Equal(t, strings.Count(out.String(), "left out"), 1, "%s", out.String())
	assert.Assert(t, strings.Contains(out.String(), `"invalid":2`) && !strings.Contains(out.String(), "k-"), "%s", out.String())
}

// Guards against a removal without an outage that does not take effect immediately.
func TestRemovalWithoutOutageIsImmediate(t *testing.T) {
	d := directory.New()
	f := &registrationHandler{outageLogger: outageLogger{log: daemon.NewLogger(io.Discard, "error", "node")}, directory: d, onLoaded: func() {}}
	a := directory.Entry{ID: "a", Service: "s"}
	f.HandleListing(feed.Listing[directory.Entry]{Items: []feed.Item[directory.Entry]{{Key: "a", Value: &a}}}, 0)
	changed := f.HandleChanges([]feed.Item[directory.Entry]{{Key: "a", Next: 7}}, 0)
	assert.Equal(t, d.Load().Len(), 0)
	assert.Equal(t, len(changed), 1, "the removal is published to other nodes")
	assert.Equal(t, int(changed[0].Next), 7)
}

// Guards against an immediate removal when another node publishes an expired registration while this
// node cannot read the store and cannot tell that the store had an outage.
func TestRemovalFromPeerDuringOutage(t *testing.T) {
	d := directory.New()
	f := &registrationHandler{outageLogger: outageLogger{log: daemon.NewLogger(io.Discard, "error", "node")}, directory: d, onLoaded: func() {}}
	a := directory.Entry{ID: "a", Service: "s"}
	f.HandleListing(feed.Listing[directory.Entry]{Items: []feed.Item[directory.Entry]{{Key: "a", Value: &a}}}, 0)
	f.HandlePeerUpdate([]feed.Item[directory.Entry]{{Key: "a", Next: 7}}, time.Second)
	assert.Equal(t, d.Load().Len(), 1)
	f.HandlePeerUpdate([]feed.Item[directory.Entry]{{Key: "a", Next: 8}}, 0)
	assert.Equal(t, d.Load().Len(), 1, "the grace period has started")
}

// Guards against a directory that is built anew for each registration of one read, at a cost that
// grows with the number of targets.
func TestRegistrationsOfOneReadArePublishedAtOnce(t *testing.T) {
	items := func(n, slots int) (items []feed.Item[directory.Entry]) {
		for i := range n {
			id := fmt.Sprint("target-", i)
			items = append(items, feed.Item[directory.Entry]{Key: id, Next: 1, Value: &directory.Entry{ID: types.TargetID(id), Service: "s", Slots: slots}})
		}
		return items
	}
	h := &registrationHandler{outageLogger: outageLogger{log: daemon.NewLogger(io.Discard, "error", "node")}, directory: directory.New(), onLoaded: func() {}}
	h.HandleListing(feed.Listing[directory.Entry]{Items: items(2000, 1)}, 0)
	allocated := func(changed []feed.Item[directory.Entry]) uint64 {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		assert.Equal(t, len(h.HandleChanges(changed, 0)), len(changed))
		runtime.ReadMemStats(&after)
		return after.TotalAlloc - before.TotalAlloc
	}
	one, many := allocated(items(1, 2)), allocated(items(50, 3))
	assert.Assert(t, many < 5*one, "%d bytes for 50 changes, %d for one", many, one)
}
