package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/types"
)

// Phase is a part of the load with one prompt-to-output mix.
type Phase struct {
	Name         string
	Length       time.Duration
	PerSecond    float64
	PromptTokens int
	OutputTokens int
	// CallsPerSecond is the rate of keyed bookings; each is followed by a repeat
	// with the same key and by status reads.
	CallsPerSecond float64
}

// Spec is the load of one deployment.
type Spec struct {
	Name       string
	Entries    []string
	Model      string
	Plain      string
	Workspaces []string
	Deadline   time.Duration
	Interval   time.Duration
	Phases     []Phase
	Seed       uint64
}

// Generator sends the load of one deployment through its balancer.
type Generator struct {
	spec     Spec
	client   *Client
	balancer *balancer
	count    atomic.Int64
	wg       sync.WaitGroup

	mu     sync.Mutex
	phases []*Totals
}

// NewGenerator returns a generator that has sent nothing.
func NewGenerator(s Spec) *Generator {
	g := &Generator{spec: s, client: NewClient(), balancer: newBalancer(s.Entries)}
	for range s.Phases {
		g.phases = append(g.phases, newTotals())
	}
	return g
}

// Run sends all phases, waits for the last answer and returns the totals of
// each phase. It stops sending when the context ends.
func (g *Generator) Run(ctx context.Context) []*Totals {
	health, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go g.balancer.watch(health)
	rnd := rand.New(rand.NewPCG(g.spec.Seed, 1))
	for i, p := range g.spec.Phases {
		g.runPhase(ctx, i, p, rnd)
	}
	g.wg.Wait()
	return g.phases
}

// runPhase sends requests with exponentially distributed gaps, independent of
// the answers.
func (g *Generator) runPhase(ctx context.Context, phase int, p Phase, rnd *rand.Rand) {
	start := time.Now()
	total := p.PerSecond + p.CallsPerSecond
	at := start
	for {
		at = at.Add(time.Duration(rnd.ExpFloat64() / total * float64(time.Second)))
		if at.Sub(start) > p.Length || !daemon.Sleep(ctx, time.Until(at)) {
			return
		}
		if rnd.Float64()*total < p.CallsPerSecond {
			g.start(func() { g.booking(phase) })
			continue
		}
		c := g.completion(p, rnd)
		g.start(func() { g.complete(phase, c) })
	}
}

func (g *Generator) start(f func()) {
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		f()
	}()
}

func (g *Generator) nextID() string {
	return fmt.Sprintf("%s-%d-%d", g.spec.Name, g.spec.Seed, g.count.Add(1))
}

const sharedPrefixes = 8

func (g *Generator) completion(p Phase, rnd *rand.Rand) *Completion {
	prefix := fmt.Sprintf("document %d ", rnd.IntN(sharedPrefixes))
	// Prompts vary by half around the mean of the phase.
	tokens := int(float64(p.PromptTokens) * (0.5 + rnd.Float64()))
	out := max(1, int(float64(p.OutputTokens)*(0.5+rnd.Float64())))
	size := max(tokens*types.BytesPerToken, len(prefix))
	prompt := prefix + strings.Repeat("x", size-len(prefix))
	return &Completion{
		ID: types.RequestID(g.nextID()), Workspace: g.spec.Workspaces[rnd.IntN(len(g.spec.Workspaces))],
		Model: g.spec.Model, Prompt: prompt, MaxTokens: out, Deadline: g.spec.Deadline, Interval: g.spec.Interval,
	}
}

// tries bounds how often a request that was not run is sent to another VM.
const tries = 3

func (g *Generator) complete(phase int, c *Completion) {
	vm, s := g.balance(func(vm string) Sample { return g.client.Complete(vm, c) })
	g.record(phase, vm, &s)
}

// balance sends a request to a random VM, and to another one while the answer
// says that it was not run for a reason of that VM alone.
func (g *Generator) balance(send func(vm string) Sample) (vm string, s Sample) {
	var tried []string
	for range tries {
		vm = g.balancer.pick(tried)
		s = send(vm)
		if s.Result != Refused || !elsewhere(s.Reason) {
			break
		}
		tried = append(tried, vm)
	}
	return vm, s
}

// elsewhere reports whether the refusal concerns one VM only.
func elsewhere(reason string) bool { return reason == "connection_refused" || reason == "stopping" }

const bookingDeadline = 3 * time.Second

// booking sends a keyed write, repeats it through another VM, and reads its
// status back.
func (g *Generator) booking(phase int) {
	id := g.nextID()
	c := Call{
		ID: id, Workspace: g.spec.Workspaces[0], Service: g.spec.Plain, Method: http.MethodPost, Path: "/orders/" + id,
		Key: "key-" + id, Affinity: id, Body: "order " + id, Deadline: bookingDeadline,
	}
	vm, s, status, body := g.call(&c)
	g.record(phase, vm, &s)
	if s.Result == Refused {
		return
	}
	repeat := c
	repeat.ID = id + "-repeat"
	vm, again, _, repeated := g.result(&repeat)
	if s.Result != Answered {
		return // the repeat tests only that the key does not run twice
	}
	if again.Result == Answered && repeated != body {
		again = Sample{Result: MixedUp, Reason: "repeat has another answer"}
	}
	g.record(phase, vm, &again)
	if status == http.StatusCreated {
		g.readBack(phase, &c)
	}
}

const (
	// keyTries bounds how often the result of a key that is in progress is
	// asked for.
	keyTries = 10
	// keyPause is the pause that the daemons name in retry_after_ms.
	keyPause = 500 * time.Millisecond
)

// result repeats a keyed call until its key is no longer in progress, as the
// answer tells the caller to do.
func (g *Generator) result(c *Call) (vm string, s Sample, status int, body string) {
	for range keyTries {
		vm, s, status, body = g.call(c)
		if s.Reason != "key_in_progress" || !daemon.Sleep(context.Background(), keyPause) {
			break
		}
	}
	return vm, s, status, body
}

func (g *Generator) call(c *Call) (vm string, s Sample, status int, body string) {
	vm, s = g.balance(func(vm string) Sample {
		s, status, body = g.client.CallService(vm, c)
		return s
	})
	return vm, s, status, body
}

func (g *Generator) readBack(phase int, c *Call) {
	read := *c
	read.ID, read.Method, read.Key, read.Body = c.ID+"-read", http.MethodGet, "", ""
	vm, s, status, body := g.call(&read)
	g.record(phase, vm, &s)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.phases[phase].Reads++
	if s.Result == Answered && (status != http.StatusOK || body != c.Body) {
		g.phases[phase].StaleReads++
	}
}

func (g *Generator) record(phase int, vm string, s *Sample) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.phases[phase].record(vm, s)
}
