// Package capacity measures what control costs a VM: CPU time, memory and
// traffic of its daemons at a given number of daemons, targets and workspaces.
package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrRun reports that a measurement did not run.
var ErrRun = merry.New("capacity measurement failed")

// Size is one point of a measurement.
type Size struct {
	Daemons    int `json:"daemons"`
	Targets    int `json:"targets"`
	Workspaces int `json:"workspaces"`
}

// Point is the result at one size, as the mean over the VMs of a data centre.
// Entry and control daemons stand apart.
type Point struct {
	Size
	ControlCPU float64 `json:"control_cpu_percent"`
	EntryCPU   float64 `json:"entry_cpu_percent"`
	// Memory is the resident size in megabytes (10^6 bytes).
	ControlMB float64 `json:"control_mb"`
	EntryMB   float64 `json:"entry_mb"`
	// Traffic is received and sent bytes a second, without TCP and IP headers.
	Traffic map[string]float64 `json:"traffic_bytes_per_second"`
	// StartSeconds is the time until all daemons had the configuration in force.
	StartSeconds float64 `json:"start_seconds"`
}

// Cmd measures the control cost.
type Cmd struct {
	Bin     string        `default:"bin" type:"existingdir" help:"Directory of the programs."`
	Out     string        `default:"out" help:"Directory for the results and logs."`
	Measure time.Duration `default:"15s" help:"Time over which CPU and traffic are measured."`
	Settle  time.Duration `default:"8s" help:"Time before a measurement begins."`
	Single  bool          `help:"Measure the full size only: 12 daemons, 370 targets, 3,700 workspaces."`
}

var full = Size{Daemons: 12, Targets: 370, Workspaces: 3700}

// sizes varies one dimension at a time, four points each.
func sizes(single bool) []Size {
	if single {
		return []Size{full}
	}
	out := []Size{full}
	for _, n := range []int{46, 92, 185} {
		out = append(out, Size{full.Daemons, n, full.Workspaces})
	}
	for _, n := range []int{460, 925, 1850} {
		out = append(out, Size{full.Daemons, full.Targets, n})
	}
	for _, n := range []int{3, 6, 9} {
		out = append(out, Size{n, full.Targets, full.Workspaces})
	}
	return out
}

// Run implements the command.
func (c Cmd) Run() error {
	var points []Point
	for _, s := range sizes(c.Single) {
		p, err := c.measure(s)
		if err != nil {
			return err
		}
		points = append(points, p)
		fmt.Println(p.row())
	}
	b, err := json.MarshalIndent(points, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(c.Out, "capacity.json"), b, 0o644)
}

func (p Point) row() string {
	var traffic []string
	for _, g := range []string{"peers", "platform", "targets", "entry"} {
		traffic = append(traffic, fmt.Sprintf("%s %.0f", g, p.Traffic[g]))
	}
	return fmt.Sprintf("daemons %d, targets %d, workspaces %d: control %.2f%% of a core, %.1f MB; entry %.2f%%, %.1f MB; bytes/s: %s; start %.1f s",
		p.Daemons, p.Targets, p.Workspaces, p.ControlCPU, p.ControlMB, p.EntryCPU, p.EntryMB, strings.Join(traffic, ", "), p.StartSeconds)
}

func (c Cmd) measure(s Size) (Point, error) {
	dir := filepath.Join(c.Out, "capacity", fmt.Sprintf("%d-%d-%d", s.Daemons, s.Targets, s.Workspaces))
	f := &fleet{size: s, dir: dir, bin: c.Bin}
	defer f.stop()
	start := time.Now()
	if err := f.start(); err != nil {
		return Point{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	if err := f.configure(ctx); err != nil {
		return Point{}, err
	}
	if err := f.waitInForce(ctx); err != nil {
		return Point{}, err
	}
	p := Point{Size: s, Traffic: map[string]float64{}, StartSeconds: time.Since(start).Seconds()}
	wait(c.Settle)
	before, err := f.read()
	if err != nil {
		return Point{}, err
	}
	begin := time.Now()
	wait(c.Measure)
	after, err := f.read()
	if err != nil {
		return Point{}, err
	}
	p.fill(before, after, time.Since(begin), s.Daemons)
	return p, nil
}

func (p *Point) fill(before, after usage, d time.Duration, daemons int) {
	n, sec := float64(daemons), d.Seconds()
	p.ControlCPU = (after.controlCPU - before.controlCPU) / n / sec * 100
	p.EntryCPU = (after.entryCPU - before.entryCPU) / n / sec * 100
	p.ControlMB = after.controlBytes / n / 1e6
	p.EntryMB = after.entryBytes / n / 1e6
	for g, v := range after.traffic {
		p.Traffic[g] = (v - before.traffic[g]) / n / sec
	}
}

func wait(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	<-t.C
}
