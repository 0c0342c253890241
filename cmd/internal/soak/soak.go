package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/lentilpick/lentilpick/platform/standin"
)

// Cmd runs soaks.
type Cmd struct {
	Bin      string        `default:"bin" help:"Folder of the programs."`
	Out      string        `default:"out/soak" help:"Folder for settings and logs; each seed has its own."`
	Seed     uint64        `default:"1" help:"First seed."`
	Runs     int           `default:"1" help:"Number of seeds, one after the other."`
	Duration time.Duration `default:"8s" help:"Time of faults in each run."`
}

// Run implements the command.
func (c *Cmd) Run() error {
	var failed error
	for i := range c.Runs {
		seed := c.Seed + uint64(i)
		summary, err := run(c.Bin, fmt.Sprintf("%s/%d", c.Out, seed), seed, c.Duration)
		fmt.Printf("soak: seed=%d %s\n", seed, summary)
		if err != nil {
			fmt.Printf("soak: seed=%d FAILED: %v\n", seed, err)
			failed = merry.Appendf(ErrSoak, "seed %d", seed)
		}
	}
	return failed
}

const (
	startLimit   = 10 * time.Second
	recoverLimit = 12 * time.Second
	// maxFaultPause is the longest time between two faults; they overlap.
	maxFaultPause = 900 * time.Millisecond
	maxFaultTime  = 2500 * time.Millisecond
)

// soak is one run.
type soak struct {
	world   *world
	callers callers
	rnd     *rand.Rand
	wg      sync.WaitGroup
	mu      sync.Mutex // guards the nodes' processes and errs
	errs    []error
	faults  int
}

func run(bin, dir string, seed uint64, d time.Duration) (string, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", err
	}
	w, err := newWorld(bin, dir)
	if err != nil {
		return "", err
	}
	defer w.close()
	s := &soak{world: w, rnd: rand.New(rand.NewPCG(seed, 0))}
	s.callers.world = w
	if !s.recovered(startLimit) {
		return "", errors.New("the nodes did not become ready")
	}
	ctx, stop := context.WithCancel(context.Background())
	var calls sync.WaitGroup
	s.callers.run(ctx, seed, &calls)
	s.disturb(time.Now().Add(d))
	s.wg.Wait()
	if !s.recovered(recoverLimit) {
		s.fail(errors.New("not all nodes serve again after the last fault"))
	}
	stop()
	calls.Wait()
	s.fail(s.callers.check(w.targets))
	s.fail(s.checkOrders())
	return s.summary(), errors.Join(s.errs...)
}

func (s *soak) fail(err error) {
	if err != nil {
		s.mu.Lock()
		s.errs = append(s.errs, err)
		s.mu.Unlock()
	}
}

func (s *soak) summary() string {
	counts := map[string]int{}
	for _, o := range s.callers.all {
		switch {
		case o.left:
			counts["left"]++
		case o.whole && o.status == http.StatusOK:
			counts["answered"]++
		case o.refused():
			counts["refused"]++
		default:
			counts["failed"]++
		}
	}
	return fmt.Sprintf("requests=%d answered=%d refused=%d failed=%d left=%d faults=%d",
		len(s.callers.all), counts["answered"], counts["refused"], counts["failed"], counts["left"], s.faults)
}

// disturb injects faults until the end. Each runs beside the others.
func (s *soak) disturb(end time.Time) {
	faults := []func(d time.Duration){
		s.killNode, s.pauseNode, s.stopNode, s.cutStore, s.storeDown, s.storeForgets,
		s.cutTarget, s.resetTarget, s.greyTarget, s.drainTarget, s.changeConfig, s.loseAnswers,
	}
	for time.Now().Before(end) {
		f := faults[s.rnd.IntN(len(faults))]
		d := time.Duration(s.rnd.Int64N(int64(maxFaultTime)))
		s.faults++
		f(d)
		pause(context.Background(), time.Duration(s.rnd.Int64N(int64(maxFaultPause))))
	}
}

// after runs f when a fault ends.
func (s *soak) after(d time.Duration, f func()) {
	s.wg.Go(func() {
		pause(context.Background(), d)
		f()
	})
}

func (s *soak) node() *node              { return s.world.nodes[s.rnd.IntN(len(s.world.nodes))] }
func (s *soak) target() int              { return s.rnd.IntN(len(s.world.targets)) }
func (s *soak) locked(f func())          { s.mu.Lock(); defer s.mu.Unlock(); f() }
func (s *soak) disturbed(n *node) func() { return func() { n.disturbed = time.Now() } }

// claim makes the caller the one that ends a node's process and starts it again.
func (s *soak) claim(n *node) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n.ending {
		return false
	}
	n.ending = true
	return true
}

func (s *soak) restart(n *node) {
	s.fail(s.world.start(n))
	s.locked(func() { n.ending = false })
}

// killNode ends a node without notice; one that is just stopping as well.
func (s *soak) killNode(d time.Duration) {
	n := s.node()
	s.locked(func() { n.disturbed = time.Now().Add(time.Hour) })
	mine := s.claim(n)
	n.signal(syscall.SIGKILL)
	s.after(d, func() {
		if mine {
			n.ended(time.Second)
			s.restart(n)
		}
		s.locked(s.disturbed(n))
	})
}

func (s *soak) pauseNode(d time.Duration) {
	n := s.node()
	s.locked(func() { n.disturbed = time.Now().Add(time.Hour); n.signal(syscall.SIGSTOP) })
	s.after(d, func() { s.locked(func() { n.signal(syscall.SIGCONT); n.disturbed = time.Now() }) })
}

// stopNode stops a node as planned and starts it again. Unless something else
// has happened to it, no request may be cut.
func (s *soak) stopNode(time.Duration) {
	n := s.node()
	from := time.Now()
	n.signal(syscall.SIGTERM)
	if !s.claim(n) {
		return
	}
	s.wg.Go(func() {
		if !n.ended(stopTime + time.Second) {
			var disturbed bool
			s.locked(func() { disturbed = n.disturbed.After(from) })
			if !disturbed {
				s.fail(fmt.Errorf("%s did not stop within its time", n.name))
			}
			n.signal(syscall.SIGKILL)
			n.ended(time.Second)
		}
		to := time.Now()
		s.locked(func() {
			if n.disturbed.Before(from.Add(-time.Second)) && s.calm(from) {
				if cut := s.callers.cutByPlan(n, from, to); len(cut) > 0 {
					s.errs = append(s.errs, fmt.Errorf("%s: a planned stop cut %v", n.name, cut))
				}
			}
		})
		s.restart(n)
	})
}

// calm reports whether no target was disturbed since shortly before from. The
// caller holds the lock.
func (s *soak) calm(from time.Time) bool { return s.world.harmed.Before(from.Add(-3 * time.Second)) }

func (s *soak) cutStore(d time.Duration) {
	n := s.node()
	n.store.set(1 + fault(s.rnd.IntN(int(faultCount)-1)))
	s.after(d, func() { n.store.set(faultNone); n.store.reset() })
}

func (s *soak) storeDown(d time.Duration) {
	s.world.store.Down.Store(true)
	s.after(d, func() { s.world.store.Down.Store(false) })
}

func (s *soak) loseAnswers(d time.Duration) {
	s.world.store.LoseResponses.Store(true)
	s.after(d, func() { s.world.store.LoseResponses.Store(false) })
}

func (s *soak) storeForgets(time.Duration) { s.world.store.DropAllRecords() }

func (s *soak) changeConfig(time.Duration) { s.world.configure() }

// harm notes that targets are disturbed until a fault ends.
func (s *soak) harm(d time.Duration) {
	s.locked(func() { s.world.harmed = time.Now().Add(d) })
}

func (s *soak) cutTarget(d time.Duration) {
	l := s.world.links[s.target()]
	s.harm(d)
	l.set(1 + fault(s.rnd.IntN(int(faultCount)-1)))
	s.after(d, func() { l.set(faultNone) })
}

func (s *soak) resetTarget(time.Duration) {
	s.harm(0)
	s.world.links[s.target()].reset()
}

func (s *soak) greyTarget(d time.Duration) {
	t := s.world.targets[s.target()]
	s.harm(d)
	b := normal
	switch s.rnd.IntN(6) {
	case 0:
		b.Refuse = true
	case 1:
		b.Fail = true
	case 2:
		b.Unresponsive = true
	case 3:
		b.TruncateAfter = 2
	case 4:
		b.LoseHandles = true
	default:
		b.Work = 20 * normal.Work
	}
	t.SetBehaviour(b)
	s.after(d, func() { t.SetBehaviour(normal) })
}

// drainTarget takes a target out as planned for a while.
func (s *soak) drainTarget(d time.Duration) {
	t := s.world.targets[s.target()]
	t.SetDraining(true)
	s.after(d, func() { t.SetDraining(false) })
}

// recovered waits until all nodes are ready and answer a request of each route.
func (s *soak) recovered(limit time.Duration) bool {
	end := time.Now().Add(limit)
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, n := range s.world.nodes {
		for i, r := range standin.Routes {
			for k := 0; !s.serves(client, n, fmt.Sprintf("c%d-%d-%d-%s", rand.Uint64(), i, k, n.name), r); k++ {
				if time.Now().After(end) {
					return false
				}
				pause(context.Background(), 50*time.Millisecond)
			}
		}
	}
	return true
}

func (s *soak) serves(client *http.Client, n *node, id string, r standin.Route) bool {
	resp, err := client.Get("http://" + n.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	o := send(client, n, id, r, false)
	return resp.StatusCode == http.StatusOK && o.whole && o.status == http.StatusOK
}

// checkOrders checks that no engine took orders of two holders under one fencing
// number, or of an older holder after a newer one.
func (s *soak) checkOrders() error {
	var errs []error
	for _, t := range s.world.targets {
		holders := map[int64]string{}
		last := int64(0)
		for _, o := range t.Orders() {
			if o.Status != http.StatusAccepted {
				continue
			}
			if h := holders[o.Fence]; h != "" && h != o.Holder {
				errs = append(errs, fmt.Errorf("%s took orders of %s and %s under the number %d", t.ID, h, o.Holder, o.Fence))
			}
			if o.Fence < last {
				errs = append(errs, fmt.Errorf("%s took an order of %s under the number %d after %d", t.ID, o.Holder, o.Fence, last))
			}
			holders[o.Fence], last = o.Holder, o.Fence
		}
	}
	return errors.Join(errs...)
}
