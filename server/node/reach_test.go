package node

import (
	"context"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/directory"
	"github.com/lentilpick/lentilpick/types"
)

// linkEnv is the link of a node to six targets of two services in two data centres.
type linkEnv struct {
	*targetLink
	// reaches reports whether a target accepts connections, and refused how it does not.
	reaches    atomic.Value // of type func(*directory.Target) bool
	refused    bool
	closedIdle atomic.Int64
}

func newLinkEnv(t *testing.T) *linkEnv {
	m, err := daemon.NewMetrics("test")
	assert.NilError(t, err)
	d := directory.New()
	for i := range 6 {
		d.Put(directory.Entry{ID: types.TargetID(rune('a' + i)), Service: types.ServiceID("llm" + string(rune('0'+i%2))), DataCentre: types.DataCentreID("dc" + string(rune('0'+i/3)))})
	}
	e := &linkEnv{}
	e.reaches.Store(reachable)
	e.targetLink, err = newTargetLink(daemon.NewLogger(io.Discard, "error", "node"), m, d)
	assert.NilError(t, err)
	e.now = func() clock.Instant { return clock.Instant(clock.Nanos(time.Now())) }
	e.closeIdle = func() { e.closedIdle.Add(1) }
	e.probe = func(t *directory.Target, timeout time.Duration) error {
		switch {
		case e.reaches.Load().(func(*directory.Target) bool)(t):
			time.Sleep(20 * time.Millisecond)
			e.RecordConnected(t.Hash, e.now())
			return nil
		case e.refused:
			e.RecordUnreachable(t.Hash, e.now())
			return &net.OpError{Err: syscall.ECONNREFUSED}
		}
		time.Sleep(timeout)
		e.RecordUnreachable(t.Hash, e.now())
		return &net.OpError{Err: os.ErrDeadlineExceeded}
	}
	return e
}

// runLink runs a test in virtual time beside the prober.
func runLink(t *testing.T, f func(e *linkEnv)) {
	synctest.Test(t, func(t *testing.T) {
		e := newLinkEnv(t)
		ctx, cancel := context.WithCancel(context.Background())
		go e.run(ctx)
		f(e)
		cancel()
		synctest.Wait()
		e.pool.Release()
		time.Sleep(10 * time.Second) // the workers of the pool end
	})
}

func reachable(*directory.Target) bool   { return true }
func unreachable(*directory.Target) bool { return false }

// Guards against a node that finds out about the loss of its link by the time-outs of requests, keeps
// idle connections that may be dead, or avoids targets for failures of its link.
func TestLostLinkIsFoundByProbes(t *testing.T) {
	for _, refused := range []bool{false, true} {
		runLink(t, func(e *linkEnv) {
			target := e.directory.Load().Target("a")
			e.refused = refused
			e.reaches.Store(unreachable)
			e.RecordSuspicion(target.Hash, e.now())
			time.Sleep(300 * time.Millisecond)
			assert.Assert(t, e.Lost())
			assert.Equal(t, e.closedIdle.Load() == 1, !refused)
			target.Load.RecordUnreachable(time.Now())
			target.Load.PauseUntil(time.Now().Add(time.Minute))
			ordered := e.directory.Load().Target("b")
			ordered.Load.SuspendUntil(time.Now().Add(time.Minute))
			time.Sleep(10 * time.Second)
			assert.Assert(t, e.Lost())
			e.reaches.Store(reachable)
			time.Sleep(1300 * time.Millisecond)
			assert.Assert(t, !e.Lost())
			assert.Assert(t, target.Usable(time.Now()) && target.Load.FailureShare() == 0)
			assert.Assert(t, target.Load.Failing(), "the target may have restarted")
			assert.Assert(t, !ordered.Usable(time.Now()), "an order takes the target out of use")
		})
	}
}

// Guards against a failed target that is taken for a lost link, and against probes without a reason.
func TestFailedTargetIsNoLostLink(t *testing.T) {
	runLink(t, func(e *linkEnv) {
		probes := atomic.Int64{}
		probe := e.probe
		e.probe = func(t *directory.Target, d time.Duration) error { probes.Add(1); return probe(t, d) }
		time.Sleep(time.Minute)
		assert.Equal(t, probes.Load(), int64(0))
		dead := e.directory.Load().Target("a")
		e.reaches.Store(func(t *directory.Target) bool { return t.ID != dead.ID })
		e.RecordUnreachable(dead.Hash, e.now())
		time.Sleep(time.Second)
		assert.Assert(t, !e.Lost() && !e.InDoubt() && probes.Load() > 0)
	})
}

// fakeLink is a link in a given state.
type fakeLink struct {
	lost, inDoubt bool
	suspicions    int
}

func (l *fakeLink) Lost() bool    { return l.lost }
func (l *fakeLink) InDoubt() bool { return l.inDoubt }

func (l *fakeLink) RecordSuspicion(uint64, clock.Instant) { l.suspicions++ }

// Guards against a node without a link to the targets that tells the other nodes that sound targets
// are stalled, which pauses them on all nodes.
func TestLostLinkStallsNoTargets(t *testing.T) {
	d := directory.New()
	d.Put(directory.Entry{ID: "silent", Service: "desk"})
	d.Put(directory.Entry{ID: "other", Service: "desk"})
	d.Put(directory.Entry{ID: "ordered", Service: "llm"})
	silent, other, ordered := d.Load().Target("silent"), d.Load().Target("other"), d.Load().Target("ordered")
	now := time.Now()
	silent.Load.BeginWork(directory.Work{Requests: 1}, now)
	ordered.Load.SuspendUntil(now.Add(time.Minute))
	var notified []types.TargetID
	link := &fakeLink{inDoubt: true}
	w := progressWatcher{
		log: daemon.NewLogger(io.Discard, "error", "node"), directory: d, link: link,
		notify: func(t *directory.Target) { notified = append(notified, t.ID) },
	}
	w.check(now.Add(plainProgressTimeout))
	assert.Equal(t, link.suspicions, 0)
	now = now.Add(plainProgressTimeout + time.Millisecond)
	w.check(now)
	assert.DeepEqual(t, notified, []types.TargetID{"ordered", "ordered"})
	assert.Assert(t, !silent.Load.Suspected() && !silent.Usable(now))
	assert.Equal(t, link.suspicions, 0, "one slow target is usual")
	other.Load.BeginWork(directory.Work{Requests: 1}, now.Add(-time.Hour))
	w.check(now)
	assert.Equal(t, link.suspicions, 2)
	other.Load.Local.Add(directory.Work{Requests: -1})
	notified = notified[1:]
	link.inDoubt = false
	w.check(now)
	assert.Assert(t, silent.Load.Suspected() && len(notified) == 4)
	// A target that stalled before the doubt is no longer told either.
	link.inDoubt = true
	w.check(now)
	assert.Assert(t, !silent.Load.Suspected() && ordered.Load.Suspected())
}

// Guards against a lost link, or a data centre of targets that this node has lost, that counts as a
// crash of an engine, and against crashes that no longer count.
func TestCutIsNoCrash(t *testing.T) {
	for name, c := range map[string]struct {
		reaches func(*directory.Target) bool
		want    bool
	}{
		"crashed":     {func(t *directory.Target) bool { return t.ID != "a" }, false},
		"link":        {unreachable, true},
		"data centre": {func(t *directory.Target) bool { return t.DataCentre == "dc1" }, true},
	} {
		runLink(t, func(e *linkEnv) {
			e.reaches.Store(c.reaches)
			assert.Equal(t, e.explains(e.directory.Load().Target("a")), c.want, name)
		})
	}
	runLink(t, func(e *linkEnv) {
		e.reaches.Store(unreachable)
		for _, id := range []types.TargetID{"b", "c", "d", "e", "f"} {
			e.directory.Remove(id, time.Now(), 0)
		}
		assert.Assert(t, !e.explains(e.directory.Load().Target("a")), "the only target")
	})
}

// Guards against a cut that is told to all nodes as evidence against a prompt part, and one that
// counts as an answer.
func TestCutProvesNothingAboutAPrompt(t *testing.T) {
	for _, explained := range []bool{true, false} {
		d := newTestDetector(t, func() bool { return false })
		d.linkExplains = func(*directory.Target) bool { return explained }
		for i := range uint64(3) {
			engine := &directory.Target{Hash: 7 + i}
			d.RecordBroken(engine, []directory.Part{{ID: 0xbad}}, 0)
			d.RecordUnmarkedEnd(engine, []directory.Part{{ID: 0xbad}}, 1)
		}
		assert.Equal(t, len(evaluateChecks(t, d)) == 0, explained)
		assert.Equal(t, d.guard.KnownCrash(directory.Lifetime{Target: 7}), !explained)
	}
}

// Guards against a cut that ends during the check of a target and counts as a crash: the target cannot
// be reached, and the others can be reached afterwards.
func TestLinkThatReturnsDuringCheckIsNoCrash(t *testing.T) {
	var returned atomic.Bool
	d := newTestDetector(t, func() bool { return returned.Load() })
	d.linkExplains = func(*directory.Target) bool {
		returned.Store(true)
		return false
	}
	d.RecordBroken(&directory.Target{Hash: 7}, []directory.Part{{ID: 0xbad}}, 0)
	evaluateChecks(t, d)
	assert.Assert(t, !d.guard.KnownCrash(directory.Lifetime{Target: 7}))
}
