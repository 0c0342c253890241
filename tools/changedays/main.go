// Command changedays writes scenarios ("days") for the external test bench. For each
// event of a site file, and for a list of common events, it writes one day with twelve
// configuration changes at different offsets from five occurrences of the event, or from
// two if the event changes the site permanently. Days that are drawn at random rarely
// have a configuration change within the seconds after an event.
//
// With --grown the configuration grows by hundreds of routes first, and a second day for
// each event has series of changes instead of single ones.
package main

import (
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"

	"github.com/BurntSushi/toml"
	"github.com/alecthomas/kong"
)

var cli struct {
	Site  string  `arg:"" type:"existingfile" help:"Site file of the bench."`
	Dir   string  `arg:"" help:"Directory for the day files."`
	Shift float64 `default:"0" help:"Shift of the changes in seconds; each value gives other offsets from the events."`
	Grown bool    `help:"Write days with a configuration that grows, with single changes (g) and with series of changes (s)."`
}

// entry is an event of a day, with the fields that the bench defines.
type entry = map[string]any

// day is a scenario of the bench.
type day struct {
	Name   string  `toml:"name"`
	Length float64 `toml:"length_s"`
	Plan   []entry `toml:"plan"`
	Faults []entry `toml:"faults"`
}

const (
	dayLengthSeconds = 40.0
	changesPerDay    = 12
	// Change k takes place at firstChangeSeconds + k*changeIntervalSeconds, delayed by
	// (shift + k*offsetStepSeconds) modulo offsetRangeSeconds, so that the offsets from
	// the events differ.
	firstChangeSeconds    = 2.4
	changeIntervalSeconds = 2.95
	offsetStepSeconds     = 0.23
	offsetRangeSeconds    = 1.9
)

// Days with a configuration that grows. It grows by minGrowth to maxGrowth routes, a number that
// differs by growthStep from one event to the next.
const (
	growthSeconds = 1.2
	minGrowth     = 400
	maxGrowth     = 1400
	growthStep    = 270
	// Series k begins seriesLeadSeconds before its event, delayed by
	// (shift + k*seriesStepSeconds) modulo seriesRangeSeconds. It ends before the next begins.
	seriesSeconds      = 3.0
	seriesLeadSeconds  = 0.9
	seriesStepSeconds  = 0.7
	seriesRangeSeconds = 2.8
)

// seriesGapsSeconds are the times between two changes of a series, used in rotation.
var seriesGapsSeconds = []float64{0.12, 0.18, 0.24, 0.3}

// eventTimesSeconds are the start times of an event. Events with a duration end before
// the next one starts.
var eventTimesSeconds = []float64{4.5, 11, 17.7, 24, 31}

// changeKinds are the kinds of configuration change, used in rotation.
var changeKinds = []string{"route", "route", "timeout"}

// plannedKinds are the kinds of event that the bench expects in the plan instead of in
// the faults.
var plannedKinds = map[string]bool{
	"roll_term": true, "release": true, "scale_in": true, "add_nodes": true, "replace_core": true,
	"big_config": true, "config_storm": true, "hup": true,
}

// permanentKinds are the kinds of event that change the site permanently. They occur
// twice.
var permanentKinds = map[string]bool{"add_nodes": true, "replace_core": true}

// commonEvents are events that may occur at any site, even if its file lists none of
// them.
var commonEvents = []entry{
	{"kind": "herd_kill", "share": 0.6, "for_s": 3.0},
	{"kind": "herd_kill", "share": 0.6, "for_s": 2.0, "how": "power"},
	{"kind": "hup", "share": 0.3, "gap_s": 0.3},
	{"kind": "clock_step", "share": 0.6, "x": 6000.0, "for_s": 5.0, "how": "ahead"},
	{"kind": "clock_step", "share": 0.5, "x": 2500.0, "for_s": 5.0, "how": "back"},
	{"kind": "node_freeze", "share": 0.3, "for_s": 3.0},
	{"kind": "node_freeze", "on": "core", "count": 1, "for_s": 3.0, "how": "reader"},
	{"kind": "node_kill", "on": "core", "count": 1, "for_s": 3.0, "how": "reader"},
	{"kind": "core_cut", "count": 1, "for_s": 4.0, "how": "reader"},
	{"kind": "core_cut", "count": 2, "for_s": 4.0, "how": "behind"},
	{"kind": "core_cut", "count": 2, "for_s": 4.0, "how": "relieve"},
	{"kind": "platform_compact", "x": 3.0, "for_s": 1.0, "how": "drain"},
	{"kind": "platform_compact", "x": 3.0, "how": "keyed"},
	{"kind": "platform_down", "for_s": 3.0, "how": "silent"},
	{"kind": "replace_core", "x": 1.0, "how": "planned"},
	{"kind": "after_ack_kill", "for_s": 3.0, "how": "timed"},
	{"kind": "after_ack_kill", "for_s": 3.0, "how": "kill"},
}

var errNoEvents = errors.New("the site file has no [[troubles]] entries")

func main() {
	kong.Parse(&cli)
	n, err := writeDays(cli.Site, cli.Dir, cli.Shift, cli.Grown)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Printf("%d days in %s\n", n, cli.Dir)
}

// writeDays writes the days of a site and returns their number.
func writeDays(site, dir string, shift float64, grown bool) (int, error) {
	var s struct {
		Events []entry `toml:"troubles"`
	}
	if _, err := toml.DecodeFile(site, &s); err != nil {
		return 0, err
	}
	if len(s.Events) == 0 {
		return 0, fmt.Errorf("%s: %w", site, errNoEvents)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return 0, err
	}
	n, written := 0, 0
	for _, event := range append(s.Events, commonEvents...) {
		kind, _ := event["kind"].(string)
		if kind == "" || kind == "config_change" {
			continue
		}
		name := fmt.Sprintf("%02d-%s", n, kind)
		days := []day{newDay("c"+name, kind, event, singleChanges(shift))}
		if grown {
			days = []day{
				newDay("g"+name, kind, event, append(growth(n), singleChanges(shift)...)),
				newDay("s"+name, kind, event, append(growth(n), seriesOfChanges(n, shift)...)),
			}
		}
		for _, d := range days {
			if err := writeDay(filepath.Join(dir, d.Name+".toml"), d); err != nil {
				return written, err
			}
			written++
		}
		n++
	}
	return written, nil
}

// singleChanges returns the changes of a day, at different offsets from the events.
func singleChanges(shift float64) (plan []entry) {
	for k := range changesPerDay {
		at := firstChangeSeconds + changeIntervalSeconds*float64(k) + math.Mod(shift+offsetStepSeconds*float64(k), offsetRangeSeconds)
		plan = append(plan, entry{"at": at, "kind": "config_change", "how": changeKinds[k%len(changeKinds)]})
	}
	return plan
}

// growth returns the growth of the configuration on the days of event n.
func growth(n int) []entry {
	return []entry{{"at": growthSeconds, "kind": "big_config", "count": minGrowth + n*growthStep%(maxGrowth-minGrowth+1)}}
}

// seriesOfChanges returns a series of changes beside each occurrence of event n.
func seriesOfChanges(n int, shift float64) (plan []entry) {
	for k, event := range eventTimesSeconds {
		at := event - seriesLeadSeconds + math.Mod(shift+seriesStepSeconds*float64(k), seriesRangeSeconds)
		plan = append(plan, entry{"at": at, "kind": "config_storm", "for_s": seriesSeconds, "gap_s": seriesGapsSeconds[(n+k)%len(seriesGapsSeconds)]})
	}
	return plan
}

func newDay(name, kind string, event entry, changes []entry) day {
	d := day{Name: name, Length: dayLengthSeconds, Plan: changes, Faults: []entry{}}
	times := eventTimesSeconds
	if permanentKinds[kind] {
		times = []float64{times[1], times[3]}
	}
	for _, at := range times {
		e := entry{"at": at}
		for k, v := range event {
			e[k] = v
		}
		if plannedKinds[kind] {
			d.Plan = append(d.Plan, e)
			continue
		}
		d.Faults = append(d.Faults, e)
	}
	return d
}

func writeDay(path string, d day) (err error) {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	return toml.NewEncoder(f).Encode(struct {
		Day []day `toml:"day"`
	}{[]day{d}})
}
