package load

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/ansel1/merry/v2"

	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/types"
)

// ErrLatency reports that the measurement got no responses on one path.
var ErrLatency = merry.New("latency measurement failed")

// LatencyCmd measures the latency that the entry daemon adds to a direct call of
// an engine.
type LatencyCmd struct {
	Bin     string        `default:"bin" type:"existingdir" help:"Directory of the lentilpick binaries."`
	Out     string        `default:"out" help:"Directory for the results, settings files and logs."`
	Streams int           `default:"200" help:"Concurrent streams."`
	Length  time.Duration `default:"20s" help:"Length of the measurement."`
}

const (
	latencyModel     = "latency-model"
	latencyWorkspace = "measurement"
	// latencyMaxTokens bounds the output tokens of a response. Lengths vary, since
	// streams of equal length would all request prefill in the same iterations.
	latencyMaxTokens = 48
	latencyPlatform  = "127.30.0.1:6060"
	latencyEngine    = "127.30.1.101:8000"
	latencyEntry     = "127.30.1.1:8080"
	latencyAdmin     = "127.30.1.1:7071"
	latencyPeers     = "127.30.1.1:7070"
	// latencyIterationTime is the duration of one engine iteration, below the
	// target of 26 ms between tokens. The cost per stream (decode_cost) is set to
	// the minimum, so that the engine behaves alike on both paths.
	latencyIterationTime = 20 * time.Millisecond
	latencyWarmUp        = 2 * time.Second
)

// latencyFiles holds the settings files of a deployment with one engine, one
// control daemon and one entry daemon.
var latencyFiles = map[string]string{
	"platform.toml": `control = "127.30.0.1:6061"
[platform]
listen = "` + latencyPlatform + `"
appends_per_second = 300
retention = "24h"
`,
	"targets.toml": `control = "127.30.0.2:6061"
[[engine]]
id = "engine-1"
listen = "` + latencyEngine + `"
role = "mixed"
model = "` + latencyModel + `"
version = "1"
checks_fencing = true
report_lag = "500ms"
change_time = "1s"
iteration_base = "20ms"
decode_cost = "1us"
max_streams = 1024
`,
	"control.toml": `vm = "vm-1"
data_centre = "dc-1"
listen = "` + latencyPeers + `"
admin = "` + latencyAdmin + `"
platform = "` + latencyPlatform + `"
`,
	"entry.toml": `vm = "vm-1"
data_centre = "dc-1"
listen = "` + latencyEntry + `"
metrics = "127.30.1.1:9090"
control = ["` + latencyPeers + `"]
workspace_in_flight = 4096
max_in_flight = 4096
`,
	"services.toml": `[[service]]
id = "engine"
kind = "engine"
min_per_role = 1
[[target]]
id = "engine-1"
service = "engine"
address = "` + latencyEngine + `"
data_centre = "dc-1"
checks_fencing = true
role = "mixed"
model = "` + latencyModel + `"
version = "1"
prefill_tokens_per_second = 16000.0
kv_transfer_tokens_per_second = 200000.0
iteration_base_us = 20000
decode_cost_us = 1
max_streams = 1024
[[workspace]]
id = "` + latencyWorkspace + `"
share = 8
`,
}

// pathTimes holds the timings of one path to the engine, in microseconds, and
// its failed requests by reason.
type pathTimes struct {
	mu                    sync.Mutex
	firstToken, intervals *hdrhistogram.Histogram
	failures              map[string]int64
}

func newPathTimes() *pathTimes {
	return &pathTimes{
		firstToken: hdrhistogram.New(1, histogramMaxUs, 4), intervals: hdrhistogram.New(1, histogramMaxUs, 4), failures: map[string]int64{},
	}
}

func (p *pathTimes) record(s *Sample) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.Result != Answered {
		p.failures[s.Reason]++
		return
	}
	_ = p.firstToken.RecordValue(max(s.FirstToken.Microseconds(), 1))
	for _, g := range s.TokenIntervals {
		_ = p.intervals.RecordValue(max(g.Microseconds(), 1))
	}
}

// quantiles summarises a histogram, in milliseconds.
type quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
}

func quantilesOf(h *hdrhistogram.Histogram) quantiles {
	return quantiles{h.TotalCount(), ms(h.ValueAtQuantile(50)), ms(h.ValueAtQuantile(99))}
}

// comparison compares one metric on both paths.
type comparison struct {
	Metric   string    `json:"what"`
	Direct   quantiles `json:"direct"`
	Entry    quantiles `json:"through_entry_daemon"`
	AddedP50 float64   `json:"added_p50_ms"`
	AddedP99 float64   `json:"added_p99_ms"`
}

func compare(metric string, direct, entry *hdrhistogram.Histogram) comparison {
	d, e := quantilesOf(direct), quantilesOf(entry)
	return comparison{metric, d, e, e.P50 - d.P50, e.P99 - d.P99}
}

// Run implements the command.
func (c LatencyCmd) Run() error {
	ctx, cancel := daemon.SignalContext()
	defer cancel()
	dir := filepath.Join(c.Out, "latency")
	procs := newProcesses(c.Bin, dir)
	defer procs.stopAll()
	if err := startLatencyProcesses(ctx, procs, dir); err != nil {
		return err
	}
	direct, entry := newPathTimes(), newPathTimes()
	c.measure(ctx, direct, entry)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return c.report(direct, entry)
}

func startLatencyProcesses(ctx context.Context, procs *processes, dir string) error {
	if err := os.RemoveAll(dir); err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for name, text := range latencyFiles {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o644); err != nil {
			return err
		}
	}
	for _, p := range [][2]string{
		{"platform", "standin"}, {"targets", "standin"}, {"control", "control"}, {"entry", "entry"},
	} {
		if err := procs.start(p[0], "lentilpick-"+p[1], "--settings", filepath.Join(dir, p[0]+".toml")); err != nil {
			return err
		}
	}
	if err := waitListening(ctx, latencyAdmin, readyTimeout); err != nil {
		return err
	}
	err := procs.run(ctx, "lentilpickctl", "--address", latencyAdmin, "apply", "-f", filepath.Join(dir, "services.toml"))
	if err != nil {
		return err
	}
	return waitHTTP(ctx, "http://"+latencyEntry+"/healthz", readyTimeout)
}

// measure runs the concurrent streams. Each alternates between the two paths and
// starts a request shortly after its previous one ended.
func (c LatencyCmd) measure(ctx context.Context, direct, entry *pathTimes) {
	ctx, cancel := context.WithTimeout(ctx, latencyWarmUp+c.Length)
	defer cancel()
	from := time.Now().Add(latencyWarmUp)
	client := NewClient()
	client.recordIntervals = true
	var count atomic.Int64
	var wg sync.WaitGroup
	for i := range c.Streams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := i; ; n++ {
				// The random pause decouples arrivals from the engine's iterations.
				if !daemon.Sleep(ctx, rand.N(2*latencyIterationTime)) {
					return
				}
				id := types.RequestID(fmt.Sprintf("latency-%d", count.Add(1)))
				p, s := direct, Sample{}
				if n%2 == 0 {
					s = client.direct(id)
				} else {
					p, s = entry, client.throughEntry(id)
				}
				if time.Now().After(from) {
					p.record(&s)
				}
			}
		}()
	}
	wg.Wait()
}

func latencyCompletion(id types.RequestID) *Completion {
	return &Completion{
		ID: id, Workspace: latencyWorkspace, Model: latencyModel, Prompt: strings.Repeat("x", 16),
		MaxTokens: 1 + rand.IntN(latencyMaxTokens), Deadline: 10 * time.Second,
	}
}

func (c *Client) throughEntry(id types.RequestID) Sample {
	return c.Complete(latencyEntry, latencyCompletion(id))
}

type directBody struct {
	RequestID types.RequestID `json:"request_id"`
	Model     string          `json:"model"`
	Prompt    string          `json:"prompt"`
	MaxTokens int             `json:"max_tokens"`
}

func (c *Client) direct(id types.RequestID) Sample {
	r := latencyCompletion(id)
	body, err := json.Marshal(directBody{id, r.Model, r.Prompt, r.MaxTokens})
	if err != nil {
		return Sample{Result: Refused, Reason: err.Error()}
	}
	return c.complete(latencyEngine, r, body)
}

func (c LatencyCmd) report(direct, entry *pathTimes) error {
	results := []comparison{
		compare("time to first token", direct.firstToken, entry.firstToken),
		compare("time between tokens", direct.intervals, entry.intervals),
	}
	fmt.Printf("latency: %d concurrent streams, alternating\n", c.Streams)
	for _, r := range results {
		fmt.Printf("%s: direct p50 %.3f ms, p99 %.3f ms (n=%d); through the entry daemon p50 %.3f ms, p99 %.3f ms (n=%d); added p50 %.3f ms, p99 %.3f ms\n",
			r.Metric, r.Direct.P50, r.Direct.P99, r.Direct.Count, r.Entry.P50, r.Entry.P99, r.Entry.Count, r.AddedP50, r.AddedP99)
	}
	for name, p := range map[string]*pathTimes{"direct": direct, "through the entry daemon": entry} {
		for reason, n := range p.failures {
			fmt.Printf("not answered %s, %s: %d\n", name, reason, n)
		}
	}
	if direct.firstToken.TotalCount() == 0 || entry.firstToken.TotalCount() == 0 {
		return merry.Appendf(ErrLatency, "no responses on a path: %d direct, %d through the entry daemon", direct.firstToken.TotalCount(), entry.firstToken.TotalCount())
	}
	file, err := outputPath(c.Out, "latency.json")
	if err != nil {
		return err
	}
	b, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(b, '\n'), 0o644)
}
