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

	"github.com/HdrHistogram/hdrhistogram-go"

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

// Totals are the counts over a run.
type Totals struct {
	Requests, Answered, Refused, Cut, MixedUp, Good int64
	Reads, StaleReads                               int64
	Reasons                                         map[string]int64
	FirstToken, Interval                            *hdrhistogram.Histogram
}

// Generator sends the load of one deployment through its balancer.
type Generator struct {
	spec     Spec
	client   *Client
	balancer *balancer
	count    atomic.Int64
	wg       sync.WaitGroup

	mu     sync.Mutex
	totals Totals
}

const histogramMaxUs = 60_000_000

// NewGenerator returns a generator that has sent nothing.
func NewGenerator(s Spec) *Generator {
	return &Generator{
		spec: s, client: NewClient(), balancer: newBalancer(s.Entries),
		totals: Totals{
			Reasons: map[string]int64{}, FirstToken: hdrhistogram.New(1, histogramMaxUs, 3),
			Interval: hdrhistogram.New(1, histogramMaxUs, 3),
		},
	}
}

// Run sends all phases and waits for the last answer.
func (g *Generator) Run(ctx context.Context) Totals {
	health, cancel := context.WithCancel(ctx)
	defer cancel()
	go g.balancer.watch(health)
	rnd := rand.New(rand.NewPCG(g.spec.Seed, 1))
	for _, p := range g.spec.Phases {
		g.runPhase(ctx, p, rnd)
	}
	g.wg.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.totals
}

// runPhase sends requests with exponentially distributed gaps, independent of
// the answers.
func (g *Generator) runPhase(ctx context.Context, p Phase, rnd *rand.Rand) {
	start := time.Now()
	total := p.PerSecond + p.CallsPerSecond
	at := start
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		at = at.Add(time.Duration(rnd.ExpFloat64() / total * float64(time.Second)))
		if at.Sub(start) > p.Length {
			return
		}
		timer.Reset(time.Until(at))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		if rnd.Float64()*total < p.CallsPerSecond {
			g.start(g.booking)
			continue
		}
		c := g.completion(p, rnd)
		g.start(func() { g.complete(c) })
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

func (g *Generator) complete(c *Completion) {
	var s Sample
	for range tries {
		s = g.client.Complete(g.balancer.pick(), c)
		if s.Result != Refused || !elsewhere(s.Reason) {
			break
		}
	}
	g.record(s)
}

// elsewhere reports whether the refusal concerns one VM only.
func elsewhere(reason string) bool { return reason == "connection_refused" || reason == "stopping" }

// booking sends a keyed write, repeats it through another VM, and reads its
// status back.
func (g *Generator) booking() {
	id := g.nextID()
	c := Call{
		ID: id, Workspace: g.spec.Workspaces[0], Service: g.spec.Plain, Method: http.MethodPost, Path: "/orders/" + id,
		Key: "key-" + id, Affinity: id, Body: "order " + id, Deadline: 3 * time.Second,
	}
	s, status := g.call(c)
	g.record(s)
	if s.Result != Answered || status != http.StatusCreated {
		return
	}
	repeat := c
	repeat.ID = id + "-repeat"
	s, _ = g.call(repeat)
	if s.Reason == "key_in_progress" {
		s.Result = Refused // the first answer is on its way to the log; nothing ran
	}
	g.record(s)
	g.readBack(c)
}

func (g *Generator) call(c Call) (Sample, int) {
	var s Sample
	var status int
	for range tries {
		s, status, _ = g.client.CallService(g.balancer.pick(), &c)
		if s.Result != Refused || !elsewhere(s.Reason) {
			break
		}
	}
	return s, status
}

func (g *Generator) readBack(c Call) {
	read := c
	read.ID, read.Method, read.Key, read.Body = c.ID+"-read", http.MethodGet, "", ""
	s, status, body := g.client.CallService(g.balancer.pick(), &read)
	g.record(s)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.totals.Reads++
	if s.Result == Answered && (status != http.StatusOK || body != c.Body) {
		g.totals.StaleReads++
	}
}

func (g *Generator) record(s Sample) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := &g.totals
	t.Requests++
	switch s.Result {
	case Answered:
		t.Answered++
	case Refused:
		t.Refused++
	case Cut:
		t.Cut++
	case MixedUp:
		t.MixedUp++
	}
	if s.Reason != "" {
		t.Reasons[s.Reason]++
	}
	if s.Good {
		t.Good++
	}
	if s.Tokens > 0 {
		_ = t.FirstToken.RecordValue(s.FirstToken.Microseconds())
		_ = t.Interval.RecordValue(max(s.Interval.Microseconds(), 1))
	}
}
