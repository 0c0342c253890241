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

// Phase is a period of the load with a constant mix of requests.
type Phase struct {
	Name                 string
	Duration             time.Duration
	CompletionsPerSecond float64
	PromptTokens         int
	OutputTokens         int
	// CallsPerSecond is the rate of bookings, which are calls with an idempotency
	// key. Each is followed by a repeat with the same key and a status read.
	CallsPerSecond float64
}

// Spec describes the load of one deployment.
type Spec struct {
	Name           string
	EntryAddresses []string
	Model          string
	PlainService   string
	Workspaces     []string
	Deadline       time.Duration
	TokenInterval  time.Duration
	Phases         []Phase
	Seed           uint64
}

// Generator sends the load of one deployment, balanced over its VMs.
type Generator struct {
	spec         Spec
	client       *Client
	balancer     *balancer
	requestCount atomic.Int64
	wg           sync.WaitGroup

	mu     sync.Mutex
	phases []*Totals
}

// NewGenerator returns a generator for the load s.
func NewGenerator(s Spec) *Generator {
	g := &Generator{spec: s, client: NewClient(), balancer: newBalancer(s.EntryAddresses)}
	for range s.Phases {
		g.phases = append(g.phases, newTotals())
	}
	return g
}

// Run sends the load of all phases, waits for the last response and returns the
// totals of each phase. It stops sending when the context ends.
func (g *Generator) Run(ctx context.Context) []*Totals {
	health, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go g.balancer.runHealthChecks(health)
	rnd := rand.New(rand.NewPCG(g.spec.Seed, 1))
	for i, p := range g.spec.Phases {
		g.runPhase(ctx, i, p, rnd)
	}
	g.wg.Wait()
	return g.phases
}

// runPhase sends requests as an open-loop Poisson process: the times between
// requests are exponentially distributed and independent of the responses.
func (g *Generator) runPhase(ctx context.Context, phase int, p Phase, rnd *rand.Rand) {
	start := time.Now()
	total := p.CompletionsPerSecond + p.CallsPerSecond
	at := start
	for {
		at = at.Add(time.Duration(rnd.ExpFloat64() / total * float64(time.Second)))
		if at.Sub(start) > p.Duration || !daemon.Sleep(ctx, time.Until(at)) {
			return
		}
		if rnd.Float64()*total < p.CallsPerSecond {
			g.runAsync(func() { g.runBooking(phase) })
			continue
		}
		c := g.newCompletion(p, rnd)
		g.runAsync(func() { g.runCompletion(phase, c) })
	}
}

func (g *Generator) runAsync(f func()) {
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		f()
	}()
}

func (g *Generator) nextID() string {
	return fmt.Sprintf("%s-%d-%d", g.spec.Name, g.spec.Seed, g.requestCount.Add(1))
}

// sharedPrefixCount is the number of distinct prompt prefixes.
const sharedPrefixCount = 8

func (g *Generator) newCompletion(p Phase, rnd *rand.Rand) *Completion {
	prefix := fmt.Sprintf("document %d ", rnd.IntN(sharedPrefixCount))
	// Prompt and output lengths are uniform within 50 % of the mean of the phase.
	tokens := int(float64(p.PromptTokens) * (0.5 + rnd.Float64()))
	out := max(1, int(float64(p.OutputTokens)*(0.5+rnd.Float64())))
	size := max(tokens*types.BytesPerToken, len(prefix))
	prompt := prefix + strings.Repeat("x", size-len(prefix))
	return &Completion{
		ID: types.RequestID(g.nextID()), Workspace: g.spec.Workspaces[rnd.IntN(len(g.spec.Workspaces))],
		Model: g.spec.Model, Prompt: prompt, MaxTokens: out, Deadline: g.spec.Deadline, TokenInterval: g.spec.TokenInterval,
	}
}

// maxAttempts bounds the attempts of a request, each on another VM if possible.
const maxAttempts = 3

func (g *Generator) runCompletion(phase int, c *Completion) {
	vm, s := g.sendBalanced(func(vm string) Sample { return g.client.Complete(vm, c) })
	g.record(phase, vm, &s)
}

// sendBalanced sends a request to a random VM. It retries on another VM while
// the request is refused for a reason that concerns only the VM tried.
func (g *Generator) sendBalanced(send func(vm string) Sample) (vm string, s Sample) {
	var tried []string
	for range maxAttempts {
		vm = g.balancer.pick(tried)
		s = send(vm)
		if s.Result != Refused || !retryOnOtherVM(s.Reason) {
			break
		}
		tried = append(tried, vm)
	}
	return vm, s
}

// retryOnOtherVM reports whether a refusal with this reason concerns only the VM
// that refused.
func retryOnOtherVM(reason string) bool {
	return reason == "connection_refused" || reason == "stopping"
}

const bookingDeadline = 3 * time.Second

// runBooking sends a write with an idempotency key, repeats it with the same key
// through a VM picked anew, and then reads the written order back.
func (g *Generator) runBooking(phase int) {
	id := g.nextID()
	c := Call{
		ID: id, Workspace: g.spec.Workspaces[0], Service: g.spec.PlainService, Method: http.MethodPost, Path: "/orders/" + id,
		Key: "key-" + id, Affinity: id, Body: "order " + id, Deadline: bookingDeadline,
	}
	vm, s, status, body := g.callBalanced(&c)
	g.record(phase, vm, &s)
	if s.Result == Refused {
		return
	}
	repeat := c
	repeat.ID = id + "-repeat"
	vm, again, _, repeated := g.callUntilComplete(&repeat)
	if s.Result != Answered {
		return // the repeat only checks that the key is not executed twice
	}
	if again.Result == Answered && repeated != body {
		again = Sample{Result: MixedUp, Reason: "repeat received a different response"}
	}
	g.record(phase, vm, &again)
	if status == http.StatusCreated {
		g.checkStatusRead(phase, &c)
	}
}

const (
	// maxKeyAttempts bounds how often a call is repeated while its key is in
	// progress.
	maxKeyAttempts = 10
	// keyRetryInterval is the value of retry_after_ms that the daemons send.
	keyRetryInterval = 500 * time.Millisecond
)

// callUntilComplete repeats a call while its idempotency key is in progress, as
// the key_in_progress response instructs callers to do.
func (g *Generator) callUntilComplete(c *Call) (vm string, s Sample, status int, body string) {
	for range maxKeyAttempts {
		vm, s, status, body = g.callBalanced(c)
		if s.Reason != "key_in_progress" || !daemon.Sleep(context.Background(), keyRetryInterval) {
			break
		}
	}
	return vm, s, status, body
}

func (g *Generator) callBalanced(c *Call) (vm string, s Sample, status int, body string) {
	vm, s = g.sendBalanced(func(vm string) Sample {
		s, status, body = g.client.CallService(vm, c)
		return s
	})
	return vm, s, status, body
}

func (g *Generator) checkStatusRead(phase int, c *Call) {
	read := *c
	read.ID, read.Method, read.Key, read.Body = c.ID+"-read", http.MethodGet, "", ""
	vm, s, status, body := g.callBalanced(&read)
	g.record(phase, vm, &s)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.phases[phase].StatusReads++
	if s.Result == Answered && (status != http.StatusOK || body != c.Body) {
		g.phases[phase].StaleStatusReads++
	}
}

func (g *Generator) record(phase int, vm string, s *Sample) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.phases[phase].record(vm, s)
}
