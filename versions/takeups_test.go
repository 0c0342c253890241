package versions

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/clock"
)

// takeUpRun plays a service with the bounds that nodes use (server/node/versions.go): a writer that
// proposes plans, and a node that takes streams up. Streams begin twenty times a second.
type takeUpRun struct {
	now          clock.Instant
	writer, node testNode
	record       *Record
	due          map[Reason]clock.Instant
	registered   targets
	streams      []stream
	refusedNew   int
	begunNew     int
}

const (
	runPropagation = 4 * time.Second
	runTimeout     = 6 * time.Second // of a route
	runTick        = 500 * time.Millisecond
)

func newTakeUpRun() *takeUpRun {
	r := &takeUpRun{due: map[Reason]clock.Instant{}}
	r.writer, r.node = r.newNode(), r.newNode()
	return r
}

func (r *takeUpRun) newNode() testNode {
	return testNode{NewTable(Settings{Propagation: runPropagation, MaxAge: runTimeout, ViewAge: 3 * time.Second, Now: func() clock.Instant { return r.now }}), &r.now}
}

// restart replaces all nodes, which lose their state. They know the record of the store.
func (r *takeUpRun) restart() {
	r.writer, r.node = r.newNode(), r.newNode()
	for _, n := range []testNode{r.writer, r.node} {
		n.learn(r.record)
		n.Register(chat, r.registered)
	}
}

// run lets time pass with the given targets while streams begin.
func (r *takeUpRun) run(d time.Duration, registered targets) {
	r.registered = registered
	for end := r.now.Add(d); r.now < end; r.now = r.now.Add(runTick) {
		for _, n := range []testNode{r.writer, r.node} {
			n.Register(chat, registered)
			n.learn(r.record)
		}
		if _, reason, ok := r.writer.Propose(chat, 0); ok {
			hold := map[Reason]time.Duration{ReasonAppeared: time.Second, ReasonLost: 3 * time.Second, ReasonShares: 3 * time.Second}[reason]
			since, known := r.due[reason]
			if !known {
				since = r.now
				r.due[reason] = r.now
			}
			if r.now.Sub(since) >= hold {
				r.record = r.writer.step(r.record, 1)
				r.node.learn(r.record)
				clear(r.due)
			}
		} else {
			clear(r.due)
		}
		r.begin(10)
	}
}

func (r *takeUpRun) begin(n int) {
	for range n {
		id := requestID(r.begunNew + r.refusedNew)
		v, ok := r.node.Assign(chat, id)
		if !ok || r.registered[v] == 0 {
			r.refusedNew++
			continue
		}
		r.begunNew++
		r.streams = append(r.streams, stream{id, r.now, v})
	}
}

// takeUps returns how many of the streams that began in the last three seconds before a time are
// eligible, because two targets of their version serve, and how many of those go on.
func (r *takeUpRun) takeUps(before clock.Instant) (eligible, goOn int) {
	for _, s := range r.streams {
		if age := before.Sub(s.begun); age < 0 || age > 3*time.Second || r.registered[s.version] < 2 {
			continue
		}
		eligible++
		if v, ok := r.node.Resolve(chat, s.id, runTimeout); ok && v == s.version {
			goOn++
		}
	}
	return eligible, goOn
}

// checkTakeUps checks the users' rule LOST: the share of the streams taken up that go on is at least
// half of the share of new streams that begin.
func (r *takeUpRun) checkTakeUps(t *testing.T, before clock.Instant) {
	t.Helper()
	eligible, goOn := r.takeUps(before)
	assert.Assert(t, eligible >= 12, "%d", eligible)
	begin := 0
	for i := range 100 {
		if v, ok := r.node.Assign(chat, requestID(1_000_000+i)); ok && r.registered[v] > 0 {
			begin++
		}
	}
	t.Logf("%d of %d streams go on, %d of 100 new ones begin, %d earlier plans, record %+v", goOn, eligible, begin, len(r.record.Previous), r.record)
	assert.Check(t, goOn*2*100 >= eligible*begin, "%d of %d streams go on, %d of 100 new ones begin", goOn, eligible, begin)
}

// Guards against callers whose streams are all refused after all nodes were killed at once: soon after
// the first plan of a service without any other version, and during and after a release that replaces
// one of ten targets each few seconds.
func TestTakeUpsAfterRestartOfAllNodes(t *testing.T) {
	t.Run("one version, first minute", func(t *testing.T) {
		r := newTakeUpRun()
		r.run(30*time.Second, targets{"v1": 10})
		killed := r.now
		r.checkTakeUps(t, killed) // without a restart
		r.now = r.now.Add(2 * time.Second)
		r.restart()
		r.checkTakeUps(t, killed)
	})
	for _, replaced := range []int{1, 3, 5, 7, 10} {
		t.Run(fmt.Sprintf("release, %d of 10 replaced", replaced), func(t *testing.T) {
			r := newTakeUpRun()
			r.run(2*time.Minute, targets{"v1": 10})
			for i := 1; i <= replaced; i++ {
				now := targets{"v2": i}
				if i < 10 {
					now["v1"] = 10 - i
				}
				r.run(5*time.Second, now)
			}
			r.run(10*time.Second, r.registered)
			killed := r.now
			t.Log("without a restart")
			r.checkTakeUps(t, killed)
			r.now = r.now.Add(2 * time.Second)
			r.restart()
			t.Log("after a restart of all nodes")
			r.checkTakeUps(t, killed)
		})
	}
}

// Guards against callers whose streams are all refused because all nodes are killed again before plans
// that were replaced, or the unknown one before the first record, are old enough since their start.
func TestTakeUpsAmongKillsOfAllNodes(t *testing.T) {
	for _, before := range []targets{nil, {"v1": 10}} {
		t.Run(fmt.Sprintf("after %v", before), func(t *testing.T) {
			r := newTakeUpRun()
			serving := targets{"v1": 2, "v2": 8}
			if before != nil {
				r.run(2*time.Minute, before)
			}
			for range 4 {
				r.run(7*time.Second, serving)
				r.now = r.now.Add(time.Second)
				r.restart()
			}
			r.run(3*time.Second, serving)
			r.checkTakeUps(t, r.now)
		})
	}
}

// Guards against a release, without a failure of a node, in which most streams are refused when they
// are taken up, or many new ones when they begin.
func TestTakeUpsDuringRelease(t *testing.T) {
	for _, pause := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			r := newTakeUpRun()
			r.run(2*time.Minute, targets{"v1": 10})
			eligible, goOn := 0, 0
			begun, refused := r.begunNew, r.refusedNew
			for i := 1; i <= 10+int(20*time.Second/pause); i++ {
				now := targets{"v2": min(i, 10)}
				if i < 10 {
					now["v1"] = 10 - i
				}
				r.run(pause, now)
				e, g := r.takeUps(r.now)
				t.Logf("%d replaced: %d of %d go on; new streams refused so far %d of %d", min(i, 10), g, e, r.refusedNew-refused, r.refusedNew-refused+r.begunNew-begun)
				eligible, goOn = eligible+e, goOn+g
			}
			begun, refused = r.begunNew-begun, r.refusedNew-refused
			t.Logf("take-ups that go on: %d of %d; new streams refused: %d of %d", goOn, eligible, refused, begun+refused)
			assert.Check(t, float64(goOn)/float64(eligible) >= 0.5*float64(begun)/float64(begun+refused))
		})
	}
}

// Guards against callers whose streams are all refused long after a release has ended, if all nodes are
// killed then.
func TestTakeUpsAfterRestartLongAfterRelease(t *testing.T) {
	for _, since := range []time.Duration{20 * time.Second, 40 * time.Second, time.Minute, 90 * time.Second} {
		t.Run(since.String(), func(t *testing.T) {
			r := newTakeUpRun()
			r.run(2*time.Minute, targets{"v1": 10})
			for i := 1; i < 10; i++ {
				r.run(5*time.Second, targets{"v1": 10 - i, "v2": i})
			}
			r.run(since, targets{"v2": 10})
			killed := r.now
			r.now = r.now.Add(2 * time.Second)
			r.restart()
			r.checkTakeUps(t, killed)
		})
	}
}

// Guards against callers whose streams are mostly refused in the seconds after a fast release, in which
// no node failed and all new streams begin. Streams break off then with targets that crash.
func TestTakeUpsAfterFastRelease(t *testing.T) {
	for _, since := range []time.Duration{8 * time.Second, 12 * time.Second, 16 * time.Second, 20 * time.Second, 24 * time.Second} {
		t.Run(since.String(), func(t *testing.T) {
			r := newTakeUpRun()
			r.run(2*time.Minute, targets{"v1": 10})
			for i := 1; i < 10; i++ {
				r.run(time.Second, targets{"v1": 10 - i, "v2": i})
			}
			r.run(since, targets{"v2": 10})
			r.checkTakeUps(t, r.now)
		})
	}
}

// Guards against a stream that a node resolves to the current plan although another one has begun it by
// the next, after the service has had no targets at all. Nodes register such a service with nil
// (server/node/versions.go). TestStreamsResolveToTheirVersionOrNotAtAll with nil for an empty map found
// it, -rapid.seed=162711787.
func TestVersionThatReturnsAfterAllTargetsWereLost(t *testing.T) {
	now := clock.Instant(time.Hour)
	a, b := newTestNode(&now, 0), newTestNode(&now, 0)
	a.Register(chat, targets{"v2": 1})
	b.Register(chat, targets{"v2": 1})
	r := a.step(nil, 1)
	b.learn(r)
	now = now.Add(propagation + maxAge + 1)
	a.Register(chat, nil)
	b.Register(chat, nil)
	now = now.Add(2*viewAge + 1)
	a.learn(r)
	b.learn(r)
	a.Register(chat, targets{"v1": 1})
	learned := now
	r = a.step(r, 1)
	b.Register(chat, targets{"v1": 1, "v2": 1}) // has the record of less than propagation ago
	const step, steps = 250 * time.Millisecond, 24
	begins := 0
	for range steps {
		if begun, ok := a.Assign(chat, requestID(1)); ok {
			begins++
			v, ok := b.Resolve(chat, requestID(1), time.Second)
			assert.Assert(t, !ok || v == begun, "begun at %s, resolved to %s", begun, v)
		}
		now = now.Add(step)
		r = a.step(r, 1)
		if now.Sub(learned) > propagation {
			b.learn(r)
		}
	}
	assert.Assert(t, begins > 0)
}
