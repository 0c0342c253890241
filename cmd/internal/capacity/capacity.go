// Package capacity measures the overhead of the daemons on a VM: CPU time, memory
// and network traffic, for given numbers of daemons, targets and workspaces.
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

// ErrRun reports that a measurement could not be completed.
var ErrRun = merry.New("capacity measurement failed")

// Size is the size of a measured deployment. Daemons counts the VMs, each of which
// runs an entry daemon and a control daemon.
type Size struct {
	Daemons    int `json:"daemons"`
	Targets    int `json:"targets"`
	Workspaces int `json:"workspaces"`
}

// Point is the result at one size, as the mean over the VMs of a data centre.
// Entry and control daemons are measured separately.
type Point struct {
	Size
	// ControlCPU and EntryCPU are CPU time in percent of one core.
	ControlCPU float64 `json:"control_cpu_percent"`
	EntryCPU   float64 `json:"entry_cpu_percent"`
	// ControlMB and EntryMB are the resident set sizes in megabytes (10^6 bytes).
	ControlMB float64 `json:"control_mb"`
	EntryMB   float64 `json:"entry_mb"`
	// Traffic holds the control daemon's received and sent bytes per second by
	// group (peers, platform, targets, entry), without TCP and IP headers.
	Traffic map[string]float64 `json:"traffic_bytes_per_second"`
	// StartSeconds is the time from the start of the processes until the
	// configuration was in force on all control daemons.
	StartSeconds float64 `json:"start_seconds"`
}

// Cmd measures the overhead of the daemons.
type Cmd struct {
	Bin     string        `default:"bin" type:"existingdir" help:"Directory of the lentilpick binaries."`
	Out     string        `default:"out" help:"Directory for the results and logs."`
	Measure time.Duration `default:"15s" help:"Period over which CPU time and traffic are measured."`
	Settle  time.Duration `default:"8s" help:"Wait between the start of all daemons and a measurement."`
	Single  bool          `help:"Measure the full size only: 12 daemons, 370 targets, 3,700 workspaces."`
}

var fullSize = Size{Daemons: 12, Targets: 370, Workspaces: 3700}

// sizes returns the sizes to measure: the full size only, or four points of each
// dimension with the other two at their full size.
func sizes(single bool) []Size {
	if single {
		return []Size{fullSize}
	}
	out := []Size{fullSize}
	for _, n := range []int{46, 92, 185} {
		out = append(out, Size{fullSize.Daemons, n, fullSize.Workspaces})
	}
	for _, n := range []int{460, 925, 1850} {
		out = append(out, Size{fullSize.Daemons, fullSize.Targets, n})
	}
	for _, n := range []int{3, 6, 9} {
		out = append(out, Size{n, fullSize.Targets, fullSize.Workspaces})
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
	sleep(c.Settle)
	before, err := f.readUsage()
	if err != nil {
		return Point{}, err
	}
	begin := time.Now()
	sleep(c.Measure)
	after, err := f.readUsage()
	if err != nil {
		return Point{}, err
	}
	p.setUsage(before, after, time.Since(begin), s.Daemons)
	return p, nil
}

func (p *Point) setUsage(before, after usage, d time.Duration, daemons int) {
	n, sec := float64(daemons), d.Seconds()
	p.ControlCPU = (after.controlCPUSeconds - before.controlCPUSeconds) / n / sec * 100
	p.EntryCPU = (after.entryCPUSeconds - before.entryCPUSeconds) / n / sec * 100
	p.ControlMB = after.controlBytes / n / 1e6
	p.EntryMB = after.entryBytes / n / 1e6
	for g, v := range after.trafficBytes {
		p.Traffic[g] = (v - before.trafficBytes[g]) / n / sec
	}
}

func sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	<-t.C
}
