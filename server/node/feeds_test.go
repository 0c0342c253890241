package node

import (
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/directory"
	"github.com/lentilpick/lentilpick/feed"
)

// Guards against work for a target whose registration was removed after an
// outage and that has not registered again: a node that is told of changes by
// others may not read the store for long after the removal (kereru-tpl trouble-1
// --seed 11: a request 3.5 s after the server had left).
func TestRemovalAfterOutageEndsWithoutAnotherRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := daemon.NewLogger(io.Discard, "error", "node")
		d := directory.New()
		f := &registrationHandler{outageLogger: outageLogger{log: log}, directory: d, onLoaded: func() {}}
		w := progressWatcher{log: log, directory: d, notify: func(*directory.Target) {}}
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

// Guards against a target that other nodes lose for good after an outage, because
// the node that reads for them took its return for no change: they were told of
// the lapse.
func TestReturnAfterALapseIsTold(t *testing.T) {
	d := directory.New()
	f := &registrationHandler{outageLogger: outageLogger{log: daemon.NewLogger(io.Discard, "error", "node")}, directory: d, onLoaded: func() {}}
	a := directory.Entry{ID: "a", Service: "s"}
	back := []feed.Item[directory.Entry]{{Key: "a", Value: &a, Next: 8}}
	f.HandleListing(feed.Listing[directory.Entry]{Items: []feed.Item[directory.Entry]{{Key: "a", Value: &a}}}, 0)
	assert.Equal(t, len(f.HandleChanges([]feed.Item[directory.Entry]{{Key: "a", Next: 7}}, time.Second)), 1)
	assert.Equal(t, len(f.HandleChanges(back, 0)), 1)
	assert.Equal(t, len(f.HandleChanges(back, 0)), 0, "a registration that is repeated is no change")
}

// Guards against a removal without an outage that is not believed at once.
func TestRemovalCountsAtOnce(t *testing.T) {
	d := directory.New()
	f := &registrationHandler{outageLogger: outageLogger{log: daemon.NewLogger(io.Discard, "error", "node")}, directory: d, onLoaded: func() {}}
	a := directory.Entry{ID: "a", Service: "s"}
	f.HandleListing(feed.Listing[directory.Entry]{Items: []feed.Item[directory.Entry]{{Key: "a", Value: &a}}}, 0)
	changed := f.HandleChanges([]feed.Item[directory.Entry]{{Key: "a", Next: 7}}, 0)
	assert.Equal(t, d.Load().Len(), 0)
	assert.Equal(t, len(changed), 1, "the others are told of it")
	assert.Equal(t, int(changed[0].Next), 7)
}

// Guards against a lapse that counts as a removal because another node tells of
// it, while this node has lost the store and does not know that it was away.
func TestRemovalThatIsToldDuringOutage(t *testing.T) {
	d := directory.New()
	f := &registrationHandler{outageLogger: outageLogger{log: daemon.NewLogger(io.Discard, "error", "node")}, directory: d, onLoaded: func() {}}
	a := directory.Entry{ID: "a", Service: "s"}
	f.HandleListing(feed.Listing[directory.Entry]{Items: []feed.Item[directory.Entry]{{Key: "a", Value: &a}}}, 0)
	f.HandlePeerUpdate([]feed.Item[directory.Entry]{{Key: "a", Next: 7}}, time.Second)
	assert.Equal(t, d.Load().Len(), 1)
	f.HandlePeerUpdate([]feed.Item[directory.Entry]{{Key: "a", Next: 8}}, 0)
	assert.Equal(t, d.Load().Len(), 1, "the grace period has begun")
}
