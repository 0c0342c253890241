// Command changedays writes days for the users' bench: for each kind of trouble
// of a site file one day with twelve changes of the configuration at different
// offsets from five occurrences of it. Days drawn at random rarely have a change
// within the seconds after a trouble.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/BurntSushi/toml"
	"github.com/alecthomas/kong"
)

var cli struct {
	Site  string  `arg:"" type:"existingfile" help:"Site file of the bench."`
	Dir   string  `arg:"" help:"Directory for the day files."`
	Shift float64 `default:"0" help:"Seconds by which the changes are shifted; other values play other offsets."`
}

// entry is one entry of a day, with the fields that the bench gives it.
type entry = map[string]any

// day is a day of the bench.
type day struct {
	Name   string  `toml:"name"`
	Length float64 `toml:"length_s"`
	Plan   []entry `toml:"plan"`
	Faults []entry `toml:"faults"`
}

const (
	dayLength = 40.0
	changes   = 12
	// firstChange and changeGap place the changes, in seconds; offsetStep and
	// offsets spread their offsets from the troubles.
	firstChange = 2.4
	changeGap   = 2.95
	offsetStep  = 0.23
	offsets     = 1.9
)

// troubleTimes are when a trouble begins, in seconds. Lasting ones are over before
// the next begins.
var troubleTimes = []float64{4.5, 11, 17.7, 24, 31}

// kinds are the kinds of change, in turn.
var kinds = []string{"route", "route", "timeout"}

// planned are the kinds of trouble that the bench lists as planned work.
var planned = map[string]bool{
	"roll_term": true, "release": true, "scale_in": true, "add_nodes": true, "replace_core": true,
	"big_config": true, "config_storm": true, "hup": true,
}

// lasting are the kinds that change the site for good; they come twice.
var lasting = map[string]bool{"add_nodes": true, "replace_core": true}

// others are troubles that may come on any site although its file has none of them.
var others = []entry{
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

var errNoTroubles = errors.New("the site file lists no troubles")

func main() {
	kong.Parse(&cli)
	n, err := write(cli.Site, cli.Dir, cli.Shift)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Printf("%d days in %s\n", n, cli.Dir)
}

// write writes the days of a site and returns their number.
func write(site, dir string, shift float64) (int, error) {
	var s struct {
		Troubles []entry `toml:"troubles"`
	}
	if _, err := toml.DecodeFile(site, &s); err != nil {
		return 0, err
	}
	if len(s.Troubles) == 0 {
		return 0, fmt.Errorf("%s: %w", site, errNoTroubles)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return 0, err
	}
	n := 0
	for _, trouble := range append(s.Troubles, others...) {
		kind, _ := trouble["kind"].(string)
		if kind == "" || kind == "config_change" {
			continue
		}
		d := newDay(fmt.Sprintf("c%02d-%s", n, kind), kind, trouble, shift)
		if err := store(filepath.Join(dir, d.Name+".toml"), d); err != nil {
			return n, err
		}
		n++
	}
	return n, nil
}

func newDay(name, kind string, trouble entry, shift float64) day {
	d := day{Name: name, Length: dayLength, Faults: []entry{}}
	for k := range changes {
		offset := shift + offsetStep*float64(k)
		for offset >= offsets {
			offset -= offsets
		}
		at := firstChange + changeGap*float64(k) + offset
		d.Plan = append(d.Plan, entry{"at": at, "kind": "config_change", "how": kinds[k%len(kinds)]})
	}
	times := troubleTimes
	if lasting[kind] {
		times = []float64{times[1], times[3]}
	}
	for _, at := range times {
		e := entry{"at": at}
		for k, v := range trouble {
			e[k] = v
		}
		if planned[kind] {
			d.Plan = append(d.Plan, e)
			continue
		}
		d.Faults = append(d.Faults, e)
	}
	return d
}

func store(path string, d day) (err error) {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	return toml.NewEncoder(f).Encode(struct {
		Day []day `toml:"day"`
	}{[]day{d}})
}
